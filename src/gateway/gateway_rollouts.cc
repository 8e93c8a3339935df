/// Part of GatewayServer: rollouts that move services to another version of their program, and the reports to
/// the control plane on how far this router has applied them.
#include <algorithm>

#include "src/events/rollout_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// A leader confirmation younger than this also confirms the rollouts that this router knows
/// (rollout::ServiceVersions::confirm).
constexpr int64_t kFreshConfirmationMs = 1000;

}  // namespace

void GatewayServer::store_rollouts(const fleet::FleetUpdate& update) {
  if (update.quorum_age_ms >= 0 && update.quorum_age_ms < kFreshConfirmationMs) {
    context_.versions.confirm(loop_.now() - Duration(1000 * update.quorum_age_ms));
  }
  if (update.rollouts.empty() || !context_.versions.store_newer(update.rollouts)) {
    return;
  }
  std::set<uint64_t> in_progress;
  for (const auto& [service, rollout] : context_.versions.all()) {
    if (!rollout.final()) {
      in_progress.insert(rollout.id);
    }
    log_.event(events::RolloutApplied{rollout});
  }
  context_.answers.retain_only(in_progress);
  other_versions_idle_.clear();
  // Deferred until the message handler has returned, because it writes to all channels.
  loop_.after(Duration(0), [this] { control_link_.send_status_to_all(); });
}

std::vector<fleet::AppliedRollout> GatewayServer::applied_rollouts() const {
  std::vector<fleet::AppliedRollout> applied;
  for (const auto& [service, rollout] : context_.versions.all()) {
    if (rollout.final()) {
      continue;
    }
    fleet::AppliedRollout entry{rollout.id, rollout.step, 0, 0};
    for (const dispatch::BackendPtr& backend : pool_.of_service(service)) {
      const bool target = backend->record.software == rollout.target_version;
      (target ? entry.target_running : entry.others_running) += backend->outstanding;
    }
    applied.push_back(entry);
  }
  return applied;
}

void GatewayServer::report_drained_versions() {
  bool any_newly_drained = false;
  for (const fleet::AppliedRollout& entry : applied_rollouts()) {
    const bool drained = entry.others_running == 0;
    bool& reported = other_versions_idle_[entry.id];
    any_newly_drained = any_newly_drained || (drained && !reported);
    reported = drained;
  }
  // Reported at once only during a switch: while a version is on trial, requests still go to the other
  // versions, so these versions are idle only for a moment.
  const auto& all = context_.versions.all();
  const bool switching = std::any_of(all.begin(), all.end(), [](const auto& entry) {
    return entry.second.phase == fleet::RolloutPhase::kSwitching;
  });
  if (any_newly_drained && switching) {
    control_link_.send_status_to_all();
  }
}

}  // namespace stoat::gateway
