/// Flow control for what is sent to the other members: updates, and the full state for a member that has
/// missed some. Limits the data that is queued on a slow connection, and how often the full state is sent.
/// Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::control {

/// Decides what may be sent to each member now. Members are identified by their internal address; `unsent` is
/// the number of bytes queued on the connection to the member.
class PeerFlowControl {
 public:
  /// True when an update may be sent to a member. False when too much data is queued; the member then misses
  /// updates, and must be sent the full state.
  bool accepts_update(const std::string& member, size_t unsent);
  /// Handles a member's request for the full state. The request is ignored until the last full state has had
  /// time to arrive, because the member repeats its request until it receives that state.
  void on_full_state_request(const std::string& member, TimePoint now);
  /// True when the full state should be sent to a member now.
  bool full_state_due(const std::string& member, size_t unsent, TimePoint now) const;
  /// Records that the full state was sent; `bytes` is its size.
  void on_full_state_sent(const std::string& member, size_t bytes, TimePoint now);

 private:
  struct MemberState {
    bool full_state_owed = false;
    bool updates_missed = false;  ///< since the last full state
    size_t full_state_bytes = 0;
    TimePoint next_full_state{0};
  };
  std::map<std::string, MemberState> members_;
};

}  // namespace stoat::control
