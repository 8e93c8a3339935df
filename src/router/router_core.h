/// The router's decisions: admission, claims, placement, dispatch, retries, and its part of the cache index.
/// Free of I/O: takes messages, call results and the time; gives RouterActions.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "src/admission/fair_queue.h"
#include "src/admission/row_limiter.h"
#include "src/cache/engine_feed.h"
#include "src/cache/hot_prefixes.h"
#include "src/cache/prefix_index.h"
#include "src/common/metrics.h"
#include "src/delivery/backoff.h"
#include "src/delivery/outlier_detector.h"
#include "src/delivery/retry_budget.h"
#include "src/placement/policy.h"
#include "src/router/engine_table.h"
#include "src/router/router_action.h"
#include "src/router/serving_table.h"

namespace stoat::router {

/// Settings of a router.
struct RouterOptions {
  std::string name = "router";
  std::string zone = "region/zone";
  std::string policy = "lowest_ttft";
  uint32_t block_tokens = 128;
  uint32_t max_engine_outstanding = 48;  ///< calls of this router to one engine at once
  size_t max_queue = 2000;
  Duration feed_interval = 100ms;    ///< between polls of an engine's feed
  Duration digest_interval = 250ms;  ///< between rounds of load digests to other routers
  uint32_t digest_fanout = 12;  ///< how many routers get one in a round; the rest get theirs in later rounds
  Duration orphan_grace = 800ms;  ///< how long work goes on after its sidecar's connection was lost
  double hot_requests_per_second =
      100;                         ///< of one prefix at one router; above it the prefix gets more owners
  uint32_t max_dispatches = 4;     ///< tries of one request at this router, resumes included
  uint32_t snapshots_at_once = 2;  ///< feed snapshots fetched at the same time
  double hedge_factor = 3;         ///< a first token this many times later than expected is hedged; 0: never
  Duration hedge_floor = 400ms;    ///< no request is hedged sooner
};

/// Waits between polls of an engine that does not answer.
inline constexpr Duration kFeedRetryBase = 200ms;
inline constexpr Duration kMostFeedRetry = 2s;

/// See the head of this file.
class RouterCore {
 public:
  RouterCore(const RouterOptions& options, uint64_t seed, TimePoint now, Metrics* metrics);

  // From sidecars.
  void on_submit(SidecarId sidecar, wire::SubmitRequest submit, TimePoint now);
  void on_cancel(SidecarId sidecar, uint64_t request_id, TimePoint now);
  void on_sidecar_connected(SidecarId sidecar);
  void on_sidecar_gone(SidecarId sidecar, TimePoint now);

  // From back ends.
  void on_piece(CallId call_id, uint32_t index, const std::string& text, TimePoint now);
  void on_call_end(CallId call_id, const CallResult& result, TimePoint now);
  void on_feed_page(const std::string& engine, const cache::FeedPage& page, const wire::EngineLoad& load,
                    TimePoint now);
  void on_feed_snapshot(const std::string& engine, const cache::FeedSnapshot& snapshot, TimePoint now);
  void on_feed_failure(const std::string& engine, TimePoint now);

  // From control and from other routers.
  void on_control_answer(uint64_t call_id, const std::optional<control::CommandResult>& result,
                         TimePoint now);
  void on_configuration(const control::Configuration& configuration, TimePoint now);
  void on_routers(const std::vector<wire::Node>& routers, TimePoint now);
  void on_leaving(const std::vector<std::string>& backends);
  void on_router_message(const wire::Message& message, TimePoint now);

  /// To be called every few milliseconds.
  void tick(TimePoint now);
  /// Planned stop: refuses new requests and tells the sidecars; open requests go on.
  void start_draining();

  std::vector<RouterAction> take_actions();
  size_t open_requests() const { return requests_.size(); }
  size_t queued_requests() const;
  bool draining() const { return draining_; }
  const control::Configuration& configuration() const { return configuration_; }
  const cache::PrefixIndex& index() const { return index_; }
  const EngineTable& engines() const { return engines_; }
  const placement::CostModel& costs() const { return costs_; }
  const RouterOptions& options() const { return options_; }
  size_t followed_engines() const { return feeds_.size(); }

 private:
  /// kLingering: the stream broke after the sidecar was lost; whoever resumed it settles the claim, or this
  /// router settles it as unknown.
  enum class Phase : uint8_t { kClaiming, kQueued, kRunning, kLingering };

  /// A second run of a repeatable request whose first token is late. Whichever run gives the first piece goes
  /// on.
  struct Hedge {
    CallId call_id = 0;  ///< 0: none
    std::string backend;
    uint64_t incarnation = 0;
    uint32_t engine_attempt = 0;
    uint32_t pending_tokens = 0;
  };

  /// One request under way.
  struct Request {
    wire::SubmitRequest submit;
    SidecarId sidecar = 0;
    Phase phase = Phase::kQueued;
    TimePoint start_by{0};  ///< refused when it has not started by then
    TimePoint orphaned_at{0};
    control::PolicyRow tenant_row;
    uint64_t seed = 0;
    uint64_t hashed_at_version = 0;  ///< of the configuration when `seed` was last looked at; 0: never
    std::string weights_version;     ///< of the namespace that `seed` stands for
    std::vector<cache::BlockHash> chain;
    cache::BlockHash prefix_key = 0;
    uint32_t prompt_tokens = 0;
    uint64_t digest = 0;
    uint64_t claim_id = 0;
    bool counted_as_running = false;
    CallId call_id = 0;
    std::string backend;
    uint64_t incarnation = 0;
    uint32_t engine_attempt = 0;
    uint32_t dispatches = 0;
    uint32_t resumes = 0;
    uint32_t restarts_met = 0;  ///< refusals by engines that had restarted
    bool may_have_run = false;
    bool ran_before_call = false;  ///< what `may_have_run` was before the call under way
    uint32_t next_index = 0;
    std::string text;  ///< pieces passed on, kept for the claim's outcome and for going on elsewhere
    uint32_t missing_tokens = 0;
    uint32_t import_tokens = 0;
    uint32_t pending_tokens = 0;  ///< counted in the engine's pending tokens until the first piece
    TimePoint dispatched_at{0};
    Duration expected_first_token{0};  ///< from the dispatch on
    uint32_t first_index = 0;          ///< that the call under way is to give
    Hedge hedge;
    bool queue_was_empty = false;
    std::set<std::string> excluded;  ///< back ends that refused it
  };

  /// What a placement chooses from.
  struct PlacementInput {
    std::vector<placement::Candidate> candidates;
    const ServingEntry* store = nullptr;  ///< of kept blocks, for this prompt; nullptr: none can be used
    uint32_t stored_blocks = 0;           ///< leading blocks of the prompt that the store holds
    uint32_t shared_blocks = 0;  ///< leading blocks of the prompt that some engine holds or will hold
  };

  /// A claim that was asked for.
  struct PendingClaim {
    uint64_t request_id = 0;
    control::ClaimKey claim;
  };

  /// An engine that this router is home to.
  struct Followed {
    cache::EngineFeed feed;
    bool poll_under_way = false;
    bool snapshot_under_way = false;
    TimePoint next_poll{0};
    bool snapshot_wanted = false;
    wire::EngineLoad load;
    bool load_known = false;
    uint32_t failures = 0;
    delivery::Backoff backoff{kFeedRetryBase, kMostFeedRetry};
  };

  // router_core.cc: admission and the queue; router_claims.cc: claims; router_endings.cc: the ends of
  // requests
  bool check_submit(const wire::SubmitRequest& submit, const Request& request, TimePoint now);
  void prepare(Request& request, TimePoint now);
  /// Hashes the prompt anew when its namespace has changed, by a change of weights above all.
  void hash_prompt(Request& request) const;
  /// All that was asked for was delivered; only the end got lost.
  static bool is_whole(const Request& request);
  void request_claim(Request& request, TimePoint now);
  void on_claim_result(uint64_t request_id, const control::CommandResult& result, TimePoint now);
  void enqueue(Request& request, TimePoint now);
  void pump_queues(TimePoint now);
  void refuse(const wire::SubmitRequest& submit, SidecarId sidecar, wire::FailureReason reason,
              const std::string& message, Duration retry_after, bool may_have_run);
  void finish(Request& request, const wire::RequestFinished& finished, TimePoint now);
  void finish_with(Request& request, wire::Outcome outcome, wire::FailureReason reason,
                   const std::string& message, Duration retry_after, TimePoint now);
  void release_claim(const control::ClaimKey& claim);
  void end_claim(const Request& request, control::ClaimState state, const std::string& outcome);
  admission::RowLimiter& limiter(control::RowKind kind, const std::string& name, TimePoint now);
  void expire_queued(TimePoint now);
  void drop_orphans(TimePoint now);
  void uncount(Request& request, TimePoint now);
  void count_end(const wire::RequestFinished& finished, const Request& request);

  // router_placement.cc: candidates, the choice of one, transfers of kept blocks
  bool try_dispatch(Request& request, TimePoint now);
  PlacementInput placement_input(const Request& request, TimePoint now);
  bool has_candidates(const Request& request, TimePoint now) {
    return !placement_input(request, now).candidates.empty();
  }
  const ServingEntry* store_for(const Request& request, TimePoint now) const;
  const placement::Candidate& choose(const Request& request, const PlacementInput& input);
  static uint32_t missing_tokens(const Request& request, const placement::Candidate& candidate);
  Duration expected_first_token(const Request& request, const placement::Candidate& chosen) const;
  KvTransfer plan_transfer(Request& request, const PlacementInput& input, const placement::Candidate& chosen);
  bool accepts_work(const ServingEntry& entry, TimePoint now) const;
  bool usable(const Request& request, const ServingEntry& entry, TimePoint now) const;

  // router_dispatch.cc: calls to back ends, retries
  void start_call(Request& request, CallKind kind, const control::Backend& backend,
                  const KvTransfer& transfer, TimePoint now);
  void start_resume(Request& request, const wire::ResumePoint& where, TimePoint now);
  void leave_call(Request& request);
  void linger(Request& request, TimePoint now);
  void on_broken(Request& request, TimePoint now);
  void on_refused(Request& request, const CallResult& result, TimePoint now);
  void on_complete(Request& request, const CallResult& result, TimePoint now);
  void complete(Request& request, const CallResult& result, TimePoint now);
  void retry_elsewhere(Request& request, TimePoint now, bool exclude_backend = true);
  /// The request has no call at its back end any more.
  void release_backend(Request& request);
  void release_backend(const std::string& backend, uint32_t pending_tokens);
  /// What a run and a resume have in common.
  static StartCall new_call(const Request& request, const control::Backend& backend);
  StartCall new_run(const Request& request, const control::Backend& backend, const KvTransfer& transfer);
  void expect_blocks(const Request& request, const std::string& backend, uint64_t incarnation);
  void tell_where(const Request& request);
  void end_pending(Request& request);
  void note_first_piece(Request& request, TimePoint now);

  // router_hedge.cc: second runs of requests whose first token is late
  void start_hedges(TimePoint now);
  bool hedge_due(const Request& request, TimePoint now) const;
  void start_hedge(Request& request, TimePoint now);
  void promote_hedge(Request& request, TimePoint now);
  void drop_hedge(Request& request);
  void on_hedge_end(Request& request, const CallResult& result, TimePoint now);

  // router_cluster.cc: engine homes, prefix ownership, load digests, quota leases
  std::vector<std::string> region_routers() const;
  std::vector<std::string> zone_routers(const std::string& zone) const;
  std::set<std::string> own_engines() const;
  void assign_homes(TimePoint now);
  void poll_feeds(TimePoint now);
  void send_changes(const std::string& engine, uint64_t incarnation, bool reset,
                    const std::vector<cache::BlockChange>& changes, TimePoint now);
  static wire::BlockChanges make_batch(const std::string& engine, uint64_t incarnation, bool reset,
                                       const std::vector<cache::BlockChange>& changes);
  void send_batch(const std::string& owner, const wire::BlockChanges& batch);
  void apply_changes(const wire::BlockChanges& changes);
  void send_digest(TimePoint now);
  std::vector<std::string> owners_of(uint64_t root, const std::vector<std::string>& routers,
                                     TimePoint now) const;
  void review_hot_prefixes(TimePoint now);
  void on_hot_prefixes(const wire::HotPrefixes& hot, TimePoint now);
  void ask_quotas(TimePoint now);
  void on_quota_request(const wire::QuotaRequest& request, TimePoint now);
  void resend_blocks_of(const std::set<uint64_t>& roots, TimePoint now);
  void resend_blocks(const std::function<bool(uint64_t root, const std::string& owner)>& wanted,
                     TimePoint now);
  std::string region() const;

  RouterOptions options_;
  Random random_;
  Metrics* metrics_;
  bool draining_ = false;
  control::Configuration configuration_;
  std::vector<wire::Node> routers_;
  std::map<std::string, uint64_t> router_starts_;

  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<CallId, uint64_t> calls_;
  std::unordered_map<uint64_t, PendingClaim> claim_calls_;  ///< by control call
  CallId last_call_id_ = 0;
  uint64_t last_control_call_ = 0;
  std::set<SidecarId> sidecars_;

  std::map<std::string, admission::FairQueue> queues_;  ///< by model or service
  std::map<std::pair<control::RowKind, std::string>, admission::RowLimiter> limiters_;
  std::map<std::pair<control::RowKind, std::string>, admission::QuotaOwner> quota_owners_;
  TimePoint owners_changed_at_;
  TimePoint next_quota_ask_{0};
  TimePoint last_quota_ask_{0};

  EngineTable engines_;
  ServingTable serving_;
  delivery::OutlierDetector outliers_;
  delivery::RetryBudget retry_budget_;
  placement::CostModel costs_;
  std::unique_ptr<placement::Policy> policy_;

  cache::PrefixIndex index_;
  /// Blocks of requests just dispatched, before any feed tells of them. Two generations, the older one
  /// dropped.
  std::unique_ptr<cache::PrefixIndex> expected_;
  std::unique_ptr<cache::PrefixIndex> expected_before_;
  TimePoint next_generation_{0};
  std::map<std::string, Followed> feeds_;
  cache::HotPrefixTable hot_prefixes_;
  cache::HotPrefixDetector hot_detector_;
  wire::HotPrefixes spread_by_me_;
  TimePoint last_hot_review_{0};
  uint32_t snapshots_under_way_ = 0;
  TimePoint next_digest_{0};
  size_t next_digest_target_ = 0;

  std::vector<RouterAction> actions_;
};

}  // namespace stoat::router
