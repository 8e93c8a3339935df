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

void FleetState::apply(const NameWeights& command) {
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

BackendState FleetState::retired_state(const std::string& id) const {
  const auto found = std::find_if(retired_.begin(), retired_.end(),
                                  [&](const RetiredBackend& backend) { return backend.id == id; });
  return found == retired_.end() ? BackendState::kReady : found->state;
}

}  // namespace stoat::fleet
