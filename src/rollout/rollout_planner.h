/// Decides the next step of a service's rollout. It plans backwards from the deadline: the switch happens as
/// late as the routers' confirmations and the requests in progress at the old version allow, so that the
/// trial is as long as possible. Performs no I/O and has no state of its own: all inputs are in the
/// replicated log or passed in.
#pragma once

#include <optional>
#include <string>

#include "src/common/settings.h"
#include "src/common/time.h"
#include "src/fleet/service_rollout.h"
#include "src/rollout/version_judge.h"

namespace stoat::rollout {

/// The operators' bound on the requests that a version may get before it has been judged good.
struct ExposureBounds {
  double share = 0.1;  ///< fraction of the service's requests
  double slack = 50;   ///< additional requests, as an absolute number
};

/// Reads the settings rollout_exposure_share and rollout_exposure_slack.
ExposureBounds read_exposure_bounds(SettingsReader& reader);

/// Settings of the planner. The first four keep the requests that a bad version gets below the operators'
/// bound, by default a tenth of the service's requests plus 50.
struct PlannerOptions {
  double share = 0.07;         ///< fraction of the requests that goes to a version on trial
  double extra_requests = 25;  ///< additional requests, where the share alone gives too few answers to judge
  double hold_share = 0.085;   ///< trial traffic stops above this share plus hold_extra_requests
  double hold_extra_requests = 36;
  double max_share = 0.4;  ///< upper limit of the trial share including the extra requests
  /// The share is sent in bursts if a sampled backend would otherwise bear less than this fraction of its
  /// load after the switch.
  double min_load_fraction = 0.8;
  Duration burst = 800ms;  ///< length of a burst: longer than most requests take, so that load builds up
  /// Time until all routers have applied a step and the leader knows what was sent before that.
  Duration propagation_time = 500ms;
  uint64_t preferred_answers = 30;  ///< judged answers wanted before a switch
  uint64_t min_answers = 8;         ///< enough at the last chance for a switch, if the share yields no more
  double max_doubt = 0.5;           ///< no switch at or above this Judgement::doubt
  Duration confirmation_time = 1500ms;  ///< time for the confirmations of all routers and the log
  double max_lead_fraction =
      1.0 / 3;  ///< longest time for the switch, as a fraction of the time from the order to the deadline
  double min_lead_fraction = 0.15;  ///< shortest time, likewise as a fraction, but at most confirmation_time
  double max_burst_share = 0.5;     ///< maximum share during a burst
  size_t max_rotating_backends = 14;  ///< up to this many backends, bursts reach all of them in rotation
  double spread_after_fraction =
      0.7;  ///< with more than max_rotating_backends: fraction of the trial after which all get the share
  double min_capacity_ratio =
      0.5;  ///< ready backends needed for a switch, relative to those of other versions
  Duration min_switch_duration =
      1s;  ///< from the switch to completion, to observe the version under full load
  Duration max_time_without_others =
      1500ms;  ///< after this time without backends of other versions, there is no fallback
  /// A rollback ends after this time even without all confirmations: a router that has been out of contact
  /// for this time no longer accepts access keys (gateway::ControlLinkOptions::key_lease).
  Duration rollback_timeout = 5s;
  Duration final_window = 400ms;  ///< time before the deadline from which a rollback waits for no router
};

/// Derives options that use only part of the operators' bounds, as a margin for delayed counts and for random
/// draws above their mean.
PlannerOptions planner_options(const ExposureBounds& bounds);

/// Input for the decision on the next step.
struct RolloutView {
  const fleet::ServiceRollout* rollout = nullptr;
  Duration age{0};           ///< time since the order
  Duration time_in_step{0};  ///< time since the last step
  bool service_known = true;
  size_t target_ready = 0;          ///< backends of the target version that may get requests
  size_t others_ready = 0;          ///< the same for other versions
  Duration time_without_others{0};  ///< how long there has been no backend of another version
  Duration longest_run{0};          ///< longest time that a request of the service may take
  Judgement judgement;
  double target_sent = 0;       ///< requests sent to the target version
  double all_sent = 0;          ///< requests sent to all versions
  bool all_applied = false;     ///< every router in contact has applied the last step
  uint64_t others_running = 0;  ///< requests in progress at other versions
};

/// The next step, or nullopt if there is nothing to change.
std::optional<fleet::StepServiceRollout> next_step(const RolloutView& view, const PlannerOptions& options);

/// How long before the deadline the switch should start.
Duration switch_lead(const RolloutView& view, const PlannerOptions& options);

}  // namespace stoat::rollout
