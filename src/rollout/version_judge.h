/// Judges a program version by its answers, compared with those of the other versions at the same time, on
/// the same routes, and under the same conditions. Performs no I/O.
///
/// Uses Page's test (CUSUM): each answer changes a sum by its log-likelihood ratio between a bad version and
/// a good one. The sum never falls below 0, so that a version that turns bad late is detected as quickly.
/// Above a threshold the version is bad. Problems that affect all versions alike are part of the baseline
/// rates and do not change the sum. One backend alone does not make its version bad: the sum must stay raised
/// without any single backend.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"
#include "src/rollout/answer_counter.h"

namespace stoat::rollout {

/// Parameters of the test for one kind of bad answer. Rates are fractions of the answers.
struct TestOptions {
  double min_rate = 0;         ///< lower limit of the bad-answer rate assumed for a good version
  double baseline_factor = 1;  ///< that rate is this many times the baseline rate
  double small_increase = 0;   ///< minimum increase of the rate at a bad version
  double large_increase = 0;   ///< the same for an obviously bad version, which fewer answers detect
  double threshold = 0;        ///< of the sum of log-likelihood ratios
};

/// Settings of the judge. The property tests state the rates of wrong verdicts that these settings result in.
struct JudgeOptions {
  TestOptions failures{0.01, 1.6, 0.08, 0.4, 14};
  TestOptions slowness{0.03, 1.3, 0.08, 0.4, 12};
  Duration decay_time = 2s;           ///< decay time constant of the baseline rates
  Duration short_decay_time = 100ms;  ///< the same for the short-term rates, which raise the baseline if
                                      ///< there are many answers
  size_t slow_buckets = 3;  ///< an answer is slow this many buckets above the baseline median (2.8 times)
  uint64_t min_baseline_answers = 30;   ///< answers of other versions needed for a baseline
  double leave_one_out_fraction = 0.3;  ///< fraction of the threshold to reach without any single backend
  double max_breaks_per_s = 8;          ///< more are attributed to a crash or a network partition
  double max_break_burst = 2;           ///< broken connections that may count at once
  uint64_t covered_route_answers = 8;   ///< answers of the target version that cover a route
  double min_route_fraction = 0.03;     ///< routes with a smaller fraction of the requests need no coverage
};

/// The verdict so far.
struct Judgement {
  bool bad = false;
  double doubt = 0;      ///< highest sum as a fraction of its threshold; 1 or more: bad
  std::string finding;   ///< the test with the highest fraction
  uint64_t answers = 0;  ///< judged answers of the target version
  uint64_t failed = 0;   ///< failed and broken ones among them
  bool covered = false;  ///< enough answers were judged on each route that needs coverage
};

/// Judges the target version of one rollout from the answer counts added so far.
class VersionJudge {
 public:
  explicit VersionJudge(const JudgeOptions& options = {}) : options_(options) {}

  /// Adds the counts of a key since the previous call for it.
  void add(const fleet::AnswerKey& key, const fleet::AnswerTotals& growth);
  /// Judges the counts that were added since the last call. Call several times a second.
  const Judgement& judge(TimePoint now);
  const Judgement& judgement() const { return judgement_; }

 private:
  using TimeHistogram = std::array<double, kLatencyBuckets>;
  using ByBackend = std::map<size_t, double>;
  /// Counts of answers, of one backend or of all other versions.
  struct AnswerTally {
    double complete = 0;  ///< complete answers, including errors
    double failed = 0;
    double broken = 0;
    double all() const { return complete + broken; }
    double bad() const { return failed + broken; }
    void scale(double part) {
      complete *= part;
      failed *= part;
      broken *= part;
    }
  };
  /// State of one test: the sum, and the sum without each single backend.
  struct Cusum {
    double total = 0;
    ByBackend without;  ///< by the backend that is left out
  };
  /// The tests for one kind of bad answer: for bad versions, and for obviously bad ones.
  struct CusumPair {
    Cusum small_increase;
    Cusum large_increase;
  };
  /// Increments of both sums, by backend.
  struct Increments {
    ByBackend small_increase;
    ByBackend large_increase;
  };
  /// Answers of other versions under one condition.
  struct Baseline {
    TimeHistogram all{};
    TimeHistogram recent{};  ///< decays with JudgeOptions::decay_time
    TimeHistogram newest{};  ///< decays with JudgeOptions::short_decay_time
    double answers = 0;
  };
  struct Route {
    double others_answers = 0;
    AnswerTally recent;  ///< of other versions; decays with JudgeOptions::decay_time
    AnswerTally newest;  ///< of other versions; decays with JudgeOptions::short_decay_time
    double target_answers = 0;
    std::array<Baseline, kConditionCount> baselines;
    std::map<size_t, AnswerTally> failures;  ///< since the last judgement, by backend
    std::map<std::pair<uint8_t, size_t>, TimeHistogram> times;
    CusumPair failure_cusums;
    CusumPair slowness_cusums;
  };
  size_t backend_index(const std::string& engine);
  /// Reduces the weight of earlier answers of other versions.
  void decay_baseline(Duration elapsed);
  /// The fraction of the broken connections since the last judgement that may count.
  double countable_break_fraction(Duration elapsed);
  void judge_failures(Route& route, double counted, Increments& pooled);
  void judge_slowness(Route& route, Increments& pooled);
  /// Sets `baseline` to the answers of other versions to compare a condition with. Returns false if there are
  /// too few.
  bool baseline_for(const Route& route, uint8_t condition, Baseline& baseline) const;
  /// Adds the log-likelihood ratios of one backend's answers, given the baseline rate of bad answers.
  static void add_increments(size_t backend, double answers, double bad, double rate, const TestOptions& test,
                             Increments& increments);
  static void update(Cusum& sum, const ByBackend& log_likelihood_ratios);
  static void update(CusumPair& sums, const Increments& increments);
  /// Raises the doubt in the judgement if this test gives a higher one.
  void raise_doubt(const Cusum& sum, const TestOptions& test, const std::string& name);
  void raise_doubt(const CusumPair& sums, const TestOptions& test, const std::string& name);
  bool all_routes_covered() const;

  JudgeOptions options_;
  std::map<std::string, size_t> backend_indexes_;
  std::map<std::string, Route> routes_;
  CusumPair pooled_failure_cusums_;
  CusumPair pooled_slowness_cusums_;
  double pending_breaks_ = 0;  ///< broken connections at the target version since the last judgement
  double break_budget_ = 0;    ///< broken connections that may still count
  TimePoint judged_at_{0};
  Judgement judgement_;
};

}  // namespace stoat::rollout
