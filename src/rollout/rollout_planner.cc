#include "src/rollout/rollout_planner.h"

#include <algorithm>
#include <cmath>

#include "src/rollout/service_versions.h"

namespace stoat::rollout {

namespace {

/// Parts of the operators' bounds that are spent on a version on trial, and above which it gets no more for
/// now. Draws of a tenth of the requests exceed their mean by 0.26 sqrt(N), and news of them are up to 0.5 s
/// late.
constexpr double kShareUsed = 0.7;
constexpr double kSlackUsed = 0.5;
constexpr double kShareHeld = 0.85;
constexpr double kSlackHeld = 0.72;

using fleet::RolloutPhase;
using fleet::StepServiceRollout;

Duration part_of(Duration whole, double part) { return from_seconds(to_seconds(whole) * part); }

Duration duration_of(const RolloutView& view) { return Duration(1000 * view.rollout->duration_ms); }

Duration time_left(const RolloutView& view) { return duration_of(view) - view.age; }

/// The latest moment for a switch, as the time left then.
Duration last_lead(const RolloutView& view, const PlannerOptions& options) {
  return std::min(options.confirm_time, part_of(duration_of(view), options.last_part));
}

StepServiceRollout step_to(const RolloutView& view, RolloutPhase phase, double share,
                           const std::string& reason) {
  StepServiceRollout step;
  step.service = view.rollout->service;
  step.id = view.rollout->id;
  step.from_step = view.rollout->step;
  step.phase = phase;
  step.share = share;
  step.spread = phase == RolloutPhase::kSwitching || phase == RolloutPhase::kCompleted;
  step.reason = reason;
  return step;
}

StepServiceRollout go_back(const RolloutView& view, const std::string& reason) {
  return step_to(view, RolloutPhase::kRollingBack, 0, reason);
}

StepServiceRollout switch_over(const RolloutView& view, const std::string& reason) {
  return step_to(view, RolloutPhase::kSwitching, 1, reason);
}

double request_rate(const RolloutView& view) { return view.all_sent / std::max(1.0, to_seconds(view.age)); }

/// Requests that the rest of the trial is expected to see.
double expected_requests(const RolloutView& view, const PlannerOptions& options) {
  const double rest = to_seconds(time_left(view) - switch_lead(view, options));
  return std::max(1.0, request_rate(view) * std::max(1.0, rest));
}

/// The share over some seconds.
double mean_share(const RolloutView& view, const PlannerOptions& options) {
  return std::min(options.max_share, options.share + options.extra / expected_requests(view, options));
}

/// The share of a burst: what the sampled back ends bear when their version has all. 0: without bursts they
/// bear about as much, or the version has not yet earned so many requests.
double burst_share(const RolloutView& view, const PlannerOptions& options) {
  const double mean = mean_share(view, options);
  const auto back_ends = static_cast<double>(std::max<size_t>(1, view.target_ready));
  const double full = static_cast<double>(sample_size(mean, view.target_ready)) / back_ends;
  const double share = std::min(full, options.max_burst);
  const double requests =
      request_rate(view) * to_seconds(options.burst + options.step_time);  // while it goes on
  const bool earned = view.target_sent + requests * share <
                      options.hold_share * (view.all_sent + requests) + options.hold_extra;
  return mean < options.density * full && earned ? share : 0;
}

double trial_share(const RolloutView& view, const PlannerOptions& options) {
  const double burst = burst_share(view, options);
  return burst > 0 ? burst : mean_share(view, options);
}

/// From the end of a burst to the next one.
Duration pause_after(const RolloutView& view, const PlannerOptions& options) {
  return part_of(options.burst, trial_share(view, options) / mean_share(view, options) - 1);
}

/// True when enough was seen for a switch. `last`: there is no time to see more.
bool seen_enough(const RolloutView& view, const PlannerOptions& options, bool last) {
  const Judgement& judgement = view.judgement;
  if (judgement.doubt >= options.doubt_limit) {
    return false;
  }
  return last ? judgement.answers >= options.fewest_answers
              : judgement.answers >= options.wanted_answers && judgement.covered;
}

bool has_nothing_else(const RolloutView& view) {
  return view.others_ready == 0 && view.rollout->active_versions.empty();
}

std::optional<StepServiceRollout> after_waiting(const RolloutView& view, const PlannerOptions& options) {
  if (!view.service_known) {
    return go_back(view, "no such service any more");
  }
  if (view.target_ready > 0 && has_nothing_else(view)) {
    return switch_over(view, "no other version is there");
  }
  if (time_left(view) <= last_lead(view, options)) {
    return go_back(view, "no back end of the version came in time");
  }
  if (view.target_ready > 0) {
    return step_to(view, RolloutPhase::kTrial, trial_share(view, options), "on trial");
  }
  return std::nullopt;
}

/// Stops, or resumes, sending to a version that has had its share.
std::optional<StepServiceRollout> keep_share(const RolloutView& view, const PlannerOptions& options) {
  const bool held = view.rollout->share <= 0;
  const auto change = [&](double share, const char* reason) {
    StepServiceRollout step = step_to(view, RolloutPhase::kTrial, share, reason);
    step.spread = view.rollout->spread;
    return step;
  };
  if (!held && view.target_sent > options.hold_share * view.all_sent + options.hold_extra) {
    return change(0, "held: it has had its share of the requests");
  }
  const bool within = view.target_sent < options.share * view.all_sent + options.extra;
  if (held && within && view.in_step >= pause_after(view, options)) {
    return change(trial_share(view, options), "on trial again");
  }
  if (held || view.in_step < options.burst) {
    return std::nullopt;
  }
  if (view.rollout->share > mean_share(view, options) / options.density) {
    return change(0, "pause between bursts");
  }
  if (const double burst = burst_share(view, options); burst > 0) {
    return change(burst, "burst");
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> after_trial(const RolloutView& view, const PlannerOptions& options) {
  if (!view.service_known) {
    return go_back(view, "no such service any more");
  }
  const Duration left = time_left(view);
  const bool last = left <= last_lead(view, options);
  const bool due = left <= switch_lead(view, options);
  const bool nothing_else = view.others_ready == 0 && view.others_gone >= options.others_gone;
  const bool can_bear =
      view.target_ready > 0 &&
      static_cast<double>(view.target_ready) >= options.capacity * static_cast<double>(view.others_ready);
  if ((due || nothing_else) && can_bear && seen_enough(view, options, last || nothing_else)) {
    return switch_over(view, nothing_else ? "no other version is left" : "judged good");
  }
  if (last) {
    return go_back(view,
                   can_bear ? "too little was seen of it, or it is in doubt" : "too few of its back ends");
  }
  if (auto step = keep_share(view, options)) {
    return step;
  }
  const Duration trial_end = duration_of(view) - switch_lead(view, options);
  if (!view.rollout->spread && view.rollout->share > 0 && view.target_ready > options.rotating &&
      view.age >= part_of(trial_end, options.spread_part)) {
    StepServiceRollout step =
        step_to(view, RolloutPhase::kTrial, view.rollout->share, "on trial at all of its back ends");
    step.spread = true;
    return step;
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> after_switching(const RolloutView& view, const PlannerOptions& options) {
  const Duration left = time_left(view);
  if (!view.service_known || (left <= Duration(0) && view.target_ready == 0)) {
    return go_back(view, "nothing is left to switch to");
  }
  const bool seen = view.in_step >= options.dwell || left <= options.confirm_time;
  if (seen && view.all_applied && view.others_running == 0) {
    return step_to(view, RolloutPhase::kCompleted, 1, "all routers have left the other versions");
  }
  return std::nullopt;
}

std::optional<StepServiceRollout> after_returning(const RolloutView& view, const PlannerOptions& options) {
  const Duration left = time_left(view);
  const bool last_moment = left <= options.last_moment && view.in_step >= options.last_moment;
  if (view.all_applied || last_moment || view.in_step >= options.return_limit) {
    return step_to(view, RolloutPhase::kRolledBack, 0, view.rollout->reason);
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
  options.share = kShareUsed * bounds.share;
  options.extra = kSlackUsed * bounds.slack;
  options.hold_share = kShareHeld * bounds.share;
  options.hold_extra = kSlackHeld * bounds.slack;
  return options;
}

Duration switch_lead(const RolloutView& view, const PlannerOptions& options) {
  const Duration lead = std::min(view.longest_run + options.confirm_time + options.dwell,
                                 part_of(duration_of(view), options.lead_part));
  return std::max(lead, last_lead(view, options));
}

std::optional<StepServiceRollout> next_step(const RolloutView& view, const PlannerOptions& options) {
  const RolloutPhase phase = view.rollout->phase;
  const bool on_trial = phase == RolloutPhase::kTrial || phase == RolloutPhase::kSwitching;
  if (on_trial && view.judgement.bad && !has_nothing_else(view)) {
    return go_back(view, "judged bad: " + view.judgement.finding);
  }
  switch (phase) {
    case RolloutPhase::kWaiting:
      return after_waiting(view, options);
    case RolloutPhase::kTrial:
      return after_trial(view, options);
    case RolloutPhase::kSwitching:
      return after_switching(view, options);
    case RolloutPhase::kRollingBack:
      return after_returning(view, options);
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      break;
  }
  return std::nullopt;
}

}  // namespace stoat::rollout
