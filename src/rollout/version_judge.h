/// Judges a version of a program by its answers, against those that the other versions give at the same time,
/// on the same routes, and with the same work and load. Free of I/O.
///
/// Each answer moves a sum by the logarithm of how much likelier it is from a bad version than from a good
/// one; the sum never falls below 0, so that a version that turns bad late is found as soon (Page's test).
/// Above a limit the version is bad. What hits all versions alike is in the others' rates and moves nothing.
/// One back end alone does not make its version bad: without any one of them the sum must still be raised.
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

/// What one kind of bad answer is tested with. Rates are parts of the answers.
struct TestOptions {
  double floor = 0;   ///< a good version's rate is taken to be this at least
  double growth = 1;  ///< and so many times that of the others
  double step = 0;    ///< a bad version's rate is higher by so much at least
  double leap = 0;    ///< a plainly bad one's by so much: it is found by fewer answers
  double limit = 0;   ///< of the sum of logarithms
};

/// Settings of a judge. The rates of wrong verdicts that they give are stated by the property tests.
struct JudgeOptions {
  TestOptions failures{0.01, 1.6, 0.08, 0.4, 14};
  TestOptions slowness{0.03, 1.3, 0.08, 0.4, 12};
  Duration memory = 2s;             ///< the others' rates are those of about so long
  Duration short_memory = 100ms;    ///< and no lower than those of about so long, where many answers came
  size_t slow_buckets = 3;          ///< slow: so many buckets above the others' median (2.8 times)
  uint64_t reference_answers = 30;  ///< fewer answers of other versions are nothing to compare with
  double rest_limit = 0.3;          ///< part of the limit that is passed without any one back end
  double breaks_per_s = 8;          ///< more broken connections are those of a crash, or of a cut
  double breaks_at_once = 2;
  uint64_t route_answers = 8;  ///< a route is covered by so many
  double route_part = 0.03;    ///< routes with a smaller part of the requests need not be covered
};

/// What is known so far.
struct Judgement {
  bool bad = false;
  double doubt = 0;      ///< highest sum as a part of its limit; 1 and more: bad
  std::string finding;   ///< which test has the highest one
  uint64_t answers = 0;  ///< of the version on trial that were judged
  uint64_t failed = 0;   ///< of them
  bool covered = false;  ///< answers of each route that matters are among them
};

/// See the head of this file.
class VersionJudge {
 public:
  explicit VersionJudge(const JudgeOptions& options = {}) : options_(options) {}

  /// Takes what was counted for a key since the last call for it.
  void add(const fleet::AnswerKey& key, const fleet::AnswerTotals& growth);
  /// Judges what was added since the last call. To be called some times a second.
  const Judgement& judge(TimePoint now);
  const Judgement& judgement() const { return judgement_; }

 private:
  using Times = std::array<double, kLatencyBuckets>;
  using ByBackEnd = std::map<size_t, double>;
  /// Answers of one back end since the last judgement.
  struct Tally {
    double whole = 0;  ///< errors among them
    double failed = 0;
    double broken = 0;
    double all() const { return whole + broken; }
    double bad() const { return failed + broken; }
    void shrink(double part) {
      whole *= part;
      failed *= part;
      broken *= part;
    }
  };
  /// One test: its sum, and what the sum would be without each of the back ends.
  struct Sum {
    double total = 0;
    ByBackEnd without;  ///< by back end
  };
  /// One kind of bad answer: a sum for bad versions and one for plainly bad ones.
  struct SumPair {
    Sum step;
    Sum leap;
  };
  /// What both are moved by.
  struct Moves {
    ByBackEnd step;
    ByBackEnd leap;
  };
  /// The others' answers of one condition.
  struct Reference {
    Times all{};
    Times recent{};  ///< of about the judge's memory
    Times newest{};  ///< of about its short memory
    double answers = 0;
  };
  struct Route {
    double others_answers = 0;
    Tally recent;  ///< of others, in about the judge's memory
    Tally newest;  ///< and in its short memory
    double target_answers = 0;
    std::array<Reference, kConditions> references;
    std::map<size_t, Tally> failures;  ///< since the last judgement, by back end
    std::map<std::pair<uint8_t, size_t>, Times> times;
    SumPair failure_sums;
    SumPair slowness_sums;
  };
  size_t back_end_of(const std::string& engine);
  /// Lets the others' earlier answers count less.
  void forget_old(Duration passed);
  /// The part of the broken connections since the last judgement that may count.
  double counted_breaks(Duration passed);
  void judge_failures(Route& route, double counted, Moves& pooled);
  void judge_slowness(Route& route, Moves& pooled);
  /// The answers of others that a condition's are compared with; false: too few.
  bool reference_for(const Route& route, uint8_t condition, Reference& reference) const;
  /// Adds what the answers of one back end move, given the others' rate.
  static void add_moves(size_t back_end, double answers, double bad, double rate, const TestOptions& test,
                        Moves& moves);
  static void move(Sum& sum, const ByBackEnd& likelihoods);
  static void move(SumPair& sums, const Moves& moves);
  void weigh(const Sum& sum, const TestOptions& test, const std::string& name);
  void weigh(const SumPair& sums, const TestOptions& test, const std::string& name);
  bool all_routes_covered() const;

  JudgeOptions options_;
  std::map<std::string, size_t> back_ends_;
  std::map<std::string, Route> routes_;
  SumPair pooled_failures_;
  SumPair pooled_slowness_;
  double breaks_ = 0;       ///< of the target version since the last judgement
  double breaks_left_ = 0;  ///< that may still count
  TimePoint judged_at_{0};
  Judgement judgement_;
};

}  // namespace stoat::rollout
