/// FleetServer: executes the steps of rollouts of model weights.
#include "src/common/hash.h"
#include "src/control/fleet_server.h"
#include "src/fleet/incarnation.h"

namespace stoat::control {

namespace {

/// The leader sends orders only if a quorum has confirmed it within this time.
constexpr Duration kOrderLease = 400ms;

}  // namespace

bool FleetServer::may_send_orders() const {
  const consensus::Replica& replica = core_->replica();
  const TimePoint now = loop_.now();
  if (!replica.term_committed() || now - replica.quorum_confirmed_at() > kOrderLease) {
    return false;
  }
  // A former leader may have sent orders until its own lease expired.
  return now - leader_since_ > settings_.holder_lease + kOrderLease;
}

void FleetServer::advance_weight_rollout() {
  if (!core_->replica().leads() || weight_rollout_.fenced_off() || !may_send_orders()) {
    return;
  }
  if (target_weights_.empty()) {
    return;
  }
  for (const RolloutStep& step :
       weight_rollout_.plan(soft_state_.registry().records(), target_weights_, loop_.now())) {
    execute_step(step);
  }
}

void FleetServer::execute_step(const RolloutStep& step) {
  switch (step.kind) {
    case RolloutStep::Kind::kAnnounce:
      soft_state_.set_loading(step.engine.id, true);
      break;
    case RolloutStep::Kind::kOrder:
      send_weight_order(step);
      break;
    case RolloutStep::Kind::kCheck:
      query_engine(step);
      break;
    case RolloutStep::Kind::kRelease:
      soft_state_.set_loading(step.engine.id, false);
      break;
  }
}

void FleetServer::send_weight_order(const RolloutStep& step) {
  LoadWeightsOrder order;
  order.engine = step.engine.id;
  order.address = step.engine.address;
  order.model = step.model;
  order.version = step.version;
  order.holder = settings_.name;
  order.fencing_token = core_->replica().term();
  order.expected_sequence = step.expected_sequence;
  log_.info("sending weight order", {{"engine", order.engine},
                                     {"model", order.model},
                                     {"version", order.version},
                                     {"fence", order.fencing_token},
                                     {"expected_sequence", order.expected_sequence}});
  metrics_.count("stoat_control_orders_total");
  const uint64_t term = core_->replica().term();
  engine_orders_.send(order, [this, engine = order.engine, term](OrderAnswer answer) {
    if (term != core_->replica().term()) {
      return;
    }
    log_.info("order answered", {{"engine", engine}, {"answer", static_cast<int>(answer)}});
    weight_rollout_.on_order_answer(engine, answer, loop_.now());
  });
}

void FleetServer::query_engine(const RolloutStep& step) {
  const std::string engine = step.engine.id;
  const uint64_t term = core_->replica().term();
  engine_orders_.request_report(step.engine.address, [this, engine, term](const EngineReport* report) {
    if (term != core_->replica().term()) {
      return;
    }
    const uint64_t started = fleet::started_ms(engine);
    if (report == nullptr || (report->started_ms != 0 && started != 0 && report->started_ms != started)) {
      // No answer, or an answer from another incarnation at the same address.
      weight_rollout_.on_order_answer(engine, OrderAnswer::kNone, loop_.now());
      return;
    }
    for (const fleet::ModelVersion& entry : report->models) {
      soft_state_.set_version(engine, entry.model, entry.version);
    }
    weight_rollout_.on_report(engine, *report, loop_.now());
  });
}

}  // namespace stoat::control
