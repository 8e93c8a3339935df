#include "src/fleet/fleet_state.h"

#include <algorithm>

namespace stoat::fleet {

void FleetState::apply(const PutConfiguration& command) {
  if (command.configuration.version <= configuration_.version) {
    return;
  }
  configuration_ = command.configuration;
  source_ = command.source;
  ++revision_;
}

void FleetState::apply(const SetTargetWeights& command) {
  uint64_t& named = weights_[command.model];
  if (command.version > named) {
    named = command.version;
    ++revision_;
  }
}

void FleetState::apply(const RetireBackend& command) {
  const auto known = std::find_if(retired_.begin(), retired_.end(),
                                  [&](const RetiredBackend& backend) { return backend.id == command.id; });
  if (known != retired_.end()) {
    if (command.state == BackendState::kGone && known->state != BackendState::kGone) {
      known->state = BackendState::kGone;
      ++revision_;
    }
    return;
  }
  if (retired_.size() >= kMaxRetired) {
    retired_.erase(retired_.begin());
  }
  retired_.push_back(RetiredBackend{command.id, command.state});
  ++revision_;
}

RolloutOrderResult FleetState::apply(const StartServiceRollout& command) {
  const auto& services = configuration_.services;
  const bool known = std::any_of(services.begin(), services.end(), [&](const Service& service) {
    return service.name == command.service && service.store_address.empty();
  });
  if (!known) {
    return RolloutOrderResult::kUnknownService;
  }
  const auto last = rollouts_.find(command.service);
  if (last != rollouts_.end()) {
    const ServiceRollout& previous = last->second;
    const bool same = previous.target_version == command.target_version;
    if (!previous.final()) {
      return same ? RolloutOrderResult::kAccepted : RolloutOrderResult::kRolloutInProgress;
    }
    const bool repeated = command.accepted_at_ms - previous.accepted_at_ms < kRepeatedOrderWindowMs;
    if (same && (previous.phase == RolloutPhase::kCompleted || repeated)) {
      return RolloutOrderResult::kAccepted;
    }
  }
  ++revision_;
  ServiceRollout order;
  order.service = command.service;
  order.id = revision_;
  order.step = 1;
  order.target_version = command.target_version;
  order.active_versions = command.active_versions;
  order.duration_ms = command.duration_ms;
  order.accepted_at_ms = command.accepted_at_ms;
  order.reason = "ordered";
  rollouts_[command.service] = order;
  return RolloutOrderResult::kAccepted;
}

void FleetState::apply(const StepServiceRollout& command) {
  const auto found = rollouts_.find(command.service);
  if (found == rollouts_.end() || found->second.final() || found->second.id != command.id ||
      found->second.step != command.from_step) {
    return;
  }
  ServiceRollout& order = found->second;
  ++order.step;
  order.phase = command.phase;
  order.share = command.share;
  order.all_backends = command.all_backends;
  order.reason = command.reason;
  ++revision_;
}

BackendState FleetState::retired_state(const std::string& id) const {
  const auto found = std::find_if(retired_.begin(), retired_.end(),
                                  [&](const RetiredBackend& backend) { return backend.id == id; });
  return found == retired_.end() ? BackendState::kReady : found->state;
}

}  // namespace stoat::fleet
