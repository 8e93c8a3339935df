#include "src/rollout/rollout_planner.h"

#include <algorithm>
#include <cmath>

#include "src/rollout/service_versions.h"

namespace stoat::rollout {

namespace {

/// Fractions of the operators' bounds that are used for a version on trial, and at which its traffic is held.
/// The margin covers random draws (a draw of a tenth of N requests exceeds its mean by 0.26 sqrt(N)) and
/// counts that arrive up to 0.5 s late.
constexpr double kTrialShareFraction = 0.7;
constexpr double kTrialSlackFraction = 0.5;
constexpr double kHoldShareFraction = 0.85;
constexpr double kHoldSlackFraction = 0.72;

using fleet::RolloutPhase;
using fleet::StepServiceRollout;

Duration fraction_of(Duration total, double fraction) { return from_seconds(to_seconds(total) * fraction); }

Duration order_duration(const RolloutView& view) { return Duration(1000 * view.rollout->duration_ms); }

Duration time_left(const RolloutView& view) { return order_duration(view) - view.age; }

/// The latest time for a switch, as the time before the deadline.
Duration min_switch_lead(const RolloutView& view, const PlannerOptions& options) {
  return std::min(options.confirmation_time, fraction_of(order_duration(view), options.min_lead_fraction));
}

StepServiceRollout make_step(const RolloutView& view, RolloutPhase phase, double share,
                             const std::string& reason) {
  StepServiceRollout step;
  step.service = view.rollout->service;
  step.id = view.rollout->id;
  step.from_step = view.rollout->step;
  step.phase = phase;
  step.share = share;
  step.all_backends = phase == RolloutPhase::kSwitching || phase == RolloutPhase::kCompleted;
  step.reason = reason;
  return step;
}

StepServiceRollout start_rollback(const RolloutView& view, const std::string& reason) {
  return make_step(view, RolloutPhase::kRollingBack, 0, reason);
}

StepServiceRollout start_switch(const RolloutView& view, const std::string& reason) {
  return make_step(view, RolloutPhase::kSwitching, 1, reason);
}

double request_rate(const RolloutView& view) { return view.all_sent / std::max(1.0, to_seconds(view.age)); }

/// Expected number of requests in the rest of the trial.
double expected_requests(const RolloutView& view, const PlannerOptions& options) {
  const double rest = to_seconds(time_left(view) - switch_lead(view, options));
  return std::max(1.0, request_rate(view) * std::max(1.0, rest));
}

/// The intended share of the target version, averaged over bursts and pauses.
double mean_share(const RolloutView& view, const PlannerOptions& options) {
  return std::min(options.max_share,
                  options.share + options.extra_requests / expected_requests(view, options));
}

/// The share during a burst, which loads the sampled backends as after the switch. 0: no burst, because they
/// bear about that load anyway, or because the burst would exceed the request budget so far.
double burst_share(const RolloutView& view, const PlannerOptions& options) {
  const double mean = mean_share(view, options);
  const auto backends = static_cast<double>(std::max<size_t>(1, view.target_ready));
  const double full_load_share = static_cast<double>(sample_size(mean, view.target_ready)) / backends;
  const double share = std::min(full_load_share, options.max_burst_share);
  const double requests =
      request_rate(view) *
      to_seconds(options.burst +
                 options.propagation_time);  // during the burst and until it has stopped everywhere
  const bool within_budget = view.target_sent + requests * share <
                             options.hold_share * (view.all_sent + requests) + options.hold_extra_requests;
  return mean < options.min_load_fraction * full_load_share && within_budget ? share : 0;
}

double trial_share(const RolloutView& view, const PlannerOptions& options) {
  const double burst = burst_share(view, options);
  return burst > 0 ? burst : mean_share(view, options);
}

/// Time from the end of a burst to the next one.
Duration pause_after(const RolloutView& view, const PlannerOptions& options) {
  return fraction_of(options.burst, trial_share(view, options) / mean_share(view, options) - 1);
}

/// True when there is enough evidence for a switch. `is_last_chance`: there is no time to collect more.
bool has_enough_evidence(const RolloutView& view, const PlannerOptions& options, bool is_last_chance) {
  const Judgement& judgement = view.judgement;
  if (judgement.doubt >= options.max_doubt) {
    return false;
  }
  return is_last_chance ? judgement.answers >= options.min_answers
                        : judgement.answers >= options.preferred_answers && judgement.covered;
}

bool is_only_version(const RolloutView& view) {
  return view.others_ready == 0 && view.rollout->active_versions.empty();
}

std::optional<StepServiceRollout> step_from_waiting(const RolloutView& view, const PlannerOptions& options) {
  if (!view.service_known) {
    return start_rollback(view, "no such service any more");
  }
  if (view.target_ready > 0 && is_only_version(view)) {
    return start_switch(view, "no other version is there");
  }
  if (time_left(view) <= min_switch_lead(view, options)) {
    return start_rollback(view, "no back end of the version came in time");
  }
  if (view.target_ready > 0) {
    return make_step(view, RolloutPhase::kTrial, trial_share(view, options), "on trial");
  }
  return std::nullopt;
}

/// Keeps the target version within its share: stops and resumes its traffic, and alternates bursts and
/// pauses.
std::optional<StepServiceRollout> regulate_share(const RolloutView& view, const PlannerOptions& options) {
  const bool on_hold = view.rollout->share <= 0;
  const auto change = [&](double share, const char* reason) {
    StepServiceRollout step = make_step(view, RolloutPhase::kTrial, share, reason);
    step.all_backends = view.rollout->all_backends;
    return step;
  };
  if (!on_hold && view.target_sent > options.hold_share * view.all_sent + options.hold_extra_requests) {
    return change(0, "held: it has had its share of the requests");
  }
  const bool below_target = view.target_sent < options.share * view.all_sent + options.extra_requests;
  if (on_hold && below_target && view.time_in_step >= pause_after(view, options)) {
    return change(trial_share(view, options), "on trial again");
  }
  if (on_hold || view.time_in_step < options.burst) {
    return std::nullopt;
  }
  if (view.rollout->share > mean_share(view, options) / options.min_load_fraction) {
    return change(0, "pause between bursts");
  }
  if (const double burst = burst_share(view, options); burst > 0) {
    return change(burst, "burst");
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> step_from_trial(const RolloutView& view, const PlannerOptions& options) {
  if (!view.service_known) {
    return start_rollback(view, "no such service any more");
  }
  const Duration left = time_left(view);
  const bool is_last_chance = left <= min_switch_lead(view, options);
  const bool switch_due = left <= switch_lead(view, options);
  const bool no_other_version =
      view.others_ready == 0 && view.time_without_others >= options.max_time_without_others;
  const bool has_capacity =
      view.target_ready > 0 && static_cast<double>(view.target_ready) >=
                                   options.min_capacity_ratio * static_cast<double>(view.others_ready);
  if ((switch_due || no_other_version) && has_capacity &&
      has_enough_evidence(view, options, is_last_chance || no_other_version)) {
    return start_switch(view, no_other_version ? "no other version is left" : "judged good");
  }
  if (is_last_chance) {
    return start_rollback(
        view, has_capacity ? "too little was seen of it, or it is in doubt" : "too few of its back ends");
  }
  if (auto step = regulate_share(view, options)) {
    return step;
  }
  const Duration trial_end = order_duration(view) - switch_lead(view, options);
  if (!view.rollout->all_backends && view.rollout->share > 0 &&
      view.target_ready > options.max_rotating_backends &&
      view.age >= fraction_of(trial_end, options.spread_after_fraction)) {
    StepServiceRollout step =
        make_step(view, RolloutPhase::kTrial, view.rollout->share, "on trial at all of its back ends");
    step.all_backends = true;
    return step;
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> step_from_switching(const RolloutView& view,
                                                      const PlannerOptions& options) {
  const Duration left = time_left(view);
  if (!view.service_known || (left <= Duration(0) && view.target_ready == 0)) {
    return start_rollback(view, "nothing is left to switch to");
  }
  const bool observed_long_enough =
      view.time_in_step >= options.min_switch_duration || left <= options.confirmation_time;
  if (observed_long_enough && view.all_applied && view.others_running == 0) {
    return make_step(view, RolloutPhase::kCompleted, 1, "all routers have left the other versions");
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> step_from_rolling_back(const RolloutView& view,
                                                         const PlannerOptions& options) {
  const Duration left = time_left(view);
  const bool final_window = left <= options.final_window && view.time_in_step >= options.final_window;
  if (view.all_applied || final_window || view.time_in_step >= options.rollback_timeout) {
    return make_step(view, RolloutPhase::kRolledBack, 0, view.rollout->reason);
  }
  return std::nullopt;
}

}  // namespace

ExposureBounds read_exposure_bounds(SettingsReader& reader) {
  ExposureBounds bounds;
  bounds.share = reader.number("rollout_exposure_share", bounds.share, 0.0001, 1);
  bounds.slack = reader.number("rollout_exposure_slack", bounds.slack, 0, 1e9);
  return bounds;
}

PlannerOptions planner_options(const ExposureBounds& bounds) {
  PlannerOptions options;
  options.share = kTrialShareFraction * bounds.share;
  options.extra_requests = kTrialSlackFraction * bounds.slack;
  options.hold_share = kHoldShareFraction * bounds.share;
  options.hold_extra_requests = kHoldSlackFraction * bounds.slack;
  return options;
}

Duration switch_lead(const RolloutView& view, const PlannerOptions& options) {
  const Duration lead = std::min(view.longest_run + options.confirmation_time + options.min_switch_duration,
                                 fraction_of(order_duration(view), options.max_lead_fraction));
  return std::max(lead, min_switch_lead(view, options));
}

std::optional<StepServiceRollout> next_step(const RolloutView& view, const PlannerOptions& options) {
  const RolloutPhase phase = view.rollout->phase;
  const bool on_trial = phase == RolloutPhase::kTrial || phase == RolloutPhase::kSwitching;
  if (on_trial && view.judgement.bad && !is_only_version(view)) {
    return start_rollback(view, "judged bad: " + view.judgement.finding);
  }
  switch (phase) {
    case RolloutPhase::kWaiting:
      return step_from_waiting(view, options);
    case RolloutPhase::kTrial:
      return step_from_trial(view, options);
    case RolloutPhase::kSwitching:
      return step_from_switching(view, options);
    case RolloutPhase::kRollingBack:
      return step_from_rolling_back(view, options);
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      break;
  }
  return std::nullopt;
}

}  // namespace stoat::rollout
