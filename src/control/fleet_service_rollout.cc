/// FleetServer: rollouts of services to another version of their software. All members count and judge
/// answers, so that a new leader has the state of the old one. Only the leader takes steps, each one as a
/// command in the log.
#include <algorithm>

#include "src/control/fleet_server.h"
#include "src/events/rollout_events.h"

namespace stoat::control {

namespace {

/// A step that is not known to be committed is proposed again after this time.
constexpr Duration kProposalRetryDelay = 500ms;

bool may_serve(const fleet::BackendRecord& record) {
  return record.state == fleet::BackendState::kReady && !record.lost;
}

}  // namespace

void FleetServer::order_rollout(fleet::StartServiceRollout order, RolloutOrderCallback on_result) {
  propose(std::move(order), [on_result = std::move(on_result)](const CallOutcome& outcome) {
    on_result(outcome.done ? std::optional(outcome.result) : std::nullopt);
  });
}

void FleetServer::read_rollout(const std::string& service, RolloutReadCallback on_read) {
  read(service, [on_read = std::move(on_read)](const CallOutcome& outcome) {
    on_read(outcome.done ? std::optional(outcome.rollout) : std::nullopt);
  });
}

bool FleetServer::has_service(const std::string& name) const {
  const auto& services = core_->state().fleet().configuration().services;
  return std::any_of(services.begin(), services.end(), [&](const fleet::Service& service) {
    return service.name == name && service.store_address.empty();
  });
}

std::vector<fleet::ServiceRollout> FleetServer::last_rollout(const std::string& service) const {
  const auto& rollouts = core_->state().fleet().rollouts();
  const auto found = rollouts.find(service);
  return found == rollouts.end() ? std::vector<fleet::ServiceRollout>{} : std::vector{found->second};
}

void FleetServer::fill_in_order(fleet::StartServiceRollout& order) const {
  order.accepted_at_ms = wall_clock_ms();
  std::set<std::string> versions;
  for (const fleet::ServiceRollout& last : last_rollout(order.service)) {
    if (last.phase == fleet::RolloutPhase::kCompleted) {
      versions.insert(last.target_version);
    } else {
      versions.insert(last.active_versions.begin(), last.active_versions.end());
    }
  }
  if (versions.empty()) {
    for (const fleet::BackendRecord& record : soft_state_.registry().records()) {
      if (record.service == order.service && may_serve(record)) {
        versions.insert(record.software);
      }
    }
  }
  versions.erase(order.target_version);
  order.active_versions.assign(versions.begin(), versions.end());
}

Duration FleetServer::wall_clock_age(const fleet::ServiceRollout& rollout) {
  const int64_t age_ms =
      std::clamp<int64_t>(wall_clock_ms() - rollout.accepted_at_ms, 0, rollout.duration_ms);
  return Duration(1000 * age_ms);
}

void FleetServer::track_rollouts() {
  const TimePoint now = loop_.now();
  std::set<uint64_t> under_way;
  for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
    uint64_t& seen_step = seen_steps_[rollout.id];
    const bool stepped = seen_step != rollout.step;
    seen_step = rollout.step;
    if (!rollout.final() && rollout_progress_.count(rollout.id) == 0) {
      RolloutProgress& fresh = rollout_progress_[rollout.id];
      fresh.ordered_at = now - wall_clock_age(rollout);
      fresh.others_seen_at = now;
      fresh.judge = rollout::VersionJudge(settings_.judge);
    }
    if (stepped) {
      ++rollouts_revision_;
      log_rollout_step(rollout);
    }
    if (!rollout.final()) {
      under_way.insert(rollout.id);
    }
  }
  std::erase_if(rollout_progress_, [&](const auto& entry) { return under_way.count(entry.first) == 0; });
  soft_state_.retain_answers(under_way);
}

void FleetServer::log_rollout_step(const fleet::ServiceRollout& rollout) {
  events::ServiceRolloutStepped stepped;
  stepped.rollout = rollout;
  const auto found = rollout_progress_.find(rollout.id);
  if (found != rollout_progress_.end()) {
    RolloutProgress& progress = found->second;
    progress.step_started_at = loop_.now();
    progress.step_proposed = false;
    const rollout::Judgement& judgement = progress.judge.judgement();
    stepped.age_ms = to_milliseconds(loop_.now() - progress.ordered_at);
    stepped.answers = judgement.answers;
    stepped.failed = judgement.failed;
    stepped.doubt = judgement.doubt;
    const SentRequests sent = count_sent_requests(rollout.id);
    stepped.target_sent = sent.target;
    stepped.all_sent = sent.all;
  }
  log_.event(stepped);
}

FleetServer::SentRequests FleetServer::count_sent_requests(uint64_t rollout) const {
  SentRequests sent;
  for (const auto& [key, sums] : soft_state_.answers().totals()) {
    if (key.rollout == rollout) {
      sent.all += sums.sent;
      sent.target += key.target ? sums.sent : 0;
    }
  }
  return sent;
}

void FleetServer::record_applied_rollouts(const std::string& router,
                                          const std::vector<fleet::AppliedRollout>& applied) {
  router_confirmations_.record_applied(router, applied, loop_.now());
}

void FleetServer::adopt_rollout_ages(const fleet::PeerUpdate& peer_update) {
  if (!peer_update.leads || peer_update.term < core_->replica().term()) {
    return;
  }
  for (const fleet::RolloutAge& announced : peer_update.rollout_ages) {
    const auto known = rollout_progress_.find(announced.id);
    if (known != rollout_progress_.end()) {
      known->second.ordered_at = loop_.now() - Duration(1000 * announced.age_ms);
    }
  }
}

void FleetServer::judge_answers() {
  for (const auto& [key, sums] : soft_state_.answers().totals()) {
    const auto found = rollout_progress_.find(key.rollout);
    if (found == rollout_progress_.end()) {
      continue;
    }
    fleet::AnswerTotals& judged = found->second.judged_sums[key];
    fleet::AnswerTotals growth;
    rollout::add_increase(sums, judged, growth);
    judged = sums;
    found->second.judge.add(key, growth);
  }
  for (auto& [id, progress] : rollout_progress_) {
    progress.judge.judge(loop_.now());
  }
}

rollout::RolloutView FleetServer::make_rollout_view(const fleet::ServiceRollout& rollout) {
  const TimePoint now = loop_.now();
  RolloutProgress& progress = rollout_progress_.at(rollout.id);
  rollout::RolloutView view;
  view.rollout = &rollout;
  view.age = now - progress.ordered_at;
  view.time_in_step = now - progress.step_started_at;
  view.service_known = has_service(rollout.service);
  for (const fleet::BackendRecord& record : soft_state_.registry().records()) {
    if (record.service == rollout.service && may_serve(record)) {
      ++(record.software == rollout.target_version ? view.target_ready : view.others_ready);
    }
  }
  if (view.others_ready > 0) {
    progress.others_seen_at = now;
  }
  view.time_without_others = now - progress.others_seen_at;
  for (const fleet::Route& route : core_->state().fleet().configuration().routes) {
    const bool route_uses_service =
        std::any_of(route.shares.begin(), route.shares.end(),
                    [&](const fleet::ServiceShare& share) { return share.service == rollout.service; });
    if (route_uses_service) {
      view.longest_run = std::max(view.longest_run, Duration(1000 * route.timeout_ms));
    }
  }
  view.judgement = progress.judge.judgement();
  const SentRequests sent = count_sent_requests(rollout.id);
  view.target_sent = static_cast<double>(sent.target);
  view.all_sent = static_cast<double>(sent.all);
  const rollout::RolloutConfirmation word =
      router_confirmations_.confirmation_of(rollout.id, rollout.step, now);
  view.all_applied = word.all_applied;
  view.others_running = word.others_running;
  return view;
}

void FleetServer::step_rollout(const fleet::ServiceRollout& rollout) {
  const rollout::RolloutView view = make_rollout_view(rollout);
  const Metrics::Labels labels = {{"service", rollout.service}};
  metrics_.set("stoat_control_rollout_share", rollout.share, labels);
  metrics_.set("stoat_control_rollout_doubt", view.judgement.doubt, labels);
  metrics_.set("stoat_control_rollout_answers", static_cast<double>(view.judgement.answers), labels);
  metrics_.set("stoat_control_rollout_failed", static_cast<double>(view.judgement.failed), labels);
  metrics_.set("stoat_control_rollout_target_sent", view.target_sent, labels);
  metrics_.set("stoat_control_rollout_all_sent", view.all_sent, labels);
  RolloutProgress& progress = rollout_progress_.at(rollout.id);
  const TimePoint now = loop_.now();
  if (!core_->replica().leads() || !core_->replica().term_committed() ||
      (progress.step_proposed && now - progress.step_proposed_at < kProposalRetryDelay)) {
    return;
  }
  const auto step = rollout::next_step(view, settings_.service_rollout);
  if (!step) {
    return;
  }
  progress.step_proposed = true;
  progress.step_proposed_at = now;
  commit(*step, [](bool) {});  // a lost step is planned again
}

void FleetServer::advance_service_rollouts() {
  if (rollout_progress_.empty()) {
    return;
  }
  judge_answers();
  std::vector<fleet::ServiceRollout> under_way;  // copies, since a step may change the state below
  for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
    if (rollout_progress_.count(rollout.id) > 0) {
      under_way.push_back(rollout);
    }
  }
  std::vector<fleet::RolloutAge> ages;
  for (const fleet::ServiceRollout& rollout : under_way) {
    if (rollout_progress_.count(rollout.id) > 0) {
      ages.push_back(
          {rollout.id, to_milliseconds(loop_.now() - rollout_progress_.at(rollout.id).ordered_at)});
      step_rollout(rollout);
    }
  }
  if (core_->replica().leads()) {
    soft_state_.announce_rollout_ages(std::move(ages));
  }
}

}  // namespace stoat::control
