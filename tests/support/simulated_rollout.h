/// One roll-out of a service's version with drawn circumstances, played by the decision classes: the
/// planner's steps, the shares of routes, and the judge. Answers are drawn from distributions; routers are
/// one.
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

/// What is wrong with a version.
enum class Fault : uint8_t { kNone, kFails, kSlow };

/// The circumstances of a roll-out.
struct RolloutDraw {
  Duration duration{0};
  double rate = 0;             ///< requests a second
  std::vector<double> routes;  ///< part of the requests of each
  double median_ms = 50;
  double sigma = 0.5;    ///< of the logarithm of the time
  double noise = 0;      ///< part of all answers that fail whatever the version
  size_t back_ends = 0;  ///< of each version
  Duration start{0};     ///< from the order until the new ones are there
  double load = 0;       ///< of the others' back ends: part of the slots
  Fault fault = Fault::kNone;
  double bad_part = 0;  ///< of the answers that are bad
  double slow_factor = 1;
  Duration onset{0};  ///< from the order
  bool only_under_load = false;
  int only_route = -1;       ///< -1: all
  Duration trouble_from{0};  ///< meanwhile all versions fail more, or are slower
  Duration trouble_until{0};
  double trouble_failures = 0;
  double trouble_slowness = 1;
  Duration crash_at{0};  ///< a new back end crashes with what runs there; 0: none
};

inline RolloutDraw random_rollout_conditions(uint64_t seed, bool bad) {
  Random random(seed);
  const auto between = [&](double low, double high) { return low + (high - low) * random.unit(); };
  const auto spread = [&](double low, double high) { return low * std::pow(high / low, random.unit()); };
  RolloutDraw draw;
  draw.duration = from_seconds(spread(8, 30));
  draw.rate = spread(60, 1500);
  const size_t routes = 1 + random.below(3);
  double sum = 0;
  for (size_t route = 0; route < routes; ++route) {
    draw.routes.push_back(between(0.1, 1));
    sum += draw.routes.back();
  }
  for (double& part : draw.routes) {
    part /= sum;
  }
  draw.median_ms = spread(10, 300);
  draw.sigma = between(0.2, 0.7);
  draw.noise = random.chance(0.5) ? 0 : between(0, 0.01);
  draw.back_ends = 3 + random.below(60);
  draw.start = from_seconds(between(0.2, 2));
  draw.load = between(0.1, 1.1);
  if (random.chance(0.3)) {
    draw.trouble_from = from_seconds(between(0, to_seconds(draw.duration)));
    draw.trouble_until = draw.trouble_from + from_seconds(between(0.5, 4));
    draw.trouble_failures = random.chance(0.5) ? between(0.02, 0.4) : 0;
    draw.trouble_slowness = random.chance(0.5) ? between(1, 4) : 1;
  }
  if (random.chance(0.2)) {
    draw.crash_at = from_seconds(between(1, to_seconds(draw.duration)));
  }
  if (bad) {
    draw.fault = random.chance(0.5) ? Fault::kFails : Fault::kSlow;
    draw.bad_part = between(0.2, 1);
    draw.slow_factor = between(3, 6);
    switch (random.below(4)) {
      case 0:
        break;
      case 1:
        draw.onset = from_seconds(between(0, 0.5 * to_seconds(draw.duration)));
        break;
      case 2:
        draw.only_under_load = true;
        draw.load = between(0.55, 1.1);
        break;
      default:
        draw.only_route = static_cast<int>(random.below(routes));
    }
  }
  return draw;
}

/// See the head of this file.
class SimulatedRollout {
 public:
  SimulatedRollout(const RolloutDraw& draw, uint64_t seed) : draw_(draw), random_(seed) {
    rollout_.service = "s";
    rollout_.id = 1;
    rollout_.step = 1;
    rollout_.target_version = "v2";
    rollout_.active_versions = {"v1"};
    rollout_.duration_ms = to_milliseconds(draw.duration);
    applied_ = rollout_;
    for (size_t index = 0; index < draw.back_ends; ++index) {
      ids_.push_back("i-" + std::to_string(index));
    }
    for (size_t route = 0; route < draw.routes.size(); ++route) {
      names_.push_back("r" + std::to_string(route));
    }
  }

  /// Plays until the roll-out is final, or some seconds after its deadline.
  void run() {
    while (!rollout_.final() && now_ < draw_.duration + kGiveUp) {
      step();
    }
  }
  bool completed_in_time() const { return ended(fleet::RolloutPhase::kCompleted); }
  bool rolled_back_in_time() const { return ended(fleet::RolloutPhase::kRolledBack); }
  const fleet::ServiceRollout& rollout() const { return rollout_; }
  /// True when the version got more requests than operators allow, before it was judged good.
  bool exceeded_exposure_bounds() const { return too_many_; }
  /// True when it got some so long after it had shown that it is bad.
  bool rolled_back_too_late() const { return too_long_; }
  /// Bad answers until it was judged good, or till the end.
  double bad_responses_before_switch() const { return bad_answers_; }

 private:
  static constexpr Duration kStep = 200ms;
  static constexpr Duration kGiveUp = 3s;
  static constexpr Duration kRollback = 5s;
  static constexpr double kExposureShare = 0.1;
  static constexpr double kExposureSlack = 50;
  static constexpr double kBadBeforeRollback = 50;
  /// From an answer until the leader has judged it, and from a step until all routers keep to it.
  static constexpr size_t kDelaySteps = 2;

  bool ended(fleet::RolloutPhase phase) const { return rollout_.phase == phase && now_ <= draw_.duration; }
  double normal() {
    const double radius = std::sqrt(-2 * std::log(1 - random_.unit()));
    return radius * std::cos(2 * 3.14159265358979 * random_.unit());
  }
  uint64_t poisson(double mean) {
    if (mean > 30) {
      return static_cast<uint64_t>(std::max(0.0, std::round(mean + std::sqrt(mean) * normal())));
    }
    uint64_t count = 0;
    for (double product = random_.unit(), limit = std::exp(-mean); product > limit;
         product *= random_.unit()) {
      ++count;
    }
    return count;
  }
  bool troubled() const { return now_ >= draw_.trouble_from && now_ < draw_.trouble_until; }
  double base_failures() const { return draw_.noise + (troubled() ? draw_.trouble_failures : 0); }
  size_t draw_bucket(double factor) {
    const double slower = troubled() ? draw_.trouble_slowness : 1;
    return rollout::latency_bucket(
        from_seconds(draw_.median_ms * factor * slower * std::exp(draw_.sigma * normal()) / 1000));
  }
  uint8_t condition(double load) const {
    return rollout::classify_condition(0, static_cast<uint32_t>(16 * load), 16);
  }

  void step() {
    now_ += kStep;
    steps_.push_back(rollout_);
    if (steps_.size() > kDelaySteps) {
      applied_ = steps_.front();
      steps_.pop_front();
    }
    for (size_t route = 0; route < names_.size(); ++route) {
      send(route);
    }
    crash();
    check();
    if (evidence_.size() > kDelaySteps) {
      for (const fleet::AnswerCount& count : evidence_.front()) {
        judge_.add(count.key, count.sums);
      }
      evidence_.pop_front();
    }
    evidence_.emplace_back(std::move(counted_));
    counted_.clear();
    judge_.judge(now_);
    plan();
  }

  double share_of(size_t route) const {
    switch (applied_.phase) {
      case fleet::RolloutPhase::kTrial:
        return rollout::trial_share_of_route(applied_.share, draw_.routes[route], draw_.routes.size());
      case fleet::RolloutPhase::kSwitching:
      case fleet::RolloutPhase::kCompleted:
        return 1;
      default:
        return 0;
    }
  }
  void send(size_t route) {
    const double mean = draw_.rate * draw_.routes[route] * to_seconds(kStep);
    const double share = share_of(route);
    const uint64_t target = poisson(mean * share);
    const uint64_t others = poisson(mean * (1 - share));
    all_sent_ += static_cast<double>(target + others);
    target_sent_ += static_cast<double>(target);
    answer_others(route, others);
    answer_target(route, target);
  }
  void answer_others(size_t route, uint64_t answers) {
    if (answers == 0) {
      return;
    }
    fleet::AnswerCount count{{1, false, "", names_[route], condition(draw_.load)}, {}};
    count.sums.times.resize(rollout::kLatencyBuckets);
    count.sums.sent = answers;
    // Some of them stand for all.
    constexpr uint64_t kDrawn = 24;
    const uint64_t drawn = std::min(answers, kDrawn);
    for (uint64_t answer = 0; answer < drawn; ++answer) {
      const uint64_t weight = answers / drawn + (answer < answers % drawn ? 1 : 0);
      count.sums.times[draw_bucket(1)] += weight;
    }
    count.sums.failed = poisson(static_cast<double>(answers) * base_failures());
    counted_.push_back(std::move(count));
  }
  void answer_target(size_t route, uint64_t answers) {
    if (answers == 0) {
      return;
    }
    const std::vector<std::string> sample = rollout::sampled_backends(ids_, applied_);
    // Each bears as much as it would if its version had all; a small sample of many bears less.
    const double density = applied_.phase != fleet::RolloutPhase::kTrial
                               ? 1
                               : std::min(1.0, applied_.share * static_cast<double>(ids_.size()) /
                                                   static_cast<double>(sample.size()));
    const double load = draw_.load * density;
    const bool bad_here = draw_.fault != Fault::kNone && now_ >= draw_.onset &&
                          (!draw_.only_under_load || load >= 0.5) &&
                          (draw_.only_route < 0 || static_cast<size_t>(draw_.only_route) == route);
    std::vector<fleet::AnswerCount> by_back_end(std::min<size_t>(sample.size(), answers));
    const size_t first = random_.below(sample.size());
    for (uint64_t answer = 0; answer < answers; ++answer) {
      fleet::AnswerCount& count = by_back_end[answer % by_back_end.size()];
      if (count.sums.times.empty()) {
        const std::string& id = sample[(first + answer) % sample.size()];
        count.key = {1, true, id, names_[route], condition(load)};
        count.sums.times.resize(rollout::kLatencyBuckets);
      }
      ++count.sums.sent;
      const bool bad = bad_here && random_.chance(draw_.bad_part);
      note_bad(bad);
      if ((bad && draw_.fault == Fault::kFails) || random_.chance(base_failures())) {
        ++count.sums.failed;
      } else {
        ++count.sums.times[draw_bucket(bad ? draw_.slow_factor : 1)];
      }
    }
    for (fleet::AnswerCount& count : by_back_end) {
      counted_.push_back(std::move(count));
    }
  }
  void note_bad(bool bad) {
    if (!bad || switched_ > TimePoint(0)) {
      return;
    }
    bad_answers_ += 1;
    if (bad_answers_ == kBadBeforeRollback) {
      fiftieth_bad_ = now_;
    }
  }
  void crash() {
    const bool now = draw_.crash_at > now_ - kStep && draw_.crash_at <= now_;
    if (!now || share_of(0) <= 0) {
      return;
    }
    fleet::AnswerCount count{{1, true, rollout::sampled_backends(ids_, applied_).front(), names_[0], 0}, {}};
    count.sums.broken = 1 + random_.below(16);
    counted_.push_back(count);
  }
  void check() {
    if (draw_.fault == Fault::kNone || now_ > draw_.duration) {
      return;
    }
    const bool too_many = target_sent_ > kExposureShare * all_sent_ + kExposureSlack;
    const bool too_long = fiftieth_bad_ > TimePoint(0) && now_ > fiftieth_bad_ + kRollback && share_of(0) > 0;
    // What comes after a wrong verdict is counted as one.
    too_many_ = too_many_ || (too_many && switched_ == TimePoint(0));
    too_long_ = too_long_ || (too_long && switched_ == TimePoint(0));
  }
  void plan() {
    rollout::RolloutView view;
    view.rollout = &rollout_;
    view.age = now_;
    view.in_step = now_ - stepped_;
    view.target_ready = now_ >= draw_.start ? draw_.back_ends : 0;
    view.others_ready = draw_.back_ends;
    view.longest_run = 6s;
    view.judgement = judge_.judgement();
    view.target_sent = target_sent_;
    view.all_sent = all_sent_;
    view.all_applied = applied_.step == rollout_.step;
    const auto next = rollout::next_step(view, options_);
    if (!next) {
      return;
    }
    ++rollout_.step;
    rollout_.phase = next->phase;
    rollout_.share = next->share;
    rollout_.spread = next->spread;
    rollout_.reason = next->reason;
    stepped_ = now_;
    if (next->phase == fleet::RolloutPhase::kSwitching) {
      switched_ = now_;
    }
  }

  RolloutDraw draw_;
  Random random_;
  rollout::PlannerOptions options_;
  rollout::VersionJudge judge_;
  fleet::ServiceRollout rollout_;
  fleet::ServiceRollout applied_;
  std::deque<fleet::ServiceRollout> steps_;
  std::vector<std::string> ids_;
  std::vector<std::string> names_;
  std::vector<fleet::AnswerCount> counted_;
  std::deque<std::vector<fleet::AnswerCount>> evidence_;
  TimePoint now_{0};
  TimePoint stepped_{0};
  TimePoint switched_{0};
  TimePoint fiftieth_bad_{0};
  double all_sent_ = 0;
  double target_sent_ = 0;
  double bad_answers_ = 0;
  bool too_many_ = false;
  bool too_long_ = false;
};

}  // namespace stoat::test
