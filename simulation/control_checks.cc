// ControlSimulation: the invariants that are checked after every step and for every answer to a client.
#include "simulation/control_simulation.h"
#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::simulation {

void ControlSimulation::check_leaders() {
  for (auto& member : members_) {
    if (!member->running() || !member->core().replica().leads()) {
      continue;
    }
    const uint64_t term = member->core().replica().term();
    const auto [recorded, inserted] = leader_of_term_.emplace(term, member->id());
    result_.leaders_seen += inserted ? 1 : 0;
    if (recorded->second != member->id()) {
      record_violation("two leaders in term " + std::to_string(term));
    }
  }
}

void ControlSimulation::check_committed(size_t position) {
  SimulatedMember& member = *members_[position];
  if (!member.running()) {
    return;
  }
  const consensus::Replica& replica = member.core().replica();
  CheckedProgress& progress = checked_progress_[position];
  if (progress.start != member.starts()) {
    progress = CheckedProgress{};
    progress.start = member.starts();
  }
  const uint64_t commit = replica.commit_index();
  if (commit <= progress.commit) {
    return;
  }
  for (const consensus::Entry& entry :
       replica.entries_after(std::max(progress.commit, replica.snapshot_index()))) {
    if (entry.index > commit) {
      break;
    }
    const uint64_t content =
        hash_pair(entry.term, hash_bytes(entry.payload, static_cast<uint64_t>(entry.kind)));
    const auto [recorded, inserted] = committed_hash_.emplace(entry.index, content);
    if (!inserted && recorded->second != content) {
      record_violation("committed entry " + std::to_string(entry.index) + " differs on " + member.name());
    }
  }
  progress.commit = commit;
}

void ControlSimulation::check_applied(size_t position) {
  SimulatedMember& member = *members_[position];
  if (!member.running()) {
    return;
  }
  const fleet::FleetState& state = member.core().state().fleet();
  CheckedProgress& progress = checked_progress_[position];
  const uint64_t version = state.configuration().version;
  const auto weights = state.weights().find(kModel);
  const uint64_t weights_version = weights == state.weights().end() ? 0 : weights->second;
  if (version < progress.configuration || weights_version < progress.weights) {
    record_violation(member.name() + " regressed from configuration " +
                     std::to_string(progress.configuration) + " or weights " +
                     std::to_string(progress.weights));
  }
  progress.configuration = version;
  progress.weights = weights_version;
  const auto [recorded, inserted] = source_of_version_.emplace(version, state.source());
  if (!inserted && recorded->second != state.source()) {
    record_violation("two different documents under version " + std::to_string(version));
  }
}

void ControlSimulation::check_confirmed_read(const AcknowledgedState& expected,
                                             const fleet::FleetState& state) {
  const uint64_t version = state.configuration().version;
  if (version < expected.configuration) {
    record_violation("a confirmed read returned configuration " + std::to_string(version) + " after " +
                     std::to_string(expected.configuration) + " was acknowledged");
  }
  const auto weights = state.weights().find(kModel);
  if (expected.weights > 0 && (weights == state.weights().end() || weights->second < expected.weights)) {
    record_violation("a confirmed read lacks weights " + std::to_string(expected.weights) +
                     ", which were acknowledged");
  }
  for (const auto& [id, retired] : expected.retired) {
    if (state.retired_state(id) < retired) {
      record_violation("a confirmed read lacks the acknowledged retirement of " + id);
    }
  }
}

void ControlSimulation::record_acknowledged(const control::Command& command) {
  if (const auto* put = std::get_if<fleet::PutConfiguration>(&command.value)) {
    result_.configurations_accepted += put->configuration.version > acknowledged_.configuration ? 1 : 0;
    acknowledged_.configuration = std::max(acknowledged_.configuration, put->configuration.version);
  } else if (const auto* named = std::get_if<fleet::SetTargetWeights>(&command.value)) {
    acknowledged_.weights = std::max(acknowledged_.weights, named->version);
  } else if (const auto* retired = std::get_if<fleet::RetireBackend>(&command.value)) {
    fleet::BackendState& state = acknowledged_.retired[retired->id];
    result_.retirements_accepted += state < retired->state ? 1 : 0;
    state = std::max(state, retired->state);
  }
}

}  // namespace stoat::simulation
