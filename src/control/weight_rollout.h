/// Decides which engines get new weights next. Free of I/O: is told what the engines have and how the orders
/// went, gives the steps to take. Runs on the leader only.
///
/// An engine is first announced as loading, so that routers send it nothing more and let runs go on
/// elsewhere; some hundred milliseconds later it gets its order; then it is asked for its state until it has
/// the version. Versions that a newer one has overtaken are skipped. A bounded share of the engines loads at
/// once; besides these, so many are emptying that one is ready whenever a load ends, and no more: an engine
/// that waits for its order serves nobody.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/version_history.h"

namespace stoat::control {

/// Settings of a rollout.
struct RolloutOptions {
  double load_share = 0.166;        ///< of the engines that load at once, rounded up
  Duration start_delay{0};          ///< from the naming of a version to the first order for it
  Duration announce_lead = 300ms;   ///< between the announcement and the order: most streams end meanwhile
  Duration first_check = 650ms;     ///< from the order to the first question for its result
  Duration check_interval = 150ms;  ///< between such questions
  Duration retry_delay = 20ms;      ///< before an engine is asked how an order without an answer went
  Duration refusal_rest = 1s;  ///< an engine that refused, or could not be reached, is left alone so long
  Duration load_limit = 6s;    ///< an order without result is given up on and sent again
};

/// What an engine told of itself.
struct EngineReport {
  bool busy = false;            ///< an order is under way
  uint64_t order_sequence = 0;  ///< orders taken since its start
  std::vector<fleet::ModelVersion> models;
  uint64_t started_ms = 0;  ///< Unix time of its start; 0: not told
};

/// How an order was answered.
enum class OrderAnswer : uint8_t {
  kTaken,
  kAlreadyLoaded,
  kConflict,  ///< another is under way, or its sequence differs
  kFenced,    ///< a higher fence was seen
  kRefused,   ///< any other refusal; certainly not taken
  kNone,      ///< no answer: it may have been taken, or be carried out later
};

/// One step to take.
struct RolloutStep {
  enum class Kind : uint8_t { kAnnounce, kOrder, kCheck, kRelease };
  Kind kind = Kind::kAnnounce;
  fleet::BackendRecord engine;
  std::string model;
  uint64_t version = 0;
  uint64_t expected_sequence = 0;  ///< of an order: what the engine's count of orders must be
};

/// See the head of this file.
class WeightRollout {
 public:
  explicit WeightRollout(const RolloutOptions& options) : options_(options) {}

  /// Forgets what is under way, on a change of leadership.
  void reset();
  /// The steps due now. `engines` are the registered back ends. Since when versions are named is the caller's
  /// to know: it must outlive a change of leadership.
  std::vector<RolloutStep> plan(const std::vector<fleet::BackendRecord>& engines,
                                const fleet::TargetWeights& weights, TimePoint now);
  void on_order_answer(const std::string& engine, OrderAnswer answer, TimePoint now);
  void on_report(const std::string& engine, const EngineReport& report, TimePoint now);
  /// True when a fence higher than this leader's was seen; it must then stop ordering.
  bool fenced_off() const { return fenced_off_; }
  size_t under_way() const { return loads_.size(); }

 private:
  enum class Phase : uint8_t { kAnnounced, kOrdered, kWaiting };
  struct Load {
    std::string service;
    std::string model;
    uint64_t version = 0;
    Phase phase = Phase::kAnnounced;
    TimePoint started{0};
    TimePoint next{0};
    bool asking = false;  ///< an order or a question is on its way
    bool done = false;
  };
  /// Engines that wait for their order, those with the oldest weights first.
  std::vector<const fleet::BackendRecord*> announced(
      const std::map<std::string, const fleet::BackendRecord*>& engines,
      const fleet::TargetWeights& weights) const;
  /// How many engines of a service have an order under way.
  size_t ordered_of(const std::string& service) const;
  /// How many engines of a service may load at once.
  size_t bound_of(const std::string& service) const;
  /// How many may be announced or load at once.
  size_t under_way_bound(const std::string& service) const;
  std::vector<const fleet::BackendRecord*> lagging(const std::vector<fleet::BackendRecord>& engines,
                                                   const fleet::TargetWeights& weights, TimePoint now) const;
  void start_loads(const std::vector<fleet::BackendRecord>& engines, const fleet::TargetWeights& weights,
                   TimePoint now, std::vector<RolloutStep>& steps);
  void advance(const fleet::BackendRecord& engine, Load& load, TimePoint now,
               std::vector<RolloutStep>& steps);

  RolloutOptions options_;
  std::map<std::string, size_t> engines_of_;         ///< by service: engines that take orders
  std::map<std::string, Load> loads_;                ///< by engine
  std::map<std::string, uint64_t> order_sequences_;  ///< by engine: orders that it has taken
  std::map<std::string, TimePoint> refused_until_;   ///< by engine
  bool fenced_off_ = false;
};

}  // namespace stoat::control
