// ControlSimulation: what is checked after every step and for every answer.
#include "simulation/control_simulation.h"
#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::simulation {

using control::ChangeConfiguration;
using control::ClaimKey;
using control::CommandResult;
using control::ResultCode;

void ControlSimulation::check_leaders() {
  for (auto& member : members_) {
    if (!member->running() || !member->core().replica().leads()) {
      continue;
    }
    const uint64_t term = member->core().replica().term();
    const auto [known, fresh] = leader_of_term_.emplace(term, member->id());
    result_.leaders_seen += fresh ? 1 : 0;
    if (known->second != member->id()) {
      violate("two leaders in term " + std::to_string(term));
    }
  }
}

void ControlSimulation::check_committed(size_t position) {
  SimulatedMember& member = *members_[position];
  if (!member.running()) {
    return;
  }
  const consensus::Replica& replica = member.core().replica();
  if (checked_start_[position] != member.starts()) {
    checked_start_[position] = member.starts();
    checked_commit_[position] = 0;
  }
  const uint64_t commit = replica.commit_index();
  if (commit <= checked_commit_[position]) {
    return;
  }
  for (const consensus::Entry& entry :
       replica.entries_after(std::max(checked_commit_[position], replica.snapshot_index()))) {
    if (entry.index > commit) {
      break;
    }
    const uint64_t content =
        hash_pair(entry.term, hash_bytes(entry.payload, static_cast<uint64_t>(entry.kind)));
    const auto [known, fresh] = committed_hash_.emplace(entry.index, content);
    if (!fresh && known->second != content) {
      violate("committed entry " + std::to_string(entry.index) + " differs on " + member.name());
    }
  }
  checked_commit_[position] = commit;
}

void ControlSimulation::note_change_result(const ChangeConfiguration& change, const CommandResult& result) {
  const auto [first, fresh] = first_answers_.emplace(change.operator_request_id, result);
  if (!fresh && (first->second.code != result.code || first->second.version != result.version)) {
    violate("a resend of " + change.operator_request_id + " got another answer than the first");
  }
  if (result.code != ResultCode::kOk) {
    return;
  }
  const auto [winner, only] = accepted_by_base_.emplace(change.base_version, change.operator_request_id);
  if (winner->second != change.operator_request_id) {
    violate("two changes won on base version " + std::to_string(change.base_version));
  }
  if (only) {
    ++result_.changes_accepted;
  }
  acknowledged_version_ = std::max(acknowledged_version_, result.version);
}

void ControlSimulation::note_claim_result(const ClaimKey& claim, const CommandResult& result) {
  if (result.code != ResultCode::kOk) {
    return;
  }
  const auto [holder, fresh] = grant_of_key_.emplace(claim.key, claim.claim_id);
  result_.claims_granted += fresh ? 1 : 0;
  if (holder->second != claim.claim_id) {
    violate("key " + claim.key + " was granted twice");
  }
}

}  // namespace stoat::simulation
