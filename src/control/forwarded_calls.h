/// Calls that this member has forwarded to the leader. A call that was sent to a failed leader, or that
/// arrives during an election, is sent to the next leader, so that it is not lost. Its caller waits 1 s at
/// most. A command may thus be sent more than once, so every command must be safe to repeat. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/wire/messages.h"

namespace stoat::control {

/// Tracks forwarded calls until they end.
class ForwardedCalls {
 public:
  /// A call to be sent to the leader.
  struct Call {
    uint64_t token = 0;
    wire::Message message;
  };

  /// Sets the current leader; empty when none is known. When it changes, all calls are due again.
  void on_leader(const std::string& address, TimePoint now);
  /// Keeps a call until it ends. False when the call should be refused at once, because there has been no
  /// leader for longer than an election takes.
  bool add(uint64_t token, wire::Message message, TimePoint now);
  bool contains(uint64_t token) const { return calls_.count(token) > 0; }
  /// Removes a call that has ended.
  void erase(uint64_t token) { calls_.erase(token); }
  /// The calls that the current leader has not been sent yet. Marks them as sent.
  std::vector<Call> take_due();
  /// Calls for which no leader was found in time. They should be refused.
  std::vector<uint64_t> expired_without_leader(TimePoint now) const;

 private:
  struct PendingCall {
    wire::Message message;
    bool sent = false;  ///< to the current leader
    TimePoint added_at{0};
  };
  std::string leader_;
  TimePoint leaderless_since_{0};
  std::map<uint64_t, PendingCall> calls_;  ///< by token
};

}  // namespace stoat::control
