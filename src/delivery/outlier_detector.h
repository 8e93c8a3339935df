/// Outlier detection: temporarily ejects backends that fail several times in a row. After an ejection, a
/// single request probes the backend.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::delivery {

struct OutlierSettings {
  uint32_t failures_to_eject = 3;  ///< consecutive failures
  Duration base_ejection = 1s;     ///< doubled with each further ejection
  Duration max_ejection = 30s;
  double max_ejected_share = 0.5;  ///< upper limit of the ejected share of known backends
};

/// Counts the consecutive failures of each backend, and decides which ones are ejected or probed.
class OutlierDetector {
 public:
  /// State of one backend. Half-open: after its ejection, a single request probes it.
  struct State {
    uint32_t failures = 0;
    uint32_t ejections = 0;
    TimePoint ejected_until{0};
    TimePoint probe_until{0};  ///< time-out of the current probe; 0: none
    bool half_open = false;
  };
  /// Refers to a backend without a lookup by name. Valid until the backend is forgotten.
  using Handle = const State*;

  explicit OutlierDetector(const OutlierSettings& settings = {}) : settings_(settings) {}

  void on_success(const std::string& backend);
  void on_failure(const std::string& backend, TimePoint now);
  /// Nothing listens at the backend's address, or its host does not respond: it has most likely crashed, and
  /// is ejected at once.
  void on_unreachable(const std::string& backend, TimePoint now);
  /// The backend was not at fault: another router reaches it.
  void reinstate(const std::string& backend);
  /// True if the backend may be sent a request now.
  static bool usable(Handle backend, TimePoint now) {
    return now >= backend->ejected_until && (!backend->half_open || now >= backend->probe_until);
  }
  /// Records that a request is sent to a backend. A half-open backend gets no other request until this one
  /// has an outcome or the probe times out.
  void on_dispatch(const std::string& backend, TimePoint now);
  /// Number of backends that are ejected now.
  size_t ejected(TimePoint now) const;
  /// Removes a backend that no longer exists.
  void forget(const std::string& backend) { states_.erase(backend); }
  /// Adds a backend, so that it counts in max_ejected_share.
  void track(const std::string& backend) { states_.try_emplace(backend); }
  /// The handle of a backend, which is added if it is not known.
  Handle handle_of(const std::string& backend) { return &states_[backend]; }

 private:
  void eject(State& state, TimePoint now);

  OutlierSettings settings_;
  std::map<std::string, State> states_;
};

}  // namespace stoat::delivery
