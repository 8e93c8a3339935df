/// What this router's own links reach: which backends answer it, and since when others do not. Performs no
/// I/O.
///
/// Failures at several backends with no sign of life from any backend in between mean that this router is cut
/// off: its failures then say nothing about the backends.
#pragma once

#include <map>
#include <set>
#include <string>

#include "src/common/time.h"

namespace stoat::dispatch {

/// The backends that a router knows, and how many of them do not answer it over its own links.
struct LinkSummary {
  size_t known = 0;
  size_t unreached = 0;
  TimePoint unreached_since{0};  ///< the earliest start; 0: all are reached
  bool cut_off = false;
};

/// Tracks, for each backend, what this router's own links have shown last.
class LinkMonitor {
 public:
  /// Adds a backend, which counts as reached.
  void track(const std::string& backend) { links_.try_emplace(backend); }
  /// Removes a backend that no longer exists.
  void forget(const std::string& backend);
  /// The backend has sent something on a direct connection.
  void on_heard(const std::string& backend, TimePoint now);
  /// A direct connection to the backend was established.
  void on_connected(const std::string& backend, TimePoint now);
  /// A direct connection to the backend was refused, or not answered.
  void on_connect_failure(const std::string& backend, TimePoint now);
  /// An established direct connection was reset, or has gone silent.
  void on_broken(const std::string& backend, TimePoint now);
  /// Another router reaches the backend, whose direct connections fail here.
  void on_relay_reached(const std::string& backend);

  /// True if new connections to the backend should go through another router.
  bool prefers_relay(const std::string& backend) const;
  /// True if direct connections that are still open can be used although new ones fail.
  bool open_connections_live(const std::string& backend) const;
  /// True if direct connections to this backend, and not to all, fail while another router reaches it.
  bool relayed_alone(const std::string& backend) const;
  /// True if at least kMinFailedBackends backends have failed since any backend was last heard.
  bool cut_off() const { return failed_since_heard_.size() >= kMinFailedBackends; }
  /// True if that has been so for at least `span`.
  bool cut_off_for(Duration span, TimePoint now) const { return cut_off() && now - cut_off_since_ >= span; }
  /// True if a backend other than this one was heard at `since` or later, so that the links work.
  bool heard_other_since(const std::string& backend, TimePoint since) const;
  /// The backends that are reached through other routers only, while this one is not cut off.
  std::set<std::string> relayed_backends() const;
  LinkSummary summary() const;

 private:
  struct Link {
    TimePoint heard_at{0};
    TimePoint unreached_since{0};       ///< first failure since it was last heard; 0: none
    TimePoint connect_failed_since{0};  ///< first failure since a connection was last established; 0: none
    bool relay_reaches = false;         ///< meaningless while connect_failed_since is 0
  };
  static constexpr size_t kMinFailedBackends = 2;

  /// Returns the link of a backend; nullptr if the backend is not known.
  const Link* find(const std::string& backend) const;

  std::map<std::string, Link> links_;         ///< by backend id
  std::set<std::string> troubled_;            ///< backends with a failure that has not ended
  std::set<std::string> failed_since_heard_;  ///< backends that failed since any backend was last heard
  TimePoint cut_off_since_{0};                ///< meaningless while not cut off
};

}  // namespace stoat::dispatch
