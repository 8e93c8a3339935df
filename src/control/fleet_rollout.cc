/// FleetServer: carries out the steps of the weight rollout.
#include "src/common/hash.h"
#include "src/control/fleet_server.h"
#include "src/fleet/incarnation.h"

namespace stoat::control {

namespace {

/// Orders are given only while a quorum has confirmed the leader this recently.
constexpr Duration kOrderLease = 400ms;

}  // namespace

bool FleetServer::may_order() const {
  const consensus::Replica& replica = core_->replica();
  const TimePoint now = loop_.now();
  if (!replica.term_committed() || now - replica.quorum_confirmed_at() > kOrderLease) {
    return false;
  }
  // A former leader may have ordered until its own lease had ended.
  return now - leader_since_ > settings_.holder_lease + kOrderLease;
}

void FleetServer::roll_out_weights() {
  if (!core_->replica().leads() || rollout_.fenced_off() || !may_order()) {
    return;
  }
  if (named_.empty()) {
    return;
  }
  for (const RolloutStep& step : rollout_.plan(knowledge_.registry().records(), named_, loop_.now())) {
    take_step(step);
  }
}

void FleetServer::take_step(const RolloutStep& step) {
  switch (step.kind) {
    case RolloutStep::Kind::kAnnounce:
      knowledge_.set_loading(step.engine.id, true);
      break;
    case RolloutStep::Kind::kOrder:
      send_order(step);
      break;
    case RolloutStep::Kind::kCheck:
      check_engine(step);
      break;
    case RolloutStep::Kind::kRelease:
      knowledge_.set_loading(step.engine.id, false);
      break;
  }
}

void FleetServer::send_order(const RolloutStep& step) {
  LoadWeightsOrder order;
  order.engine = step.engine.id;
  order.address = step.engine.address;
  order.model = step.model;
  order.version = step.version;
  order.holder = settings_.name;
  order.fence = core_->replica().term();
  order.expected_sequence = step.expected_sequence;
  log_.info("orders weights", {{"engine", order.engine},
                               {"model", order.model},
                               {"version", order.version},
                               {"fence", order.fence},
                               {"expected_sequence", order.expected_sequence}});
  metrics_.count("stoat_control_orders_total");
  const uint64_t term = core_->replica().term();
  orders_.send(order, [this, engine = order.engine, term](OrderAnswer answer) {
    if (term != core_->replica().term()) {
      return;
    }
    log_.info("order answered", {{"engine", engine}, {"answer", static_cast<int>(answer)}});
    rollout_.on_order_answer(engine, answer, loop_.now());
  });
}

void FleetServer::check_engine(const RolloutStep& step) {
  const std::string engine = step.engine.id;
  const uint64_t term = core_->replica().term();
  orders_.ask(step.engine.address, [this, engine, term](const EngineReport* report) {
    if (term != core_->replica().term()) {
      return;
    }
    const uint64_t started = fleet::started_ms(engine);
    if (report == nullptr || (report->started_ms != 0 && started != 0 && report->started_ms != started)) {
      // No answer, or one of another incarnation at the same address.
      rollout_.on_order_answer(engine, OrderAnswer::kNone, loop_.now());
      return;
    }
    for (const fleet::ModelVersion& entry : report->models) {
      knowledge_.set_version(engine, entry.model, entry.version);
    }
    rollout_.on_report(engine, *report, loop_.now());
  });
}

}  // namespace stoat::control
