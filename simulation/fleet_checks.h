/// What a fleet run is checked for, and what it is measured by.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "src/wire/messages.h"
#include "standins/engine_model.h"
#include "tools/workload.h"

namespace stoat::simulation {

/// One caller's request and what became of it.
struct CallerRecord {
  tools::PlannedRequest planned;
  size_t sidecar = 0;
  uint64_t request_id = 0;
  TimePoint intended{0};
  TimePoint first_piece{0};
  TimePoint ended{0};
  std::string text;
  bool gone = false;          ///< the caller went away
  bool sidecar_lost = false;  ///< its sidecar crashed: no answer can come
  bool finished = false;
  uint32_t tries = 1;
  wire::RequestFinished result;
};

/// Figures and violations of a run.
struct FleetReport {
  std::vector<std::string> violations;
  size_t requests = 0;
  size_t complete = 0;
  size_t not_run = 0;
  size_t unknown = 0;
  size_t failed = 0;
  double hit_rate = 0;  ///< prompt tokens found in the engine's cache or imported, as a share
  uint64_t imported_tokens = 0;
  uint64_t prompt_tokens = 0;
  uint64_t prefilled_tokens = 0;
  uint64_t wasted_tokens = 0;  ///< prefilled although another live engine's cache held them
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  std::map<std::string, double> first_token_p95_ms_by_tenant;
  std::map<std::string, size_t> refusals;
};

/// Collects violations as a run goes on and judges it at the end.
class FleetChecks {
 public:
  void violate(TimePoint now, const std::string& what);
  /// An engine took a request; it counts as a run from then on.
  void on_engine_accepted(TimePoint now, const std::string& engine, uint64_t request_id,
                          const std::string& key);
  /// An engine began the prefill of a run.
  void on_engine_start(TimePoint now, const std::string& engine, uint64_t incarnation,
                       const standins::LedgerLine& line, const std::string& prompt, uint32_t block_tokens,
                       uint64_t wasted_tokens);
  /// A plain back end ran a request.
  void on_plain_run(uint64_t request_id, const std::string& key);
  /// A router dispatched to a back end.
  void on_dispatch(TimePoint now, const std::string& backend);
  void on_leaving(TimePoint now, const std::string& backend) { leaving_since_.emplace(backend, now); }
  /// What a caller got when its answer ended.
  void on_answer(TimePoint now, const CallerRecord& record);
  FleetReport report(TimePoint now, const std::vector<CallerRecord>& records) const;
  const std::vector<std::string>& violations() const { return violations_; }
  uint32_t runs_of_key(const std::string& key) const;
  uint32_t runs_of_request(uint64_t request_id) const;

 private:
  std::vector<std::string> violations_;
  std::map<std::string, uint32_t> runs_by_key_;
  std::map<uint64_t, uint32_t> runs_by_request_;
  std::map<std::string, TimePoint> leaving_since_;
  /// Hashes of (engine incarnation, tenant, weights, prompt prefix) that were computed there.
  std::unordered_set<uint64_t> computed_prefixes_;
  /// The same without the incarnation: what may have been exported to a store and imported again.
  std::unordered_set<uint64_t> exportable_prefixes_;
  uint64_t prompt_tokens_ = 0;
  uint64_t cached_tokens_ = 0;
  uint64_t imported_tokens_ = 0;
  uint64_t wasted_tokens_ = 0;
};

/// The text that a planned request must get.
std::string expected_answer(const tools::PlannedRequest& planned);

}  // namespace stoat::simulation
