/// What each of the other members may be sent now: news, and the whole when it lacks some of them. Bounds
/// what waits on a slow connection and how often the whole goes out. Free of I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::control {

/// See the head of this file. Members are named by their internal address; `unsent` is what waits to be
/// written on the connection to one, in bytes.
class PeerFlowControl {
 public:
  /// False when too much waits. The member then misses news, and is owed the whole.
  bool accepts_update(const std::string& member, size_t unsent);
  /// A member says that it lacks news. Counts only once the last whole has had time to arrive: until then the
  /// member repeats what it asked before it came.
  void on_request(const std::string& member, TimePoint now);
  /// True when a member is to be sent the whole now.
  bool full_state_due(const std::string& member, size_t unsent, TimePoint now) const;
  /// The whole was sent.
  void on_full_state_sent(const std::string& member, size_t bytes, TimePoint now);

 private:
  struct Feed {
    bool owed = false;    ///< the whole
    bool missed = false;  ///< news since the last whole
    size_t whole_bytes = 0;
    TimePoint next_whole{0};
  };
  std::map<std::string, Feed> feeds_;
};

}  // namespace stoat::control
