/// Handles one caller request from acceptance to its single final response: chooses a backend, sends the
/// request, relays the response, and retries where that is allowed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/common/log.h"
#include "src/delivery/event_splitter.h"
#include "src/dispatch/dispatch_context.h"
#include "src/dispatch/response_body.h"
#include "src/events/request_events.h"

struct event;

namespace stoat::dispatch {

/// HTTP statuses used by the request path. kFirstErrorStatus: this and higher statuses are not successes.
inline constexpr int kFirstErrorStatus = 300;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
/// Urgencies sent to engines range from 0, the most urgent, to kMaxUrgency. A request's urgency is its
/// tenant's priority times kRoutePriorities plus its route's priority, so the tenant's priority dominates.
inline constexpr uint32_t kMaxUrgency = 9;
inline constexpr uint32_t kRoutePriorities = 3;
/// How often a request that waits for a slot checks again: a tenth of the age of the load reports of engines.
inline constexpr Duration kSlotPollInterval = 20ms;

/// Number of backends that a request is placed among. Large enough to serve a prompt prefix shared by a
/// tenth of a large fleet's requests, while a router's work per request does not grow with the fleet.
inline constexpr size_t kSubsetSize = 256;
/// Factor by which the subset is enlarged while none of its backends has a free slot.
inline constexpr size_t kSubsetGrowthFactor = 4;

/// Formats the value of a Retry-After header: seconds with two decimals.
std::string retry_after_text(double seconds);

/// KV cache transfers of one attempt: where its engine loads cache from and where it stores what it has
/// prefilled. Addresses; empty: none.
struct CachePlan {
  std::string source = {};               ///< engine or store to load from
  std::string target = {};               ///< store to write to
  std::string backup = {};               ///< engine that receives a backup of the run's KV cache
  std::string resume_from = {};          ///< ADDRESS/REQUEST_ID of the failed run to resume from its backup
  uint32_t candidates = 1;               ///< number of engines that it was placed among, for the log
  topology::Location source_place = {};  ///< location of `source`; meaningless without one
};

/// Forecast of the first event of an attempt, and its inputs, as of the time of sending.
struct ExpectedFirstEvent {
  placement::FirstEventForecast forecast;
  uint64_t waiting_tokens = 0;  ///< prompt tokens of other requests waiting at the engine
  uint64_t own_tokens = 0;      ///< prompt tokens of this request not cached there
  bool slot_free = false;
  bool moves_cache = false;  ///< the engine loads KV cache from elsewhere
};

/// One caller request in progress, with the exchange of its current attempt. Lives until its final response
/// or the caller's disconnect; on_done is then called.
class ActiveRequest : public ExchangeListener, public std::enable_shared_from_this<ActiveRequest> {
 public:
  using DoneHandler = std::function<void(ActiveRequest*)>;
  ActiveRequest(DispatchContext& context, RoutedRequest plan, std::shared_ptr<edge::ResponseWriter> answer,
                DoneHandler on_done);
  ~ActiveRequest() override;
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

  void start();
  /// Ends the request without a response, for instance when the caller has disconnected, and cancels it at
  /// the engine. `reason`: outcome for the log.
  void cancel(const char* reason);
  /// Ends the request with a final response if it is at no engine and the router may end before it does.
  void refuse_if_too_late();
  /// Ends the request with a final response, or breaks its stream off, since the router ends.
  void end_with_router();
  const edge::ResponseWriter* answer() const { return answer_.get(); }
  /// Probes the backend if it has been silent for long, and fails the exchange if it can't be reached. To be
  /// called several times a second.
  void check_silence();

  void on_response_head(int status, const http1::Headers& headers) override;
  void on_response_body(std::string_view piece) override;
  void on_response_complete() override;
  void on_exchange_failure(ExchangeFailure failure) override;

 private:
  /// Whether any engine may have executed the request.
  enum class Executed : uint8_t { kNo, kMaybe };
  /// How a response is handled: kNotRun says that the request was not executed; kInvalid lacks the engine's
  /// signature header.
  enum class ResponseKind : uint8_t { kNone, kBuffered, kEventStream, kNotRun, kInvalid };

  /// Chooses a backend for the request for the first time.
  void begin();
  void arm_timer(TimePoint at);
  void on_timer();
  void try_dispatch();
  /// Latest time until which the request may wait for a backend, or for a slot at one.
  TimePoint wait_limit() const;
  /// Schedules another try_dispatch() after kBackendPollInterval.
  void schedule_poll();
  void log_waiting();
  /// Backends that could execute the request.
  struct Candidates {
    std::vector<BackendPtr> usable;
    std::vector<BackendPtr> unhealthy;    ///< used only if none is usable
    std::vector<BackendPtr> limited;      ///< usable except for their rate limit
    std::vector<BackendPtr> backing_off;  ///< usable except that they asked for no requests for a while
    std::vector<BackendPtr> brittle;      ///< usable except that no slot there is leased to the request
    bool brittle_first = false;           ///< the first one that was found is among `brittle`
    /// The usable backends, or the unhealthy ones if there are none.
    const std::vector<BackendPtr>& best_available() const { return usable.empty() ? unhealthy : usable; }
    /// True if there are backends to which the request may be sent now, or once it has a slot.
    bool any() const { return !best_available().empty() || !brittle.empty(); }
  };
  /// Searches a subset of the service's backends, and enlarges it while none in it has a free slot.
  Candidates find_candidates() const;
  /// Backends that the request may be sent to now.
  std::vector<BackendPtr> candidates() const { return find_candidates().best_available(); }
  /// Sorts backends into `candidates` by whether they may get the request; drops those that may not.
  void classify_candidates(const std::vector<BackendPtr>& considered, Candidates& candidates) const;
  /// Asks for permits for rate-limited backends that the request could be sent to.
  void request_candidate_permits(const Candidates& found);
  /// Earliest time at which one of these backends may be sent to; nullopt: the control plane has not
  /// answered.
  std::optional<TimePoint> earliest_permit_time(const std::vector<std::string>& limited) const;
  /// Lets the request wait for a permit for one of these, or refuses it with `reason` if none comes in time.
  void wait_for_permit(const std::vector<std::string>& limited, const char* reason);
  // request_failure.cc: exchanges that fail or go silent
  /// True if no backend can be reached: this router is cut off, and no other one relays.
  bool cut_off_without_relay() const;
  /// True if the current exchange is on a direct connection that no longer leads to its backend.
  bool on_cut_link() const;
  /// Records what the end of an exchange says of the backend, and of this router's link to it.
  void judge_link(ExchangeFailure failure, const BackendPtr& backend, const BackendConnection& connection);
  // request_crashes.cc: requests during which backends crash
  /// A feature of the request, and whether requests with it may be sent.
  struct WorstFeature {
    uint64_t feature = 0;
    admission::StandingReason reason;
  };
  /// The feature that restricts the request the most.
  WorstFeature worst_feature() const;
  /// True if the request may not be sent now because backends crashed while executing it. The request then
  /// waits for a trial permit, or has been refused.
  bool blocked_by_crashes();
  /// For a suspect: returns false if it may be sent now, else lets it wait for a trial permit.
  bool wait_for_trial(uint64_t feature);
  void refuse_for_crashes(const WorstFeature& worst);
  /// True if enough backends crashed while executing the request that it is a suspect: it is sent to one
  /// backend at a time, and not retried after a failure.
  bool suspected() const;
  /// Uses the trial permit of a suspect that is being sent.
  void spend_trial();
  /// Returns the permit used by the current attempt if the request did not reach its backend.
  void return_trial_permit();
  /// Records that the exchange broke off at a backend, which may have crashed.
  void note_broken_exchange(const BackendPtr& backend);
  /// Clears the request of earlier crashes, since it has now completed.
  void clear_crash_suspicion();
  /// Key of the request's subset of the service: the hash of the shareable part of its prompt, or of the
  /// request id if it has no prompt.
  uint64_t subset_key() const;
  /// Ready and draining backends of the subset, whose KV cache may be loaded. `candidates`: minimum size of
  /// the subset.
  std::vector<BackendPtr> cache_sources_in_subset(size_t candidates) const;
  /// Ready backends of the subset.
  std::vector<BackendPtr> ready_in_subset() const;
  placement::EngineView view_of(const Backend& backend, double mean_others_outstanding) const;
  /// The known load of a backend. `mean_others_outstanding`: see EngineQueue.
  placement::EngineQueue queue_of(const Backend& backend, double mean_others_outstanding) const;
  /// Mean number of other routers' requests per ready backend of the subset.
  double mean_others_outstanding() const;
  /// Records the forecast for the attempt that is about to be sent.
  void expect_first_event(double mean_others_outstanding);
  /// Updates the latency model with the first event from backend_.
  void observe_first_event_latency();
  /// Updates the latency model with how long the completed run at backend_ occupied a slot.
  void observe_run_time() const;
  /// Returns those of the backends `found` whose software version the request is to be sent to.
  std::vector<BackendPtr> filter_by_version(std::vector<BackendPtr> found) const;
  /// Counts the attempt at backend_ while its service has a rollout in progress. The three functions after
  /// this one count its outcome.
  void record_rollout_send();
  void record_rollout_first_event();
  void record_rollout_end(rollout::SendOutcome end);
  void record_rollout_failure(ExchangeFailure failure);
  /// Decides whether the request is in the share sent to the version on trial (the canary).
  void sample_for_trial();
  // request_origin.cc: the service and the software version at which a stream began
  bool is_resumable_stream() const;
  /// Key of the stream's record: the same for all attempts that resume it.
  uint64_t stream_key() const;
  /// For a resumed stream: searches for its origin, and then begins or refuses the request.
  void find_origin();
  void on_origin_found(const streams::OriginFinding& finding);
  /// `retry_after`: 0: coming again is of no use.
  void refuse_resumption(const char* reason, Duration retry_after);
  /// True if no backend is left at which the resumed stream may go on.
  bool origin_is_gone() const;
  /// The one rule on where a stream that began at `origin` may be continued.
  bool may_go_on_at(const Backend& backend, const fleet::StreamOrigin& origin) const;
  /// Keeps the origin at the control members, for as long as the request lasts and a caller may resume it.
  void track_record(const fleet::StreamOrigin& origin, uint32_t generation);
  /// Records where a stream is about to begin.
  void record_origin(const Backend& backend);
  void untrack_records();
  /// Keeps an event back while the stream's origin is not stored. Returns false if the event can be passed
  /// on.
  bool hold_event(const delivery::StreamEvent& event);
  /// From now on the stream is bound to the software version of backend_.
  void begin_stream_at_origin();
  void release_held_events();
  void on_record_wait_over();
  /// How long the weights of a backend have been out of date; nullopt if they are current.
  std::optional<Duration> outdated_for(const Backend& backend) const;
  uint32_t urgency() const;
  admission::RequestTimes times() const;
  /// Expected waiting and response times at the candidates; empty if any of them has a free slot.
  admission::ServiceOutlook outlook(const std::vector<BackendPtr>& candidates) const;
  /// True if admission control would send the request to a current candidate now.
  bool has_room() const;
  /// Sends the request, lets it wait for a slot, or refuses it. There is at least one candidate.
  void admit(const std::vector<BackendPtr>& candidates);
  void wait_for_slot(const admission::ServiceOutlook& known);
  void leave_queue();
  void refuse_for_load(const admission::ServiceOutlook& known);
  /// Time after which a refused caller should retry. `wait`: expected time until an engine has room.
  Duration compute_retry_after(Duration wait);
  /// Chooses one of the candidates, of which there is at least one, and sends the request there.
  void dispatch(const std::vector<BackendPtr>& candidates);
  /// Sends the request on an idle or a new connection. `mean_others_outstanding`: see EngineQueue.
  void send_to(const BackendPtr& backend, CachePlan cache, double mean_others_outstanding);
  /// Adds the prompt tokens that the engine has to prefill for this request to its pending ones.
  void add_pending_prefill(const CachePlan& cache);
  /// Records that the engine, and the store that it writes to, now hold the prompt's shared parts, and
  /// announces it to the other routers.
  void note_prompt_cached();
  /// True if a backend can hold the backup of a run, or resume from it.
  bool may_hold_backup(const Backend& backend) const;
  /// The engine for the backup of a run at `target`; nullptr if the route or service makes none, or none
  /// fits.
  BackendPtr choose_backup(const Backend& target) const;
  /// Why the run at `origin` can't resume from its backup; nullptr if it can.
  const char* backup_unusable_reason(const Backend& origin) const;
  /// Resumes the run from its backup after the exchange with `origin` failed, once the engine there is known
  /// to have ended or to be unreachable. False if it can't.
  bool resume_from_backup(const BackendPtr& origin, ExchangeFailure failure);
  /// What is known, since the exchange failed, of the engine that ran the request.
  enum class OriginFate : uint8_t { kUnknown, kUnreachable, kAnswers };
  OriginFate origin_fate() const;
  /// Resumes the run, ends the request, or waits.
  void decide_on_backup();
  void send_to_backup();
  /// Chooses the engine for a request without a prompt.
  const BackendPtr& choose_without_prompt(const std::vector<BackendPtr>& candidates,
                                          const std::vector<placement::EngineView>& views);
  /// Plans the KV cache transfers of an attempt at `target`. `holder`: the engine to load from, or nullptr;
  /// `store`: the store of the prompt chain, or nullptr. `worth_taking_from_store`: loading the shared parts
  /// from the store is expected to be faster than prefilling them.
  CachePlan plan_cache(const Backend& target, const Backend* holder, const CacheStore* store,
                       bool worth_taking_from_store) const;
  /// Location of a store; if it is not configured, a zone of its own.
  topology::Location place_of_store(const std::string& address) const;
  /// Counts the network distances of the attempt and of its KV cache source, and adds them to the log event.
  void note_distances(const Backend& target, const CachePlan& cache, events::RequestSent& sent) const;
  /// Updates the service's call time with a completed request without a prompt.
  void observe_call_time();
  std::string request_head(const Backend& backend, const CachePlan& cache, TimePoint now) const;
  /// True for headers that the router sets itself or withholds from engines: they are not copied from the
  /// caller's request.
  bool is_router_header(const std::string& name) const;
  /// True if the router has stopped listening and may end before the request does.
  bool may_outlast_router() const { return deadline_ > context_.router_ends_at; }
  /// Why the request may not be retried; nullptr if it may. A retry is then charged to the retry budget,
  /// unless the request never reached a backend. `known_not_executed`: the last backend is known not to
  /// have executed it.
  const char* retry_denial_reason(bool known_not_executed);
  /// See retry_denial_reason(); logs the reason if the request may not be retried.
  bool may_retry(bool known_not_executed);
  /// True if the response began later, or paused for longer, than the objectives of its route allow.
  bool missed_objective(TimePoint now) const;
  /// Ends the exchange with a backend that has refused the request.
  void end_refused_exchange(bool keep_connection);
  /// Retries or fails a request that was not executed. `delivered`: the backend received and refused it;
  /// else no connection was made.
  void on_not_run(bool delivered);
  /// Detaches from backend_ and its connection, which is kept for reuse or closed.
  void finish_exchange(bool keep_connection);
  /// Pauses or resumes reading the response, following the caller's reading speed.
  void on_flow_control(bool paused);
  /// Reads the response, unless the caller reads too slowly or too many bytes are held for their record.
  void update_reading();
  /// Records that the backend has sent data.
  void note_activity();
  /// Removes this request's tokens from the pending prefill of backend_.
  void release_pending_prefill();
  /// Takes a newer weights version of the backend from the response head.
  void note_weights(const http1::Headers& headers);
  /// Uses a permit of the backend that the request is sent to, if it has a rate limit.
  void spend_permit(const Backend& backend);
  /// Applies the rate limit stated in the response head, or its removal.
  void note_rate_limit(const http1::Headers& headers);
  /// Marks the backend as draining if the response head says that it is shutting down.
  void note_leaving(const http1::Headers& headers);
  /// Records whether the backend states in the response head that it is brittle. One that has refused the
  /// request gets nothing from this router for a while.
  void note_brittle(const http1::Headers& headers);
  /// Records that the brittle backend_ turned the request away. `was_known`: this router knew that it is
  /// brittle.
  void note_brittle_rejection(bool was_known);
  /// True if the backend is brittle, or may be: it has not answered yet, and others of its service are.
  bool counts_as_brittle(const Backend& backend) const;
  /// True if a request may be sent to a brittle backend although no leader grants leases.
  bool may_send_without_lease(const Backend& backend) const;
  /// True if the request may be sent to the backend only once a slot there is leased to it.
  bool needs_slot(const Backend& backend) const;
  /// Sends the request to the backend where a slot is leased to it. Returns false if there is none.
  bool send_with_slot(const Candidates& found);
  /// True if the request is to wait for a slot at a brittle backend, even if others may be sent to. Brittle
  /// backends keep their share of the requests, since only their responses show when they are no longer
  /// brittle.
  bool prefers_slot(const Candidates& found) const;
  /// Lets the request wait for a slot at a brittle backend. If none is free in time, sends it to another one,
  /// or refuses it.
  void wait_for_slot_lease(const Candidates& found);
  void request_lease(const std::vector<BackendPtr>& brittle);
  /// Ends the wait for a slot, and returns one that is leased but not used.
  void end_lease_request();
  /// Applies the Retry-After of a backend that refused the request with 503.
  void apply_backoff(const http1::Headers& headers);
  /// Lets the request wait for the first of these backends whose backoff ends, or refuses it if that is too
  /// late.
  void wait_for_backoff(const std::vector<BackendPtr>& backing_off);
  /// Handles an event from the backend. It is passed on unless the caller already has it.
  void forward_event(const delivery::StreamEvent& event);
  void pass_on(const delivery::StreamEvent& event);
  /// Relays a complete buffered response, or retries after a server error.
  void finish_buffered_response();
  /// Ends the request with a response made by the router. `retry_after_s`: 0: no Retry-After header.
  void reply_with_error(int status, const char* reason, double retry_after_s);
  /// Ends the request with the error response that fits its state, or aborts a response that has begun.
  void fail_request(const char* reason);
  /// Ends a request whose response has begun by closing the caller's stream.
  void abort_stream(const char* reason);
  /// Records the latency metrics of the finished request.
  void observe(bool success, TimePoint now) const;
  /// Charges the quota for an attempt after one that may have been executed; the first attempt was charged at
  /// admission.
  void charge_retry();
  /// Refunds the quota charge if no engine can have executed the request.
  void refund_quota();
  /// Records the outcome in log and metrics, and calls on_done.
  void finish_request(const char* outcome, int status);

  DispatchContext& context_;
  RoutedRequest plan_;
  std::shared_ptr<edge::ResponseWriter> answer_;
  DoneHandler on_done_;
  event* timer_ = nullptr;
  TimePoint deadline_{0};       ///< the caller's deadline or the route's time-out
  TimePoint wait_deadline_{0};  ///< see wait_limit()
  bool waiting_ = false;
  uint64_t queue_number_ = 0;  ///< entry in the service's RequestQueue; 0: not queued
  TimePoint queued_at_{0};
  bool finished_ = false;
  Executed executed_ = Executed::kNo;
  bool outcome_unknown_ = false;  ///< the last attempt may have been executed, or may yet be
  bool delivered_ = true;         ///< the last backend that did not execute it had received it
  uint32_t runs_ = 0;             ///< engines that may have executed it
  uint32_t refusals_ = 0;         ///< engines that stated that they did not execute it
  std::set<std::string> tried_;
  bool in_trial_sample_ = false;                         ///< it goes to the version on trial
  std::optional<rollout::CountedRequest> rollout_send_;  ///< of the exchange at backend_
  placement::PromptChain chain_;
  const uint64_t fingerprint_;                 ///< see request_fingerprint()
  const std::vector<uint64_t> part_features_;  ///< see part_features()

  /// An event that waits until the stream's origin is stored.
  struct HeldEvent {
    std::string bytes;
    std::optional<int64_t> id;
  };
  uint64_t stream_ = 0;                                ///< see stream_key()
  std::optional<fleet::StreamOrigin> origin_;          ///< set once the stream has begun
  std::optional<fleet::StreamRecord> tracked_record_;  ///< last one given to the directory
  uint32_t tracked_uses_ = 0;                          ///< calls of StreamDirectory::track()
  std::vector<HeldEvent> held_events_;
  size_t held_bytes_ = 0;  ///< in held_events_

  BackendPtr backend_;
  BackendPtr backup_;                 ///< holds the backup of the run at backend_
  BackendPtr failed_origin_;          ///< whose fate decides whether the run is resumed; nullptr: none
  TimePoint origin_failed_at_{0};     ///< when the exchange with it failed
  bool resumed_from_backup_ = false;  ///< the run at backend_ was resumed from a backup
  uint64_t run_weights_ = 0;          ///< version of the weights that the run began with
  std::shared_ptr<BackendConnection> connection_;
  std::string store_target_;    ///< address of the store to which the engine at backend_ writes KV cache
  TimePoint last_activity_{0};  ///< when the request was sent to backend_, or last got data from it
  bool first_event_received_ = false;  ///< from the run at backend_
  /// When a request without a prompt was sent to an engine with a free slot; else nullopt.
  std::optional<TimePoint> call_sent_at_;
  uint64_t pending_prefill_tokens_ = 0;  ///< counted in backend_->prefill_tokens until the first event
  uint64_t moved_tokens_ = 0;  ///< prompt tokens whose KV cache backend_ is expected to load from elsewhere
  TimePoint sent_at_{0};       ///< when the exchange at backend_ began
  std::optional<ExpectedFirstEvent> expected_;  ///< for the last attempt
  ResponseKind kind_ = ResponseKind::kNone;
  edge::ResponseHead head_;
  ResponseBody body_;
  delivery::EventSplitter splitter_;
  bool lease_denied_ = false;             ///< no slot was free in time
  uint64_t lease_request_ = 0;            ///< in DispatchContext::slots; 0: none
  TimePoint lease_wait_until_{0};         ///< how long the request waits for a slot at a brittle backend
  std::string trial_permit_;              ///< key of the permit that the current attempt used; empty: none
  TimePoint exchange_first_event_at_{0};  ///< of the exchange at backend_; 0: no event yet
  bool paused_ = false;                   ///< the caller reads too slowly; the backend is not read
  bool streaming_ = false;                ///< the response head has been sent to the caller
  std::optional<int64_t> last_event_id_;  ///< of the last event that the caller has
  TimePoint first_event_at_{0};
  TimePoint last_event_at_{0};
  Duration longest_pause_{0};
  events::RequestEventLog event_log_;
};

}  // namespace stoat::dispatch
