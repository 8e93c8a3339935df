/// FleetServer: leases of the slots of brittle backends, which the leader grants to routers.
#include "src/control/fleet_server.h"

namespace stoat::control {

admission::SlotIssuer::BackendInfo FleetServer::slot_info(const std::string& backend) const {
  const fleet::BackendRecord* record = soft_state_.registry().find(backend);
  if (record == nullptr) {
    return {};
  }
  return {record->slots, record->service};
}

void FleetServer::on_slot_report(const ChannelPtr& channel, const fleet::SlotReport& report) {
  const TimePoint now = loop_.now();
  if (!may_grant_permits()) {
    channel->send(fleet::SlotAnswer{});
    return;
  }
  slot_issuer_.on_report(report, now);
  send_slot_answers(report.answer_wanted ? report.router : "");
}

void FleetServer::send_slot_answers(const std::string& waiting_router) {
  for (const auto& [router, answer] : slot_issuer_.take_answers(waiting_router, loop_.now())) {
    metrics_.count("stoat_control_slot_leases_total", {}, static_cast<double>(answer.grants.size()));
    metrics_.count("stoat_control_slot_denials_total", {}, static_cast<double>(answer.denials.size()));
    const auto link = router_links_.find(router);
    if (link != router_links_.end() && link->second.channel != nullptr) {
      link->second.channel->send(answer);
    }
  }
}

void FleetServer::maintain_slots() {
  slot_issuer_.expire(loop_.now());
  if (may_grant_permits()) {
    send_slot_answers("");
  }
  metrics_.set("stoat_control_brittle_backends", static_cast<double>(soft_state_.brittle().values().size()));
  metrics_.set("stoat_control_slot_waiters", static_cast<double>(slot_issuer_.waiting()));
}

}  // namespace stoat::control
