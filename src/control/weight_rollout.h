/// Decides which engines load new weights next. Performs no I/O: it receives the state of the engines and the
/// answers to orders, and returns the steps to take. Runs on the leader only.
///
/// An engine is first announced as loading, so that routers send it no more requests and continue its running
/// requests elsewhere. A few hundred milliseconds later it is sent the order, and then it is queried until it
/// has the version. Versions that were superseded by a newer one are skipped. A limited share of the engines
/// loads at a time. In addition, just enough engines are draining that one is ready whenever a load ends, and
/// no more: an engine that waits for its order serves no requests.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/version_history.h"

namespace stoat::control {

/// Settings of the rollout of weights.
struct RolloutOptions {
  double load_share = 0.166;        ///< share of a service's engines that load at a time, rounded up
  Duration start_delay{0};          ///< from when a version is named to the first order for it
  Duration announce_lead = 300ms;   ///< from the announcement to the order; most streams end in this time
  Duration first_check = 650ms;     ///< from the order to the first query for its result
  Duration check_interval = 150ms;  ///< from one such query to the next
  Duration retry_delay = 20ms;      ///< from an order without an answer to the query for its outcome
  Duration refusal_backoff = 1s;    ///< how long an engine that refused or could not be reached is left alone
  Duration load_timeout = 6s;       ///< after this time an order without a result is given up and sent again
};

/// What an engine reports about itself.
struct EngineReport {
  bool busy = false;            ///< an order is in progress
  uint64_t order_sequence = 0;  ///< number of orders accepted since its start
  std::vector<fleet::ModelVersion> models;
  uint64_t started_ms = 0;  ///< Unix time of its start in ms; 0: not reported
};

/// The answer to an order.
enum class OrderAnswer : uint8_t {
  kTaken,          ///< accepted
  kAlreadyLoaded,  ///< the engine has the version already
  kConflict,       ///< another order is in progress, or the sequence differs
  kFenced,         ///< the engine has seen a higher fencing token
  kRefused,        ///< any other refusal; certainly not accepted
  kNone,           ///< no answer: the order may have been accepted, or may still be executed
};

/// One step for the caller of WeightRollout::plan() to carry out.
struct RolloutStep {
  enum class Kind : uint8_t { kAnnounce, kOrder, kCheck, kRelease };
  Kind kind = Kind::kAnnounce;
  fleet::BackendRecord engine;
  std::string model;
  uint64_t version = 0;
  /// For an order: number of orders that the engine must have accepted so far.
  uint64_t expected_sequence = 0;
};

/// Plans the loading of new weights on all engines, and tracks the engines that are draining or loading.
class WeightRollout {
 public:
  explicit WeightRollout(const RolloutOptions& options) : options_(options) {}

  /// Discards all progress, on a change of leadership.
  void reset();
  /// The steps that are due now. `engines` are the registered backends. `weights` are the versions named by
  /// operators, with the time when each was named; the caller keeps them, since they must survive a change of
  /// leadership.
  std::vector<RolloutStep> plan(const std::vector<fleet::BackendRecord>& engines,
                                const fleet::TargetWeights& weights, TimePoint now);
  void on_order_answer(const std::string& engine, OrderAnswer answer, TimePoint now);
  void on_report(const std::string& engine, const EngineReport& report, TimePoint now);
  /// True when an engine has seen a fencing token above this leader's. The leader must then stop sending
  /// orders.
  bool fenced_off() const { return fenced_off_; }
  size_t in_progress() const { return loads_.size(); }

 private:
  enum class Phase : uint8_t { kAnnounced, kOrdered, kOutcomeUnknown };
  struct Load {
    std::string service;
    std::string model;
    uint64_t version = 0;
    Phase phase = Phase::kAnnounced;
    TimePoint started{0};
    TimePoint next_step_at{0};
    bool awaiting_answer = false;  ///< an order or a query has not been answered yet
    bool done = false;
  };
  /// Announced engines that wait for their order, those with the oldest weights first.
  std::vector<const fleet::BackendRecord*> announced_engines(
      const std::map<std::string, const fleet::BackendRecord*>& engines,
      const fleet::TargetWeights& weights) const;
  /// Number of a service's engines that were sent an order.
  size_t count_ordered(const std::string& service) const;
  /// Maximum number of a service's engines that may load at a time.
  size_t max_loading_engines(const std::string& service) const;
  /// Maximum number of a service's engines that may be announced or loading at a time.
  size_t max_engines_in_progress(const std::string& service) const;
  std::vector<const fleet::BackendRecord*> outdated_engines(const std::vector<fleet::BackendRecord>& engines,
                                                            const fleet::TargetWeights& weights,
                                                            TimePoint now) const;
  void start_loads(const std::vector<fleet::BackendRecord>& engines, const fleet::TargetWeights& weights,
                   TimePoint now, std::vector<RolloutStep>& steps);
  void advance(const fleet::BackendRecord& engine, Load& load, TimePoint now,
               std::vector<RolloutStep>& steps);

  RolloutOptions options_;
  std::map<std::string, size_t> engine_counts_;      ///< by service: number of engines that accept orders
  std::map<std::string, Load> loads_;                ///< by engine
  std::map<std::string, uint64_t> order_sequences_;  ///< by engine: number of orders that it has accepted
  std::map<std::string, TimePoint> refused_until_;   ///< by engine
  bool fenced_off_ = false;
};

}  // namespace stoat::control
