#include "src/control/member_planner.h"

#include <algorithm>

namespace stoat::control {

namespace {

using consensus::Member;
using consensus::MemberId;
using consensus::MemberList;

MemberList to_member_list(const std::vector<MemberView>& current) {
  MemberList list;
  for (const MemberView& view : current) {
    list.members.push_back(view.member);
  }
  return list;
}

size_t count_voters(const std::vector<MemberView>& current) {
  return static_cast<size_t>(std::count_if(current.begin(), current.end(),
                                           [](const MemberView& view) { return view.member.voter; }));
}

/// True when a member with the same address has answered more recently: the disk at this address was lost,
/// and with it the identity of `candidate`.
bool is_superseded(const MemberView& candidate, const std::vector<MemberView>& current) {
  return std::any_of(current.begin(), current.end(), [&](const MemberView& other) {
    return other.member.id != candidate.member.id && other.member.address == candidate.member.address &&
           other.silence < candidate.silence;
  });
}

/// The voter to remove first: one whose disk was lost, else the one that has been silent the longest; nullptr
/// when all voters answer.
const MemberView* voter_to_replace(const std::vector<MemberView>& current, const MembershipOptions& options) {
  const MemberView* longest_silent = nullptr;
  for (const MemberView& view : current) {
    if (!view.member.voter) {
      continue;
    }
    if (is_superseded(view, current)) {
      return &view;
    }
    if (view.silence > options.max_voter_silence &&
        (longest_silent == nullptr || view.silence > longest_silent->silence)) {
      longest_silent = &view;
    }
  }
  return longest_silent;
}

std::optional<MemberList> remove_member(const std::vector<MemberView>& current, MemberId id) {
  MemberList list = to_member_list(current);
  std::erase_if(list.members, [id](const Member& member) { return member.id == id; });
  return list;
}

std::optional<MemberList> add_learner(const std::vector<MemberView>& current,
                                      const std::vector<Member>& joining) {
  for (const Member& joining_member : joining) {
    const bool is_listed = std::any_of(current.begin(), current.end(), [&](const MemberView& view) {
      return view.member.id == joining_member.id;
    });
    if (!is_listed) {
      MemberList list = to_member_list(current);
      list.members.push_back(joining_member);
      list.members.back().voter = false;
      return list;
    }
  }
  return std::nullopt;
}

std::optional<MemberList> promote_learner(const std::vector<MemberView>& current,
                                          const MembershipOptions& options) {
  for (const MemberView& view : current) {
    if (view.member.voter || !view.caught_up || view.silence > options.max_voter_silence / 2) {
      continue;
    }
    MemberList list = to_member_list(current);
    for (Member& member : list.members) {
      member.voter = member.voter || member.id == view.member.id;
    }
    return list;
  }
  return std::nullopt;
}

std::optional<MemberList> remove_stale_learner(const std::vector<MemberView>& current,
                                               const MembershipOptions& options) {
  for (const MemberView& view : current) {
    if (!view.member.voter && (is_superseded(view, current) || view.silence > options.max_learner_silence)) {
      return remove_member(current, view.member.id);
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MemberList> plan_members(const std::vector<MemberView>& current,
                                       const std::vector<Member>& joining, size_t target_voters,
                                       const MembershipOptions& options) {
  const size_t voters = count_voters(current);
  const MemberView* outgoing = voter_to_replace(current, options);
  if (voters > target_voters && outgoing != nullptr) {
    return remove_member(current, outgoing->member.id);
  }
  if (voters < target_voters || (voters == target_voters && outgoing != nullptr)) {
    if (auto list = promote_learner(current, options)) {
      return list;
    }
  }
  if (auto list = add_learner(current, joining)) {
    return list;
  }
  return remove_stale_learner(current, options);
}

}  // namespace stoat::control
