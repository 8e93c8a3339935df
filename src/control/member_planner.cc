#include "src/control/member_planner.h"

#include <algorithm>

namespace stoat::control {

namespace {

using consensus::Member;
using consensus::MemberId;
using consensus::MemberList;

MemberList list_of(const std::vector<MemberView>& present) {
  MemberList list;
  for (const MemberView& view : present) {
    list.members.push_back(view.member);
  }
  return list;
}

size_t count_voters(const std::vector<MemberView>& present) {
  return static_cast<size_t>(std::count_if(present.begin(), present.end(),
                                           [](const MemberView& view) { return view.member.voter; }));
}

/// True when another member has the same address: a disk was lost there, and this identity with it.
bool superseded(const MemberView& candidate, const std::vector<MemberView>& present) {
  return std::any_of(present.begin(), present.end(), [&](const MemberView& other) {
    return other.member.id != candidate.member.id && other.member.address == candidate.member.address &&
           other.silence < candidate.silence;
  });
}

/// The voter to go first: one whose disk was lost, else the one silent the longest; nullptr when all live.
const MemberView* voter_to_replace(const std::vector<MemberView>& present, const PlannerOptions& options) {
  const MemberView* worst = nullptr;
  for (const MemberView& view : present) {
    if (!view.member.voter) {
      continue;
    }
    if (superseded(view, present)) {
      return &view;
    }
    if (view.silence > options.voter_silence && (worst == nullptr || view.silence > worst->silence)) {
      worst = &view;
    }
  }
  return worst;
}

std::optional<MemberList> without(const std::vector<MemberView>& present, MemberId id) {
  MemberList list = list_of(present);
  std::erase_if(list.members, [id](const Member& member) { return member.id == id; });
  return list;
}

std::optional<MemberList> take_in(const std::vector<MemberView>& present,
                                  const std::vector<Member>& joining) {
  for (const Member& newcomer : joining) {
    const bool known = std::any_of(present.begin(), present.end(),
                                   [&](const MemberView& view) { return view.member.id == newcomer.id; });
    if (!known) {
      MemberList list = list_of(present);
      list.members.push_back(newcomer);
      list.members.back().voter = false;
      return list;
    }
  }
  return std::nullopt;
}

std::optional<MemberList> promote(const std::vector<MemberView>& present, const PlannerOptions& options) {
  for (const MemberView& view : present) {
    if (view.member.voter || !view.caught_up || view.silence > options.voter_silence / 2) {
      continue;
    }
    MemberList list = list_of(present);
    for (Member& member : list.members) {
      member.voter = member.voter || member.id == view.member.id;
    }
    return list;
  }
  return std::nullopt;
}

std::optional<MemberList> drop_dead_learner(const std::vector<MemberView>& present,
                                            const PlannerOptions& options) {
  for (const MemberView& view : present) {
    if (!view.member.voter && (superseded(view, present) || view.silence > options.learner_silence)) {
      return without(present, view.member.id);
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MemberList> plan_members(const std::vector<MemberView>& present,
                                       const std::vector<Member>& joining, size_t target_voters,
                                       const PlannerOptions& options) {
  const size_t voters = count_voters(present);
  const MemberView* failing = voter_to_replace(present, options);
  if (voters > target_voters && failing != nullptr) {
    return without(present, failing->member.id);
  }
  if (voters < target_voters || (voters == target_voters && failing != nullptr)) {
    if (auto list = promote(present, options)) {
      return list;
    }
  }
  if (auto list = take_in(present, joining)) {
    return list;
  }
  return drop_dead_learner(present, options);
}

}  // namespace stoat::control
