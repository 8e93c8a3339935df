#include "src/rollout/version_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stoat::rollout {

namespace {

/// Above this rate of bad answers at other versions, a problem affects all versions, and nothing is judged.
constexpr double kMaxBaselineRate = 0.5;
/// Weight of the prior: baseline rates include this many answers at the minimum rate, to smooth small
/// samples.
constexpr double kPriorAnswers = 20;
constexpr double kMedian = 0.5;

/// Log-likelihood ratio of the answers between a bad version and a good one.
double log_likelihood_ratio(double answers, double bad, double good_rate, const TestOptions& test,
                            double increase) {
  const double baseline_rate = std::max(good_rate * test.baseline_factor, test.min_rate);
  if (baseline_rate > kMaxBaselineRate) {
    return 0;
  }
  const double raised_rate = baseline_rate + increase;
  return bad * std::log(raised_rate / baseline_rate) +
         (answers - bad) * std::log((1 - raised_rate) / (1 - baseline_rate));
}

double smoothed_rate(double bad, double answers, double min_rate) {
  return (bad + min_rate * kPriorAnswers) / (answers + kPriorAnswers);
}

template <typename TimeHistogram>
double count_from(const TimeHistogram& times, size_t bucket) {
  return std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(bucket), times.end(), 0.0);
}

/// The bucket of the median; 0 if there are too few answers.
template <typename TimeHistogram>
size_t median_bucket(const TimeHistogram& times) {
  const double answers = count_from(times, 0);
  if (answers < kPriorAnswers) {
    return 0;
  }
  size_t median = 0;
  for (double sum = times[0]; sum < kMedian * answers && median + 1 < times.size(); sum += times[median]) {
    ++median;
  }
  return median;
}

}  // namespace

size_t VersionJudge::backend_index(const std::string& engine) {
  return backend_indexes_.emplace(engine, backend_indexes_.size()).first->second;
}

void VersionJudge::add(const fleet::AnswerKey& key, const fleet::AnswerTotals& growth) {
  Route& route = routes_[key.route];
  const auto failed = static_cast<double>(growth.failed);
  const auto broken = static_cast<double>(growth.broken);
  const auto timed = static_cast<double>(std::accumulate(growth.times.begin(), growth.times.end(), 0ULL));
  const size_t buckets = std::min(growth.times.size(), kLatencyBuckets);
  const uint8_t condition = std::min<uint8_t>(key.condition, kConditionCount - 1);
  if (!key.target) {
    route.others_answers += timed + failed + broken;
    for (AnswerTally* tally : {&route.recent, &route.newest}) {
      tally->complete += timed + failed;
      tally->failed += failed;
      tally->broken += broken;
    }
    Baseline& baseline = route.baselines[condition];
    for (size_t bucket = 0; bucket < buckets; ++bucket) {
      baseline.all[bucket] += static_cast<double>(growth.times[bucket]);
      baseline.recent[bucket] += static_cast<double>(growth.times[bucket]);
      baseline.newest[bucket] += static_cast<double>(growth.times[bucket]);
    }
    baseline.answers += timed;
    return;
  }
  const size_t backend = backend_index(key.engine);
  AnswerTally& tally = route.failures[backend];
  tally.complete += timed + failed;
  tally.failed += failed;
  tally.broken += broken;
  pending_breaks_ += broken;
  TimeHistogram& times = route.times[{condition, backend}];
  for (size_t bucket = 0; bucket < buckets; ++bucket) {
    times[bucket] += static_cast<double>(growth.times[bucket]);
  }
}

void VersionJudge::decay_baseline(Duration elapsed) {
  const double decay = std::exp(-to_seconds(elapsed) / to_seconds(options_.decay_time));
  const double short_decay = std::exp(-to_seconds(elapsed) / to_seconds(options_.short_decay_time));
  for (auto& [name, route] : routes_) {
    route.recent.scale(decay);
    route.newest.scale(short_decay);
    for (Baseline& baseline : route.baselines) {
      for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
        baseline.recent[bucket] *= decay;
        baseline.newest[bucket] *= short_decay;
      }
    }
  }
}

double VersionJudge::countable_break_fraction(Duration elapsed) {
  break_budget_ =
      std::min(options_.max_break_burst, break_budget_ + options_.max_breaks_per_s * to_seconds(elapsed));
  const double counted = std::min(pending_breaks_, break_budget_);
  const double part = pending_breaks_ > 0 ? counted / pending_breaks_ : 0;
  break_budget_ -= counted;
  pending_breaks_ = 0;
  return part;
}

void VersionJudge::update(Cusum& sum, const ByBackend& log_likelihood_ratios) {
  double all = 0;
  for (const auto& [backend, log_likelihood_ratio] : log_likelihood_ratios) {
    sum.without.emplace(backend, sum.total);
    all += log_likelihood_ratio;
  }
  for (auto& [backend, remaining] : sum.without) {
    const auto own = log_likelihood_ratios.find(backend);
    remaining = std::max(0.0, remaining + all - (own == log_likelihood_ratios.end() ? 0 : own->second));
  }
  sum.total = std::max(0.0, sum.total + all);
}

void VersionJudge::update(CusumPair& sums, const Increments& increments) {
  update(sums.small_increase, increments.small_increase);
  update(sums.large_increase, increments.large_increase);
}

void VersionJudge::add_increments(size_t backend, double answers, double bad, double rate,
                                  const TestOptions& test, Increments& increments) {
  increments.small_increase[backend] += log_likelihood_ratio(answers, bad, rate, test, test.small_increase);
  increments.large_increase[backend] += log_likelihood_ratio(answers, bad, rate, test, test.large_increase);
}

void VersionJudge::judge_failures(Route& route, double counted, Increments& pooled) {
  const double min_rate = options_.failures.min_rate;
  const double rate = std::max(smoothed_rate(route.recent.bad(), route.recent.all(), min_rate),
                               smoothed_rate(route.newest.bad(), route.newest.all(), min_rate));
  Increments increments;
  for (const auto& [backend, tally] : route.failures) {
    const double broken = tally.broken * counted;
    const double answers = tally.complete + broken;
    add_increments(backend, answers, tally.failed + broken, rate, options_.failures, increments);
    add_increments(backend, answers, tally.failed + broken, rate, options_.failures, pooled);
    route.target_answers += answers;
    judgement_.answers += static_cast<uint64_t>(std::lround(answers));
    judgement_.failed += static_cast<uint64_t>(std::lround(tally.failed + broken));
  }
  route.failures.clear();
  update(route.failure_cusums, increments);
}

bool VersionJudge::baseline_for(const Route& route, uint8_t condition, Baseline& baseline) const {
  const auto min_answers = static_cast<double>(options_.min_baseline_answers);
  baseline = route.baselines[condition];
  if (baseline.answers >= min_answers) {
    return true;
  }
  // Answers under harder conditions are slower, so adding them causes no false slow verdicts.
  baseline = {};
  for (uint8_t other = 0; other < kConditionCount; ++other) {
    if (!is_at_least_as_hard(other, condition)) {
      continue;
    }
    for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
      baseline.all[bucket] += route.baselines[other].all[bucket];
      baseline.recent[bucket] += route.baselines[other].recent[bucket];
      baseline.newest[bucket] += route.baselines[other].newest[bucket];
    }
    baseline.answers += route.baselines[other].answers;
  }
  return baseline.answers >= min_answers;
}

void VersionJudge::judge_slowness(Route& route, Increments& pooled) {
  Increments increments;
  Baseline baseline;
  for (const auto& [group, times] : route.times) {
    const auto& [condition, backend] = group;
    if (!baseline_for(route, condition, baseline)) {
      continue;
    }
    // A slowdown of all versions raises the recent medians of the baseline, and so the bound for slow
    // answers.
    const size_t median = std::max(
        {median_bucket(baseline.all), median_bucket(baseline.recent), median_bucket(baseline.newest)});
    const size_t slow = std::min(kLatencyBuckets - 1, median + options_.slow_buckets);
    const double rate = std::max(count_from(baseline.all, slow) / baseline.answers,
                                 smoothed_rate(count_from(baseline.recent, slow),
                                               count_from(baseline.recent, 0), options_.slowness.min_rate));
    const double answers = count_from(times, 0);
    const double bad = count_from(times, slow);
    add_increments(backend, answers, bad, rate, options_.slowness, increments);
    add_increments(backend, answers, bad, rate, options_.slowness, pooled);
  }
  route.times.clear();
  update(route.slowness_cusums, increments);
}

void VersionJudge::raise_doubt(const Cusum& sum, const TestOptions& test, const std::string& name) {
  double doubt = sum.total / test.threshold;
  if (sum.without.size() > 1) {
    for (const auto& [backend, remaining] : sum.without) {
      doubt = std::min(doubt, remaining / (options_.leave_one_out_fraction * test.threshold));
    }
  }
  if (doubt > judgement_.doubt) {
    judgement_.doubt = doubt;
    judgement_.finding = name;
  }
}

void VersionJudge::raise_doubt(const CusumPair& sums, const TestOptions& test, const std::string& name) {
  raise_doubt(sums.small_increase, test, name);
  raise_doubt(sums.large_increase, test, name);
}

bool VersionJudge::all_routes_covered() const {
  double all = 0;
  for (const auto& [name, route] : routes_) {
    all += route.others_answers;
  }
  return std::all_of(routes_.begin(), routes_.end(), [&](const auto& entry) {
    const Route& route = entry.second;
    return route.others_answers < options_.min_route_fraction * all ||
           route.target_answers >= static_cast<double>(options_.covered_route_answers);
  });
}

const Judgement& VersionJudge::judge(TimePoint now) {
  const Duration elapsed = judged_at_ == TimePoint(0) ? Duration(0) : now - judged_at_;
  judged_at_ = now;
  const double counted = countable_break_fraction(elapsed);
  Increments failures;
  Increments slowness;
  judgement_.doubt = 0;
  judgement_.finding.clear();
  for (auto& [name, route] : routes_) {
    judge_failures(route, counted, failures);
    judge_slowness(route, slowness);
    raise_doubt(route.failure_cusums, options_.failures, "failures on route " + name);
    raise_doubt(route.slowness_cusums, options_.slowness, "slow answers on route " + name);
  }
  update(pooled_failure_cusums_, failures);
  update(pooled_slowness_cusums_, slowness);
  raise_doubt(pooled_failure_cusums_, options_.failures, "failures");
  raise_doubt(pooled_slowness_cusums_, options_.slowness, "slow answers");
  judgement_.bad = judgement_.bad || judgement_.doubt >= 1;
  judgement_.covered = all_routes_covered();
  decay_baseline(elapsed);
  return judgement_;
}

}  // namespace stoat::rollout
