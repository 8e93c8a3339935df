/// GatewayServer: orders that move services to another version of their program, and the word to control on
/// how far this router keeps to them.
#include <algorithm>

#include "src/events/rollout_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// A confirmation of this age still counts as a word from the fleet (rollout::ServiceVersions).
constexpr int64_t kFreshConfirmationMs = 1000;

}  // namespace

void GatewayServer::take_rollouts(const fleet::FleetUpdate& update) {
  if (update.quorum_age_ms >= 0 && update.quorum_age_ms < kFreshConfirmationMs) {
    context_.versions.confirm(loop_.now() - Duration(1000 * update.quorum_age_ms));
  }
  if (update.rollouts.empty() || !context_.versions.take(update.rollouts)) {
    return;
  }
  std::set<uint64_t> under_way;
  for (const auto& [service, rollout] : context_.versions.all()) {
    if (!rollout.final()) {
      under_way.insert(rollout.id);
    }
    log_.event(events::RolloutApplied{rollout});
  }
  context_.answers.keep(under_way);
  others_ended_.clear();
  // Not from within the handler of a message: all channels are written to.
  loop_.after(Duration(0), [this] { link_.tell_now(); });
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

void GatewayServer::tell_ended_rollouts() {
  bool news = false;
  for (const fleet::AppliedRollout& entry : applied_rollouts()) {
    const bool ended = entry.others_running == 0;
    bool& told = others_ended_[entry.id];
    news = news || (ended && !told);
    told = ended;
  }
  // While a version is on trial the others always have something to do, or soon again.
  const auto& all = context_.versions.all();
  const bool switching = std::any_of(all.begin(), all.end(), [](const auto& entry) {
    return entry.second.phase == fleet::RolloutPhase::kSwitching;
  });
  if (news && switching) {
    link_.tell_now();
  }
}

}  // namespace stoat::gateway
