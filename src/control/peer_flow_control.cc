#include "src/control/peer_flow_control.h"

namespace stoat::control {

namespace {

/// A member is sent no more updates while this many bytes are queued for it, not counting a full state.
constexpr size_t kMaxUnsentUpdateBytes = 1U << 20U;
/// The full state is sent only while no more than this many bytes are queued.
constexpr size_t kMaxUnsentBytesForFullState = 64U << 10U;
/// Minimum time between two full states for one member, plus a millisecond for each
/// kFullStateBytesPerMillisecond bytes of the first. In this time the first full state must arrive over a
/// link that carries other traffic too, and the member's answer must return.
constexpr Duration kMinFullStateInterval = 400ms;
constexpr size_t kFullStateBytesPerMillisecond = 1000;

}  // namespace

bool PeerFlowControl::accepts_update(const std::string& member, size_t unsent) {
  MemberState& state = members_[member];
  if (unsent >= kMaxUnsentUpdateBytes + state.full_state_bytes) {
    state.updates_missed = true;
    state.full_state_owed = true;
  }
  return !state.updates_missed;
}

void PeerFlowControl::on_full_state_request(const std::string& member, TimePoint now) {
  MemberState& state = members_[member];
  state.full_state_owed = state.full_state_owed || now >= state.next_full_state;
}

bool PeerFlowControl::full_state_due(const std::string& member, size_t unsent, TimePoint now) const {
  const auto state = members_.find(member);
  return state != members_.end() && state->second.full_state_owed && now >= state->second.next_full_state &&
         unsent <= kMaxUnsentBytesForFullState;
}

void PeerFlowControl::on_full_state_sent(const std::string& member, size_t bytes, TimePoint now) {
  MemberState& state = members_[member];
  state.full_state_owed = false;
  state.updates_missed = false;
  state.full_state_bytes = bytes;
  state.next_full_state = now + kMinFullStateInterval +
                          Duration(1000 * static_cast<int64_t>(bytes / kFullStateBytesPerMillisecond));
}

}  // namespace stoat::control
