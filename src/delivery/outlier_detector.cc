#include "src/delivery/outlier_detector.h"

#include <algorithm>

namespace stoat::delivery {

namespace {

constexpr uint32_t kMaxEjectionDoublings = 5;
constexpr Duration kProbeTimeout = 2s;

}  // namespace

void OutlierDetector::on_success(const std::string& backend) {
  State& state = states_[backend];
  state.failures = 0;
  state.half_open = false;
  state.ejections -= state.ejections > 0 ? 1 : 0;
}

void OutlierDetector::on_failure(const std::string& backend, TimePoint now) {
  State& state = states_[backend];
  ++state.failures;
  if (state.half_open || state.failures >= settings_.failures_to_eject) {
    eject(state, now);
  }
}

void OutlierDetector::on_unreachable(const std::string& backend, TimePoint now) {
  eject(states_[backend], now);
}

void OutlierDetector::reinstate(const std::string& backend) {
  State& state = states_[backend];
  state.ejections -= state.ejections > 0 && state.ejected_until > TimePoint(0) ? 1 : 0;
  state.failures = 0;
  state.half_open = false;
  state.ejected_until = TimePoint(0);
}

void OutlierDetector::eject(State& state, TimePoint now) {
  const auto max_ejected =
      static_cast<size_t>(settings_.max_ejected_share * static_cast<double>(states_.size()));
  if (now < state.ejected_until || ejected(now) + 1 > max_ejected) {
    return;
  }
  const uint32_t doublings = std::min(state.ejections, kMaxEjectionDoublings);
  state.ejected_until = now + std::min(settings_.max_ejection, settings_.base_ejection * (1 << doublings));
  ++state.ejections;
  state.failures = 0;
  state.half_open = true;
  state.probe_until = TimePoint(0);
}

void OutlierDetector::on_dispatch(const std::string& backend, TimePoint now) {
  State& state = states_[backend];
  if (state.half_open) {
    state.probe_until = now + kProbeTimeout;
  }
}

size_t OutlierDetector::ejected(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(), [now](const auto& entry) { return now < entry.second.ejected_until; }));
}

}  // namespace stoat::delivery
