/// Decides the next step of a service's move to another version. Plans backwards from the deadline: the
/// switch comes as late as the routers' confirmations and the runs at the old version allow, so that the
/// version is on trial as long as it can be. Free of I/O and without state: what counts is in the log or
/// given.
#pragma once

#include <optional>
#include <string>

#include "src/common/settings.h"
#include "src/common/time.h"
#include "src/fleet/service_rollout.h"
#include "src/rollout/version_judge.h"

namespace stoat::rollout {

/// What operators let a version get before it is known to be good.
struct ExposureBounds {
  double share = 0.1;  ///< of the service's requests
  double slack = 50;   ///< requests besides
};

/// Reads rollout_exposure_share and rollout_exposure_slack.
ExposureBounds read_exposure_bounds(SettingsReader& reader);

/// Settings of a planner. The first four keep what a bad version gets below the operators' bound: a tenth of
/// the service's requests and 50 more.
struct PlannerOptions {
  double share = 0.07;         ///< of the requests that go to a version on trial
  double extra_requests = 25;  ///< requests besides, where a share is too few to judge by
  double hold_share = 0.085;   ///< above this, and the extra below, the version gets no more for now
  double hold_extra_requests = 36;
  double max_share = 0.4;  ///< where the extra makes it larger
  /// Where one back end would bear less than this part of its load in the end, the share comes in bursts.
  double min_load_fraction = 0.8;
  Duration burst = 800ms;  ///< longer than most requests take, so that load builds up
  /// Until all routers keep to a step, and the leader knows what was sent till then.
  Duration propagation_time = 500ms;
  uint64_t preferred_answers = 30;  ///< judged before a switch; fewer where the share gives no more
  uint64_t min_answers = 8;
  double max_doubt = 0.5;               ///< Judgement::doubt above which nothing is switched
  Duration confirmation_time = 1500ms;  ///< for the word of all routers, and the log
  double max_lead_fraction = 1.0 / 3;   ///< of the time until the deadline that the switch may take at most
  double min_lead_fraction = 0.15;      ///< that the shortest switch takes, at most confirm_time
  double max_burst_share = 0.5;         ///< share in a burst
  size_t max_rotating_backends = 14;    ///< so few back ends all get their turn in bursts; more, in the end
  double spread_after_fraction = 0.7;  ///< of the trial, after which all of the version's back ends get of it
  double min_capacity_ratio = 0.5;  ///< back ends of the version that must be ready, as a part of the others
  Duration min_switch_duration =
      1s;                          ///< from the switch to the end at least, to see the version under all load
  Duration others_gone = 1500ms;   ///< without a back end of another version, nothing is to go back to
  Duration rollback_timeout = 5s;  ///< a router whose word is missing for so long honours no keys any more
  Duration final_window = 400ms;   ///< before the deadline, from when on a return waits for no router
};

/// Spends so much of the bounds that news which are late, and draws that fall high, stay within them.
PlannerOptions planner_options(const ExposureBounds& bounds);

/// All that a step depends on.
struct RolloutView {
  const fleet::ServiceRollout* rollout = nullptr;
  Duration age{0};      ///< since the order
  Duration in_step{0};  ///< since the last step
  bool service_known = true;
  size_t target_ready = 0;  ///< back ends of the target version that may get requests
  size_t others_ready = 0;
  Duration others_gone{0};  ///< for how long there has been none of another version
  Duration longest_run{0};  ///< that a request of the service may take
  Judgement judgement;
  double target_sent = 0;
  double all_sent = 0;
  bool all_applied = false;     ///< each router in touch keeps to the last step
  uint64_t others_running = 0;  ///< requests under way at other versions
};

/// The next step, or none.
std::optional<fleet::StepServiceRollout> next_step(const RolloutView& view, const PlannerOptions& options);

/// From the deadline back to the switch, if the trial can last that long.
Duration switch_lead(const RolloutView& view, const PlannerOptions& options);

}  // namespace stoat::rollout
