/// Takes back ends that keep failing out of use for a while, then lets one request probe them.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::delivery {

/// Settings of the detector.
struct OutlierSettings {
  uint32_t failures_to_eject = 3;  ///< in a row
  Duration base_ejection = 1s;     ///< doubled at each further ejection
  Duration most_ejection = 30s;
  double most_ejected_share = 0.5;  ///< of the known back ends; more are never ejected
};

/// See the head of this file.
class OutlierDetector {
 public:
  /// What is known of one back end.
  struct State {
    uint32_t failures = 0;
    uint32_t ejections = 0;
    TimePoint ejected_until{0};
    TimePoint probe_until{0};  ///< a probe is under way until then at most
    bool half_open = false;
  };
  /// Stands for a known back end until it is forgotten; saves its search by name.
  using Handle = const State*;

  explicit OutlierDetector(const OutlierSettings& settings = {}) : settings_(settings) {}

  void on_success(const std::string& backend);
  void on_failure(const std::string& backend, TimePoint now);
  /// Nothing listens at the back end's address: it has most likely crashed, and is taken out at once.
  void on_unreachable(const std::string& backend, TimePoint now);
  /// True when the back end may get a request now.
  static bool usable(Handle backend, TimePoint now) {
    return now >= backend->ejected_until && (!backend->half_open || now >= backend->probe_until);
  }
  /// Notes that a request goes there; a half-open back end then waits for its outcome.
  void on_dispatch(const std::string& backend, TimePoint now);
  size_t ejected(TimePoint now) const;
  /// Forgets a back end that has gone.
  void forget(const std::string& backend) { states_.erase(backend); }
  /// Makes a back end known, so that it counts in the share.
  void know(const std::string& backend) { states_.try_emplace(backend); }
  Handle handle_of(const std::string& backend) { return &states_[backend]; }

 private:
  void eject(State& state, TimePoint now);

  OutlierSettings settings_;
  std::map<std::string, State> states_;
};

}  // namespace stoat::delivery
