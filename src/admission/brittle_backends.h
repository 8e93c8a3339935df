/// Backends that have announced in responses that they are brittle: one that has to reject more than a few
/// requests in a second falls over. Holds what this router has heard and what the control plane has passed on
/// from other routers. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/slot_lease.h"

namespace stoat::admission {

/// Brittle backends by id. Each function that records something returns true if the backend has become
/// brittle, or no longer is.
class BrittleBackends {
 public:
  /// Records that a backend stated how many rejections per second it bears.
  bool record_announcement(const std::string& backend, double rejections_per_second, TimePoint now);
  /// Records a response without such a statement to a request sent at `sent_at`. An announcement heard after
  /// `sent_at` stays in force, since responses can overtake one another.
  bool record_response_without(const std::string& backend, TimePoint sent_at);
  /// Applies what another router has heard.
  bool apply_shared(const fleet::BrittleBackend& announcement, TimePoint now);
  /// Drops a backend that no longer exists.
  void forget(const std::string& backend) { brittle_.erase(backend); }

  bool contains(const std::string& backend) const { return brittle_.count(backend) > 0; }
  bool empty() const { return brittle_.empty(); }
  size_t size() const { return brittle_.size(); }
  std::vector<std::string> ids() const;
  bool has_unreported() const { return !unreported_.empty(); }
  /// Returns what this router has heard since the previous call. With `include_all`, returns everything that
  /// it has heard itself, for a member that has received none yet.
  std::vector<fleet::BrittleBackend> take_unreported(bool include_all);

 private:
  struct Entry {
    double rejections_per_second = 0;
    TimePoint heard_at{0};
    bool heard_here = false;  ///< from a response to this router
  };
  std::map<std::string, Entry> brittle_;
  std::map<std::string, double> unreported_;
};

}  // namespace stoat::admission
