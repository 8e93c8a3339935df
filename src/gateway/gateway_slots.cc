/// Part of GatewayServer: leases of the slots of brittle backends.
#include <utility>

#include "src/fleet/protocol_version.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

void GatewayServer::configure_slots() {
  context_.report_slots = [this] { schedule_slot_report(); };
  control_link_.set_slot_handler([this](const fleet::SlotAnswer& answer) {
    const bool for_this_process = answer.start_id == start_id_ || !answer.granting;
    if (for_this_process && context_.slots.on_answer(answer, loop_.now())) {
      schedule_slot_report();
    }
  });
  loop_.every(admission::kSlotReportInterval, [this] {
    if (context_.slots.active(slots_in_use())) {
      send_slot_report();
    }
  });
}

std::vector<fleet::SlotUse> GatewayServer::slots_in_use() const {
  std::vector<fleet::SlotUse> in_use;
  if (context_.brittle.empty()) {
    return in_use;
  }
  std::map<std::string, bool> serves_brittle;  // by service
  for (const fleet::BackendLoad& load : pool_.own_loads()) {
    const dispatch::BackendPtr backend = pool_.find(load.backend);
    if (backend == nullptr) {
      continue;
    }
    const std::string& service = backend->record.service;
    const auto known = serves_brittle.find(service);
    const bool included = known != serves_brittle.end()
                              ? known->second
                              : (serves_brittle[service] = context_.serves_brittle(service));
    if (included) {
      in_use.push_back({load.backend, load.outstanding});
    }
  }
  return in_use;
}

void GatewayServer::schedule_slot_report() {
  if (context_.brittle.empty() || std::exchange(slot_report_pending_, true)) {
    return;
  }
  loop_.after(Duration(0), [this] {
    slot_report_pending_ = false;
    send_slot_report();
  });
}

void GatewayServer::send_slot_report() {
  fleet::SlotReport report = context_.slots.take_report(slots_in_use(), loop_.now());
  report.router = settings_.name;
  report.start_id = start_id_;
  if (!control_link_.leader_speaks(fleet::kFirstSlotLeaseVersion) || !control_link_.send_to_leader(report)) {
    context_.slots.on_no_leader(loop_.now());
  }
}

}  // namespace stoat::gateway
