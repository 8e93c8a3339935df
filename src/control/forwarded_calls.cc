#include "src/control/forwarded_calls.h"

namespace stoat::control {

namespace {

/// Callers turn to another member after a second without an answer; an election takes 250 to 700 ms.
constexpr Duration kLeaderWait = 900ms;

}  // namespace

void ForwardedCalls::on_leader(const std::string& address, TimePoint now) {
  if (address == leader_) {
    return;
  }
  leader_ = address;
  leaderless_since_ = now;
  for (auto& [token, kept] : calls_) {
    kept.sent = false;
  }
}

bool ForwardedCalls::add(uint64_t token, wire::Message message, TimePoint now) {
  if (leader_.empty() && now - leaderless_since_ > kLeaderWait) {
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
  for (auto& [token, kept] : calls_) {
    if (!kept.sent) {
      kept.sent = true;
      due.push_back({token, kept.message});
    }
  }
  return due;
}

std::vector<uint64_t> ForwardedCalls::expired_without_leader(TimePoint now) const {
  std::vector<uint64_t> tokens;
  for (const auto& [token, kept] : calls_) {
    if (leader_.empty() && now - kept.since > kLeaderWait) {
      tokens.push_back(token);
    }
  }
  return tokens;
}

}  // namespace stoat::control
