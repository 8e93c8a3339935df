#include "src/control/forwarded_calls.h"

namespace stoat::control {

namespace {

/// Callers switch to another member after a second without an answer; an election takes 250 to 700 ms.
constexpr Duration kMaxLeaderWait = 900ms;

}  // namespace

void ForwardedCalls::on_leader(const std::string& address, TimePoint now) {
  if (address == leader_) {
    return;
  }
  leader_ = address;
  leaderless_since_ = now;
  for (auto& [token, pending] : calls_) {
    pending.sent = false;
  }
}

bool ForwardedCalls::add(uint64_t token, wire::Message message, TimePoint now) {
  if (leader_.empty() && now - leaderless_since_ > kMaxLeaderWait) {
    return false;
  }
  calls_[token] = {std::move(message), false, now};
  return true;
}

std::vector<ForwardedCalls::Call> ForwardedCalls::take_due() {
  std::vector<Call> due;
  if (leader_.empty()) {
    return due;
  }
  for (auto& [token, pending] : calls_) {
    if (!pending.sent) {
      pending.sent = true;
      due.push_back({token, pending.message});
    }
  }
  return due;
}

std::vector<uint64_t> ForwardedCalls::expired_without_leader(TimePoint now) const {
  std::vector<uint64_t> tokens;
  for (const auto& [token, pending] : calls_) {
    if (leader_.empty() && now - pending.added_at > kMaxLeaderWait) {
      tokens.push_back(token);
    }
  }
  return tokens;
}

}  // namespace stoat::control
