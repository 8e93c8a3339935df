/// FleetServer: services that are moved to another version of their program. All members count and judge, so
/// that a new leader knows what the old one knew; only the leader takes steps, each through the log.
#include <algorithm>

#include "src/control/fleet_server.h"
#include "src/events/rollout_events.h"

namespace stoat::control {

namespace {

/// A step that is not known to be committed is proposed again after so long.
constexpr Duration kProposeAgain = 500ms;

bool may_serve(const fleet::BackendRecord& record) {
  return record.state == fleet::BackendState::kReady && !record.lost;
}

}  // namespace

void FleetServer::order_rollout(fleet::StartServiceRollout order, OrderTaken on_taken) {
  propose(std::move(order), [on_taken = std::move(on_taken)](const CallOutcome& outcome) {
    on_taken(outcome.done ? std::optional(outcome.result) : std::nullopt);
  });
}

void FleetServer::read_rollout(const std::string& service, RolloutRead on_read) {
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

std::vector<fleet::ServiceRollout> FleetServer::rollout_of(const std::string& service) const {
  const auto& rollouts = core_->state().fleet().rollouts();
  const auto found = rollouts.find(service);
  return found == rollouts.end() ? std::vector<fleet::ServiceRollout>{} : std::vector{found->second};
}

void FleetServer::stamp(fleet::StartServiceRollout& order) const {
  order.accepted_at_ms = wall_clock_ms();
  std::set<std::string> versions;
  for (const fleet::ServiceRollout& last : rollout_of(order.service)) {
    if (last.phase == fleet::RolloutPhase::kCompleted) {
      versions.insert(last.target_version);
    } else {
      versions.insert(last.active_versions.begin(), last.active_versions.end());
    }
  }
  if (versions.empty()) {
    for (const fleet::BackendRecord& record : knowledge_.registry().records()) {
      if (record.service == order.service && may_serve(record)) {
        versions.insert(record.software);
      }
    }
  }
  versions.erase(order.target_version);
  order.active_versions.assign(versions.begin(), versions.end());
}

Duration FleetServer::age_at_start(const fleet::ServiceRollout& rollout) {
  const int64_t age_ms =
      std::clamp<int64_t>(wall_clock_ms() - rollout.accepted_at_ms, 0, rollout.duration_ms);
  return Duration(1000 * age_ms);
}

void FleetServer::note_rollouts() {
  const TimePoint now = loop_.now();
  std::set<uint64_t> under_way;
  for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
    uint64_t& noted = noted_steps_[rollout.id];
    const bool stepped = noted != rollout.step;
    noted = rollout.step;
    if (!rollout.final() && progress_.count(rollout.id) == 0) {
      RolloutProgress& fresh = progress_[rollout.id];
      fresh.ordered_at = now - age_at_start(rollout);
      fresh.others_seen = now;
      fresh.judge = rollout::VersionJudge(settings_.judge);
    }
    if (stepped) {
      ++rollouts_revision_;
      log_step(rollout);
    }
    if (!rollout.final()) {
      under_way.insert(rollout.id);
    }
  }
  std::erase_if(progress_, [&](const auto& entry) { return under_way.count(entry.first) == 0; });
  knowledge_.keep_answers(under_way);
}

void FleetServer::log_step(const fleet::ServiceRollout& rollout) {
  events::ServiceRolloutStepped stepped;
  stepped.rollout = rollout;
  const auto found = progress_.find(rollout.id);
  if (found != progress_.end()) {
    RolloutProgress& progress = found->second;
    progress.step_at = loop_.now();
    progress.proposed = false;
    const rollout::Judgement& judgement = progress.judge.judgement();
    stepped.age_ms = to_milliseconds(loop_.now() - progress.ordered_at);
    stepped.answers = judgement.answers;
    stepped.failed = judgement.failed;
    stepped.doubt = judgement.doubt;
    const SentRequests sent = sent_under(rollout.id);
    stepped.target_sent = sent.target;
    stepped.all_sent = sent.all;
  }
  log_.event(stepped);
}

FleetServer::SentRequests FleetServer::sent_under(uint64_t rollout) const {
  SentRequests sent;
  for (const auto& [key, sums] : knowledge_.answers().totals()) {
    if (key.rollout == rollout) {
      sent.all += sums.sent;
      sent.target += key.target ? sums.sent : 0;
    }
  }
  return sent;
}

void FleetServer::note_applied(const std::string& router, const std::vector<fleet::AppliedRollout>& applied) {
  confirmations_.note(router, applied, loop_.now());
}

void FleetServer::adopt_ages(const fleet::PeerUpdate& news) {
  if (!news.leads || news.term < core_->replica().term()) {
    return;
  }
  for (const fleet::RolloutAge& told : news.rollout_ages) {
    const auto known = progress_.find(told.id);
    if (known != progress_.end()) {
      known->second.ordered_at = loop_.now() - Duration(1000 * told.age_ms);
    }
  }
}

void FleetServer::judge_answers() {
  for (const auto& [key, sums] : knowledge_.answers().totals()) {
    const auto found = progress_.find(key.rollout);
    if (found == progress_.end()) {
      continue;
    }
    fleet::AnswerTotals& judged = found->second.judged[key];
    fleet::AnswerTotals growth;
    rollout::add_increase(sums, judged, growth);
    judged = sums;
    found->second.judge.add(key, growth);
  }
  for (auto& [id, progress] : progress_) {
    progress.judge.judge(loop_.now());
  }
}

rollout::RolloutView FleetServer::view_of(const fleet::ServiceRollout& rollout) {
  const TimePoint now = loop_.now();
  RolloutProgress& progress = progress_.at(rollout.id);
  rollout::RolloutView view;
  view.rollout = &rollout;
  view.age = now - progress.ordered_at;
  view.in_step = now - progress.step_at;
  view.service_known = has_service(rollout.service);
  for (const fleet::BackendRecord& record : knowledge_.registry().records()) {
    if (record.service == rollout.service && may_serve(record)) {
      ++(record.software == rollout.target_version ? view.target_ready : view.others_ready);
    }
  }
  if (view.others_ready > 0) {
    progress.others_seen = now;
  }
  view.others_gone = now - progress.others_seen;
  for (const fleet::Route& route : core_->state().fleet().configuration().routes) {
    const bool leads_there =
        std::any_of(route.shares.begin(), route.shares.end(),
                    [&](const fleet::ServiceShare& share) { return share.service == rollout.service; });
    if (leads_there) {
      view.longest_run = std::max(view.longest_run, Duration(1000 * route.timeout_ms));
    }
  }
  view.judgement = progress.judge.judgement();
  const SentRequests sent = sent_under(rollout.id);
  view.target_sent = static_cast<double>(sent.target);
  view.all_sent = static_cast<double>(sent.all);
  const rollout::RolloutConfirmation word = confirmations_.confirmation_of(rollout.id, rollout.step, now);
  view.all_applied = word.all_applied;
  view.others_running = word.others_running;
  return view;
}

void FleetServer::step_rollout(const fleet::ServiceRollout& rollout) {
  const rollout::RolloutView view = view_of(rollout);
  const Metrics::Labels labels = {{"service", rollout.service}};
  metrics_.set("stoat_control_rollout_share", rollout.share, labels);
  metrics_.set("stoat_control_rollout_doubt", view.judgement.doubt, labels);
  metrics_.set("stoat_control_rollout_answers", static_cast<double>(view.judgement.answers), labels);
  metrics_.set("stoat_control_rollout_failed", static_cast<double>(view.judgement.failed), labels);
  metrics_.set("stoat_control_rollout_target_sent", view.target_sent, labels);
  metrics_.set("stoat_control_rollout_all_sent", view.all_sent, labels);
  RolloutProgress& progress = progress_.at(rollout.id);
  const TimePoint now = loop_.now();
  if (!core_->replica().leads() || !core_->replica().term_committed() ||
      (progress.proposed && now - progress.proposed_at < kProposeAgain)) {
    return;
  }
  const auto step = rollout::next_step(view, settings_.service_rollout);
  if (!step) {
    return;
  }
  progress.proposed = true;
  progress.proposed_at = now;
  commit(*step, [](bool) {});  // a step that is lost is planned again
}

void FleetServer::drive_rollouts() {
  if (progress_.empty()) {
    return;
  }
  judge_answers();
  std::vector<fleet::ServiceRollout> under_way;  // a step may change the state below
  for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
    if (progress_.count(rollout.id) > 0) {
      under_way.push_back(rollout);
    }
  }
  std::vector<fleet::RolloutAge> ages;
  for (const fleet::ServiceRollout& rollout : under_way) {
    if (progress_.count(rollout.id) > 0) {
      ages.push_back({rollout.id, to_milliseconds(loop_.now() - progress_.at(rollout.id).ordered_at)});
      step_rollout(rollout);
    }
  }
  if (core_->replica().leads()) {
    knowledge_.tell_rollout_ages(std::move(ages));
  }
}

}  // namespace stoat::control
