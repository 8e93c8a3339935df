/// What this router's own links reach: which backends answer it, and since when others do not. Performs no I/O.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::dispatch {

/// The backends that a router knows, and how many of them do not answer it over its own links.
struct LinkSummary {
  size_t known = 0;
  size_t unreached = 0;
  TimePoint unreached_since{0};  ///< the earliest start; 0: all are reached
};

/// Tracks, for each backend, whether the last sign on this router's own links was a response or a failure.
class LinkMonitor {
 public:
  /// Adds a backend, which counts as reached.
  void track(const std::string& backend) { links_.try_emplace(backend); }
  /// Removes a backend that no longer exists.
  void forget(const std::string& backend) { links_.erase(backend); }
  /// The backend has sent something, or a connection to it was established.
  void on_heard(const std::string& backend, TimePoint now);
  /// A connection to the backend was refused, not answered, reset, or has gone silent.
  void on_failure(const std::string& backend, TimePoint now);
  /// Since when the backend does not answer; 0: it does, or was never tried.
  TimePoint unreached_since(const std::string& backend) const;
  LinkSummary summary() const;

 private:
  struct Link {
    TimePoint heard_at{0};
    TimePoint unreached_since{0};  ///< first failure since it was last heard; 0: none
  };
  std::map<std::string, Link> links_;  ///< by backend id
};

}  // namespace stoat::dispatch
