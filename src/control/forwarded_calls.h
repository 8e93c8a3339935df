/// Calls that this member has sent on to the leader. One that a dead leader took, or that comes in during an
/// election, is sent to the next leader instead of being lost: its caller waits a second at most. All
/// commands may be repeated. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/wire/messages.h"

namespace stoat::control {

/// See the head of this file.
class ForwardedCalls {
 public:
  /// A call to send on.
  struct Call {
    uint64_t token = 0;
    wire::Message message;
  };

  /// Takes note of who leads; empty: nobody that is known. All calls are due again when that changes.
  void on_leader(const std::string& address, TimePoint now);
  /// Keeps a call until it ends. False when it should be refused at once: there has been no leader for longer
  /// than an election takes.
  bool add(uint64_t token, wire::Message message, TimePoint now);
  bool holds(uint64_t token) const { return calls_.count(token) > 0; }
  /// A call has ended.
  void erase(uint64_t token) { calls_.erase(token); }
  /// The calls that the present leader has not been sent yet. They count as sent.
  std::vector<Call> take_due();
  /// Calls that no leader could be found for in time. They are to be refused.
  std::vector<uint64_t> expired_without_leader(TimePoint now) const;

 private:
  struct Kept {
    wire::Message message;
    bool sent = false;  ///< to the present leader
    TimePoint since{0};
  };
  std::string leader_;
  TimePoint leaderless_since_{0};
  std::map<uint64_t, Kept> calls_;  ///< by token
};

}  // namespace stoat::control
