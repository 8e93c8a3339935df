// ControlSimulation: what is checked after every step and for every answer.
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
  Checked& checked = checked_[position];
  if (checked.start != member.starts()) {
    checked = Checked{};
    checked.start = member.starts();
  }
  const uint64_t commit = replica.commit_index();
  if (commit <= checked.commit) {
    return;
  }
  for (const consensus::Entry& entry :
       replica.entries_after(std::max(checked.commit, replica.snapshot_index()))) {
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
  checked.commit = commit;
}

void ControlSimulation::check_applied(size_t position) {
  SimulatedMember& member = *members_[position];
  if (!member.running()) {
    return;
  }
  const fleet::FleetState& state = member.core().state().fleet();
  Checked& checked = checked_[position];
  const uint64_t version = state.configuration().version;
  const auto weights = state.weights().find(kModel);
  const uint64_t weights_version = weights == state.weights().end() ? 0 : weights->second;
  if (version < checked.configuration || weights_version < checked.weights) {
    violate(member.name() + " went back from configuration " + std::to_string(checked.configuration) +
            " or weights " + std::to_string(checked.weights));
  }
  checked.configuration = version;
  checked.weights = weights_version;
  const auto [known, fresh] = source_of_version_.emplace(version, state.source());
  if (!fresh && known->second != state.source()) {
    violate("two contents under version " + std::to_string(version));
  }
}

void ControlSimulation::check_read(const Acknowledged& least, const fleet::FleetState& state) {
  const uint64_t version = state.configuration().version;
  if (version < least.configuration) {
    violate("a confirmed read gave configuration " + std::to_string(version) + " after " +
            std::to_string(least.configuration) + " was acknowledged");
  }
  const auto weights = state.weights().find(kModel);
  if (least.weights > 0 && (weights == state.weights().end() || weights->second < least.weights)) {
    violate("a confirmed read lacks weights " + std::to_string(least.weights) + ", which were acknowledged");
  }
  for (const auto& [id, retired] : least.retired) {
    if (state.retired_state(id) < retired) {
      violate("a confirmed read lacks the acknowledged retirement of " + id);
    }
  }
}

void ControlSimulation::note_acknowledged(const control::Command& command) {
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
