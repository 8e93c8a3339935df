/// A simulation of one rollout of a service version under random conditions. The planner, the per-route
/// shares and the judge are the production code. Responses are drawn from distributions, and one simulated
/// router stands for all.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/rollout/rollout_planner.h"
#include "src/rollout/service_versions.h"

namespace stoat::test {

/// The fault of the target version.
enum class VersionFault : uint8_t { kNone, kFailures, kSlow };

/// The conditions of a rollout. The target version is the one being rolled out; the other version served the
/// traffic before.
struct RolloutConditions {
  Duration duration{0};        ///< from the order until the deadline
  double rate = 0;             ///< requests per second
  std::vector<double> routes;  ///< fraction of the requests, by route
  double median_first_event_ms = 50;
  double sigma = 0.5;            ///< standard deviation of the logarithm of the time to the first event
  double base_failure_rate = 0;  ///< fraction of responses that fail, for any version
  size_t backends = 0;           ///< number of backends of each version
  Duration startup_delay{0};     ///< from the order until the target version's backends are ready
  double load = 0;               ///< of the other version's backends, as a fraction of their slots
  VersionFault fault = VersionFault::kNone;
  double bad_fraction = 0;             ///< fraction of the target version's responses that show the fault
  double fault_slowdown = 1;           ///< factor on the time to the first event with VersionFault::kSlow
  Duration fault_onset{0};             ///< from the order until the fault begins to show
  bool fault_only_under_load = false;  ///< the fault shows only if at least half of the slots are in use
  int faulty_route = -1;               ///< the only route on which the fault shows; -1: all
  /// From this time until disturbance_end, both measured from the order, both versions fail more often or
  /// respond more slowly.
  Duration disturbance_start{0};
  Duration disturbance_end{0};
  double disturbance_failure_rate = 0;  ///< fraction of responses that fail in addition
  double disturbance_slowdown = 1;      ///< factor on the time to the first event
  Duration crash_at{0};                 ///< when a target backend crashes with its running requests; 0: none
};

/// Draws the conditions of a rollout. `bad`: the target version has a fault.
inline RolloutConditions random_rollout_conditions(uint64_t seed, bool bad) {
  Random random(seed);
  const auto uniform = [&](double low, double high) { return low + (high - low) * random.uniform_real(); };
  const auto log_uniform = [&](double low, double high) {
    return low * std::pow(high / low, random.uniform_real());
  };
  RolloutConditions conditions;
  conditions.duration = from_seconds(log_uniform(8, 30));
  conditions.rate = log_uniform(60, 1500);
  const size_t routes = 1 + random.below(3);
  double sum = 0;
  for (size_t route = 0; route < routes; ++route) {
    conditions.routes.push_back(uniform(0.1, 1));
    sum += conditions.routes.back();
  }
  for (double& fraction : conditions.routes) {
    fraction /= sum;
  }
  conditions.median_first_event_ms = log_uniform(10, 300);
  conditions.sigma = uniform(0.2, 0.7);
  conditions.base_failure_rate = random.chance(0.5) ? 0 : uniform(0, 0.01);
  conditions.backends = 3 + random.below(60);
  conditions.startup_delay = from_seconds(uniform(0.2, 2));
  conditions.load = uniform(0.1, 1.1);
  if (random.chance(0.3)) {
    conditions.disturbance_start = from_seconds(uniform(0, to_seconds(conditions.duration)));
    conditions.disturbance_end = conditions.disturbance_start + from_seconds(uniform(0.5, 4));
    conditions.disturbance_failure_rate = random.chance(0.5) ? uniform(0.02, 0.4) : 0;
    conditions.disturbance_slowdown = random.chance(0.5) ? uniform(1, 4) : 1;
  }
  if (random.chance(0.2)) {
    conditions.crash_at = from_seconds(uniform(1, to_seconds(conditions.duration)));
  }
  if (bad) {
    conditions.fault = random.chance(0.5) ? VersionFault::kFailures : VersionFault::kSlow;
    conditions.bad_fraction = uniform(0.2, 1);
    conditions.fault_slowdown = uniform(3, 6);
    switch (random.below(4)) {
      case 0:
        break;
      case 1:
        conditions.fault_onset = from_seconds(uniform(0, 0.5 * to_seconds(conditions.duration)));
        break;
      case 2:
        conditions.fault_only_under_load = true;
        conditions.load = uniform(0.55, 1.1);
        break;
      default:
        conditions.faulty_route = static_cast<int>(random.below(routes));
    }
  }
  return conditions;
}

/// One simulated rollout with given conditions and a seed. Records its outcome, and whether a faulty version
/// received too many requests or was rolled back too late.
class SimulatedRollout {
 public:
  SimulatedRollout(const RolloutConditions& conditions, uint64_t seed)
      : conditions_(conditions), random_(seed) {
    rollout_.service = "s";
    rollout_.id = 1;
    rollout_.step = 1;
    rollout_.target_version = "v2";
    rollout_.active_versions = {"v1"};
    rollout_.duration_ms = to_milliseconds(conditions.duration);
    applied_rollout_ = rollout_;
    for (size_t index = 0; index < conditions.backends; ++index) {
      backend_ids_.push_back("i-" + std::to_string(index));
    }
    for (size_t route = 0; route < conditions.routes.size(); ++route) {
      route_names_.push_back("r" + std::to_string(route));
    }
  }

  /// Runs the simulation until the rollout is in a final phase, at most until kMaxOvertime after its
  /// deadline.
  void run() {
    while (!rollout_.final() && now_ < conditions_.duration + kMaxOvertime) {
      step();
    }
  }
  bool completed_in_time() const { return ended(fleet::RolloutPhase::kCompleted); }
  bool rolled_back_in_time() const { return ended(fleet::RolloutPhase::kRolledBack); }
  const fleet::ServiceRollout& rollout() const { return rollout_; }
  /// Returns whether a faulty version received more requests than the exposure bounds allow before the
  /// switch.
  bool exceeded_exposure_bounds() const { return too_many_; }
  /// Returns whether a faulty version still received requests later than kMaxRollbackTime after its
  /// kBadResponsesBeforeRollback-th bad response, before the switch.
  bool rolled_back_too_late() const { return too_long_; }
  /// Returns the number of bad responses before the switch, or until the end if there was none.
  double bad_responses_before_switch() const { return bad_responses_; }

 private:
  static constexpr Duration kStep = 200ms;
  /// How long the simulation continues after the deadline if the rollout is not in a final phase.
  static constexpr Duration kMaxOvertime = 3s;
  /// Maximum time for the rollback of a version that has given kBadResponsesBeforeRollback bad responses.
  static constexpr Duration kMaxRollbackTime = 5s;
  /// Before the switch, the target version may receive this fraction of all requests, plus kExposureSlack.
  static constexpr double kExposureShare = 0.1;
  static constexpr double kExposureSlack = 50;
  static constexpr double kBadResponsesBeforeRollback = 50;
  /// Number of simulation steps from a response until the leader has judged it, and from a rollout step until
  /// all routers apply it.
  static constexpr size_t kDelaySteps = 2;

  bool ended(fleet::RolloutPhase phase) const {
    return rollout_.phase == phase && now_ <= conditions_.duration;
  }
  /// Returns a number from the standard normal distribution.
  double normal() {
    const double radius = std::sqrt(-2 * std::log(1 - random_.uniform_real()));
    return radius * std::cos(2 * 3.14159265358979 * random_.uniform_real());
  }
  uint64_t poisson(double mean) {
    if (mean > 30) {  // normal approximation
      return static_cast<uint64_t>(std::max(0.0, std::round(mean + std::sqrt(mean) * normal())));
    }
    uint64_t count = 0;
    for (double product = random_.uniform_real(), limit = std::exp(-mean); product > limit;
         product *= random_.uniform_real()) {
      ++count;
    }
    return count;
  }
  bool disturbed() const {
    return now_ >= conditions_.disturbance_start && now_ < conditions_.disturbance_end;
  }
  double failure_probability() const {
    return conditions_.base_failure_rate + (disturbed() ? conditions_.disturbance_failure_rate : 0);
  }
  /// Draws a time to the first event, multiplied by `factor`, and returns the bucket that counts it.
  size_t draw_time_bucket(double factor) {
    const double slowdown = disturbed() ? conditions_.disturbance_slowdown : 1;
    return rollout::latency_bucket(from_seconds(conditions_.median_first_event_ms * factor * slowdown *
                                                std::exp(conditions_.sigma * normal()) / 1000));
  }
  uint8_t condition(double load) const {
    return rollout::classify_condition(0, static_cast<uint32_t>(16 * load), 16);
  }

  /// Advances the simulation by kStep.
  void step() {
    now_ += kStep;
    pending_steps_.push_back(rollout_);
    if (pending_steps_.size() > kDelaySteps) {
      applied_rollout_ = pending_steps_.front();
      pending_steps_.pop_front();
    }
    for (size_t route = 0; route < route_names_.size(); ++route) {
      send_requests(route);
    }
    crash_backend();
    check_exposure();
    if (pending_counts_.size() > kDelaySteps) {
      for (const fleet::AnswerCount& count : pending_counts_.front()) {
        judge_.add(count.key, count.sums);
      }
      pending_counts_.pop_front();
    }
    pending_counts_.emplace_back(std::move(new_counts_));
    new_counts_.clear();
    judge_.judge(now_);
    plan_next_step();
  }

  /// Returns the fraction of a route's requests that routers send to the target version.
  double target_share(size_t route) const {
    switch (applied_rollout_.phase) {
      case fleet::RolloutPhase::kTrial:
        return rollout::trial_share_of_route(applied_rollout_.share, conditions_.routes[route],
                                             conditions_.routes.size());
      case fleet::RolloutPhase::kSwitching:
      case fleet::RolloutPhase::kCompleted:
        return 1;
      default:
        return 0;
    }
  }
  /// Sends the requests of one step on a route, and counts the responses.
  void send_requests(size_t route) {
    const double mean = conditions_.rate * conditions_.routes[route] * to_seconds(kStep);
    const double share = target_share(route);
    const uint64_t target_requests = poisson(mean * share);
    const uint64_t other_requests = poisson(mean * (1 - share));
    all_sent_ += static_cast<double>(target_requests + other_requests);
    target_sent_ += static_cast<double>(target_requests);
    count_other_responses(route, other_requests);
    count_target_responses(route, target_requests);
  }
  void count_other_responses(size_t route, uint64_t responses) {
    if (responses == 0) {
      return;
    }
    fleet::AnswerCount count{{1, false, "", route_names_[route], condition(conditions_.load)}, {}};
    count.sums.times.resize(rollout::kLatencyBuckets);
    count.sums.sent = responses;
    // The times of at most kMaxDrawnTimes responses are drawn, and each is counted for several.
    constexpr uint64_t kMaxDrawnTimes = 24;
    const uint64_t drawn_times = std::min(responses, kMaxDrawnTimes);
    for (uint64_t response = 0; response < drawn_times; ++response) {
      const uint64_t weight = responses / drawn_times + (response < responses % drawn_times ? 1 : 0);
      count.sums.times[draw_time_bucket(1)] += weight;
    }
    count.sums.failed = poisson(static_cast<double>(responses) * failure_probability());
    new_counts_.push_back(std::move(count));
  }
  void count_target_responses(size_t route, uint64_t responses) {
    if (responses == 0) {
      return;
    }
    const std::vector<std::string> sample = rollout::sampled_backends(backend_ids_, applied_rollout_);
    // During the trial, each backend of the sample bears the load that it would bear if its version received
    // all requests, or less if the sample is larger than the share requires.
    const double relative_load =
        applied_rollout_.phase != fleet::RolloutPhase::kTrial
            ? 1
            : std::min(1.0, applied_rollout_.share * static_cast<double>(backend_ids_.size()) /
                                static_cast<double>(sample.size()));
    const double load = conditions_.load * relative_load;
    const bool fault_shows =
        conditions_.fault != VersionFault::kNone && now_ >= conditions_.fault_onset &&
        (!conditions_.fault_only_under_load || load >= 0.5) &&
        (conditions_.faulty_route < 0 || static_cast<size_t>(conditions_.faulty_route) == route);
    std::vector<fleet::AnswerCount> counts(std::min<size_t>(sample.size(), responses));
    const size_t first_index = random_.below(sample.size());
    for (uint64_t response = 0; response < responses; ++response) {
      fleet::AnswerCount& count = counts[response % counts.size()];
      if (count.sums.times.empty()) {
        const std::string& id = sample[(first_index + response) % sample.size()];
        count.key = {1, true, id, route_names_[route], condition(load)};
        count.sums.times.resize(rollout::kLatencyBuckets);
      }
      ++count.sums.sent;
      const bool bad = fault_shows && random_.chance(conditions_.bad_fraction);
      record_response(bad);
      if ((bad && conditions_.fault == VersionFault::kFailures) || random_.chance(failure_probability())) {
        ++count.sums.failed;
      } else {
        ++count.sums.times[draw_time_bucket(bad ? conditions_.fault_slowdown : 1)];
      }
    }
    for (fleet::AnswerCount& count : counts) {
      new_counts_.push_back(std::move(count));
    }
  }
  /// Counts a response of the target version if it is bad and came before the switch.
  void record_response(bool bad) {
    if (!bad || switched_at_ > TimePoint(0)) {
      return;
    }
    bad_responses_ += 1;
    if (bad_responses_ == kBadResponsesBeforeRollback) {
      bad_limit_reached_at_ = now_;
    }
  }
  /// Counts the broken requests of a crashing backend when the crash is due.
  void crash_backend() {
    const bool due = conditions_.crash_at > now_ - kStep && conditions_.crash_at <= now_;
    if (!due || target_share(0) <= 0) {
      return;
    }
    fleet::AnswerCount count{
        {1, true, rollout::sampled_backends(backend_ids_, applied_rollout_).front(), route_names_[0], 0}, {}};
    count.sums.broken = 1 + random_.below(16);
    new_counts_.push_back(count);
  }
  /// Checks the exposure to a faulty version, until the deadline.
  void check_exposure() {
    if (conditions_.fault == VersionFault::kNone || now_ > conditions_.duration) {
      return;
    }
    const bool too_many = target_sent_ > kExposureShare * all_sent_ + kExposureSlack;
    const bool too_long = bad_limit_reached_at_ > TimePoint(0) &&
                          now_ > bad_limit_reached_at_ + kMaxRollbackTime && target_share(0) > 0;
    // After the switch, the failure is that the version was wrongly judged good; it is not counted here as
    // well.
    too_many_ = too_many_ || (too_many && switched_at_ == TimePoint(0));
    too_long_ = too_long_ || (too_long && switched_at_ == TimePoint(0));
  }
  /// Applies the planner's next step, if there is one.
  void plan_next_step() {
    rollout::RolloutView view;
    view.rollout = &rollout_;
    view.age = now_;
    view.time_in_step = now_ - last_step_at_;
    view.target_ready = now_ >= conditions_.startup_delay ? conditions_.backends : 0;
    view.others_ready = conditions_.backends;
    view.longest_run = 6s;
    view.judgement = judge_.judgement();
    view.target_sent = target_sent_;
    view.all_sent = all_sent_;
    view.all_applied = applied_rollout_.step == rollout_.step;
    const auto next = rollout::next_step(view, options_);
    if (!next) {
      return;
    }
    ++rollout_.step;
    rollout_.phase = next->phase;
    rollout_.share = next->share;
    rollout_.all_backends = next->all_backends;
    rollout_.reason = next->reason;
    last_step_at_ = now_;
    if (next->phase == fleet::RolloutPhase::kSwitching) {
      switched_at_ = now_;
    }
  }

  RolloutConditions conditions_;
  Random random_;
  rollout::PlannerOptions options_;
  rollout::VersionJudge judge_;
  fleet::ServiceRollout rollout_;
  fleet::ServiceRollout applied_rollout_;            ///< as the routers apply it
  std::deque<fleet::ServiceRollout> pending_steps_;  ///< steps that routers don't apply yet, oldest first
  std::vector<std::string> backend_ids_;
  std::vector<std::string> route_names_;
  std::vector<fleet::AnswerCount> new_counts_;                  ///< of the current step
  std::deque<std::vector<fleet::AnswerCount>> pending_counts_;  ///< not judged yet, oldest first
  TimePoint now_{0};                                            ///< since the order
  TimePoint last_step_at_{0};                                   ///< last step of the rollout
  TimePoint switched_at_{0};  ///< when all requests were switched to the target version; 0: not yet
  TimePoint bad_limit_reached_at_{
      0};  ///< time of the bad response number kBadResponsesBeforeRollback; 0: not yet
  double all_sent_ = 0;
  double target_sent_ = 0;
  double bad_responses_ = 0;
  bool too_many_ = false;
  bool too_long_ = false;
};

}  // namespace stoat::test
