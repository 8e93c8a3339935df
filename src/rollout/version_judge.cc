#include "src/rollout/version_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stoat::rollout {

namespace {

/// When more of the others' answers are bad, something hits all versions, and nothing is judged.
constexpr double kMaxRate = 0.5;
/// The others' present rate counts in so many answers at the floor's, against chance in few.
constexpr double kPriorAnswers = 20;
constexpr double kMedian = 0.5;

/// How much likelier the answers are from a bad version, as a logarithm.
double likelihood(double answers, double bad, double good_rate, const TestOptions& test, double step) {
  const double low = std::max(good_rate * test.growth, test.floor);
  if (low > kMaxRate) {
    return 0;
  }
  const double high = low + step;
  return bad * std::log(high / low) + (answers - bad) * std::log((1 - high) / (1 - low));
}

double present_rate(double bad, double answers, double floor) {
  return (bad + floor * kPriorAnswers) / (answers + kPriorAnswers);
}

template <typename Times>
double sum_from(const Times& times, size_t bucket) {
  return std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(bucket), times.end(), 0.0);
}

/// The bucket that half of the answers don't exceed; 0 where they are too few.
template <typename Times>
size_t median_of(const Times& times) {
  const double answers = sum_from(times, 0);
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

size_t VersionJudge::back_end_of(const std::string& engine) {
  return back_ends_.emplace(engine, back_ends_.size()).first->second;
}

void VersionJudge::add(const fleet::AnswerKey& key, const fleet::AnswerTotals& growth) {
  Route& route = routes_[key.route];
  const auto failed = static_cast<double>(growth.failed);
  const auto broken = static_cast<double>(growth.broken);
  const auto timed = static_cast<double>(std::accumulate(growth.times.begin(), growth.times.end(), 0ULL));
  const size_t buckets = std::min(growth.times.size(), kLatencyBuckets);
  const uint8_t condition = std::min<uint8_t>(key.condition, kConditions - 1);
  if (!key.target) {
    route.others_answers += timed + failed + broken;
    for (Tally* tally : {&route.recent, &route.newest}) {
      tally->whole += timed + failed;
      tally->failed += failed;
      tally->broken += broken;
    }
    Reference& reference = route.references[condition];
    for (size_t bucket = 0; bucket < buckets; ++bucket) {
      reference.all[bucket] += static_cast<double>(growth.times[bucket]);
      reference.recent[bucket] += static_cast<double>(growth.times[bucket]);
      reference.newest[bucket] += static_cast<double>(growth.times[bucket]);
    }
    reference.answers += timed;
    return;
  }
  const size_t back_end = back_end_of(key.engine);
  Tally& tally = route.failures[back_end];
  tally.whole += timed + failed;
  tally.failed += failed;
  tally.broken += broken;
  breaks_ += broken;
  Times& times = route.times[{condition, back_end}];
  for (size_t bucket = 0; bucket < buckets; ++bucket) {
    times[bucket] += static_cast<double>(growth.times[bucket]);
  }
}

void VersionJudge::forget_old(Duration passed) {
  const double kept = std::exp(-to_seconds(passed) / to_seconds(options_.memory));
  const double kept_shortly = std::exp(-to_seconds(passed) / to_seconds(options_.short_memory));
  for (auto& [name, route] : routes_) {
    route.recent.shrink(kept);
    route.newest.shrink(kept_shortly);
    for (Reference& reference : route.references) {
      for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
        reference.recent[bucket] *= kept;
        reference.newest[bucket] *= kept_shortly;
      }
    }
  }
}

double VersionJudge::counted_breaks(Duration passed) {
  breaks_left_ = std::min(options_.breaks_at_once, breaks_left_ + options_.breaks_per_s * to_seconds(passed));
  const double counted = std::min(breaks_, breaks_left_);
  const double part = breaks_ > 0 ? counted / breaks_ : 0;
  breaks_left_ -= counted;
  breaks_ = 0;
  return part;
}

void VersionJudge::move(Sum& sum, const ByBackEnd& likelihoods) {
  double all = 0;
  for (const auto& [back_end, likelihood] : likelihoods) {
    sum.without.emplace(back_end, sum.total);
    all += likelihood;
  }
  for (auto& [back_end, rest] : sum.without) {
    const auto own = likelihoods.find(back_end);
    rest = std::max(0.0, rest + all - (own == likelihoods.end() ? 0 : own->second));
  }
  sum.total = std::max(0.0, sum.total + all);
}

void VersionJudge::move(SumPair& sums, const Moves& moves) {
  move(sums.step, moves.step);
  move(sums.leap, moves.leap);
}

void VersionJudge::add_moves(size_t back_end, double answers, double bad, double rate,
                             const TestOptions& test, Moves& moves) {
  moves.step[back_end] += likelihood(answers, bad, rate, test, test.step);
  moves.leap[back_end] += likelihood(answers, bad, rate, test, test.leap);
}

void VersionJudge::judge_failures(Route& route, double counted, Moves& pooled) {
  const double floor = options_.failures.floor;
  const double rate = std::max(present_rate(route.recent.bad(), route.recent.all(), floor),
                               present_rate(route.newest.bad(), route.newest.all(), floor));
  Moves moves;
  for (const auto& [back_end, tally] : route.failures) {
    const double broken = tally.broken * counted;
    const double answers = tally.whole + broken;
    add_moves(back_end, answers, tally.failed + broken, rate, options_.failures, moves);
    add_moves(back_end, answers, tally.failed + broken, rate, options_.failures, pooled);
    route.target_answers += answers;
    judgement_.answers += static_cast<uint64_t>(std::lround(answers));
    judgement_.failed += static_cast<uint64_t>(std::lround(tally.failed + broken));
  }
  route.failures.clear();
  move(route.failure_sums, moves);
}

bool VersionJudge::reference_for(const Route& route, uint8_t condition, Reference& reference) const {
  const auto enough = static_cast<double>(options_.reference_answers);
  reference = route.references[condition];
  if (reference.answers >= enough) {
    return true;
  }
  // Answers under harder conditions are slower, so that nothing is called slow that is not.
  reference = {};
  for (uint8_t other = 0; other < kConditions; ++other) {
    if (!no_easier(other, condition)) {
      continue;
    }
    for (size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
      reference.all[bucket] += route.references[other].all[bucket];
      reference.recent[bucket] += route.references[other].recent[bucket];
      reference.newest[bucket] += route.references[other].newest[bucket];
    }
    reference.answers += route.references[other].answers;
  }
  return reference.answers >= enough;
}

void VersionJudge::judge_slowness(Route& route, Moves& pooled) {
  Moves moves;
  Reference reference;
  for (const auto& [place, times] : route.times) {
    const auto& [condition, back_end] = place;
    if (!reference_for(route, condition, reference)) {
      continue;
    }
    // What slows all versions raises the others' present median, and so what counts as slow.
    const size_t median =
        std::max({median_of(reference.all), median_of(reference.recent), median_of(reference.newest)});
    const size_t slow = std::min(kLatencyBuckets - 1, median + options_.slow_buckets);
    const double rate = std::max(sum_from(reference.all, slow) / reference.answers,
                                 present_rate(sum_from(reference.recent, slow), sum_from(reference.recent, 0),
                                              options_.slowness.floor));
    const double answers = sum_from(times, 0);
    const double bad = sum_from(times, slow);
    add_moves(back_end, answers, bad, rate, options_.slowness, moves);
    add_moves(back_end, answers, bad, rate, options_.slowness, pooled);
  }
  route.times.clear();
  move(route.slowness_sums, moves);
}

void VersionJudge::weigh(const Sum& sum, const TestOptions& test, const std::string& name) {
  double doubt = sum.total / test.limit;
  if (sum.without.size() > 1) {
    for (const auto& [back_end, rest] : sum.without) {
      doubt = std::min(doubt, rest / (options_.rest_limit * test.limit));
    }
  }
  if (doubt > judgement_.doubt) {
    judgement_.doubt = doubt;
    judgement_.finding = name;
  }
}

void VersionJudge::weigh(const SumPair& sums, const TestOptions& test, const std::string& name) {
  weigh(sums.step, test, name);
  weigh(sums.leap, test, name);
}

bool VersionJudge::all_routes_covered() const {
  double all = 0;
  for (const auto& [name, route] : routes_) {
    all += route.others_answers;
  }
  return std::all_of(routes_.begin(), routes_.end(), [&](const auto& entry) {
    const Route& route = entry.second;
    return route.others_answers < options_.route_part * all ||
           route.target_answers >= static_cast<double>(options_.route_answers);
  });
}

const Judgement& VersionJudge::judge(TimePoint now) {
  const Duration passed = judged_at_ == TimePoint(0) ? Duration(0) : now - judged_at_;
  judged_at_ = now;
  const double counted = counted_breaks(passed);
  Moves failures;
  Moves slowness;
  judgement_.doubt = 0;
  judgement_.finding.clear();
  for (auto& [name, route] : routes_) {
    judge_failures(route, counted, failures);
    judge_slowness(route, slowness);
    weigh(route.failure_sums, options_.failures, "failures on route " + name);
    weigh(route.slowness_sums, options_.slowness, "slow answers on route " + name);
  }
  move(pooled_failures_, failures);
  move(pooled_slowness_, slowness);
  weigh(pooled_failures_, options_.failures, "failures");
  weigh(pooled_slowness_, options_.slowness, "slow answers");
  judgement_.bad = judgement_.bad || judgement_.doubt >= 1;
  judgement_.covered = all_routes_covered();
  forget_old(passed);
  return judgement_;
}

}  // namespace stoat::rollout
