/// The router: the edge server, the routes in force, the known backends, and the requests in flight.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/active_request.h"
#include "src/edge/edge_server.h"
#include "src/gateway/control_link.h"
#include "src/gateway/startup_queue.h"
#include "src/http/server.h"
#include "src/relay/relay_server.h"
#include "src/routing/route_table.h"
#include "src/topology/topology.h"
#include "src/wire/unreadable_messages.h"

namespace stoat::gateway {

/// Settings of a router.
struct GatewaySettings {
  std::string name;
  std::string zone;
  std::string region;
  topology::Topology topology;  ///< of the zones listed in the settings
  Endpoint listen;              ///< for clients
  /// For connections to backends that other routers ask for; no port: this router does not relay.
  Endpoint relay_listen;
  relay::RelayLimits relay_limits;
  ControlLinkOptions link;
  bool fail_closed = true;             ///< access keys are rejected without a confirmed configuration
  Duration shutdown_timeout = 7s;      ///< from SIGTERM until requests that are still open are ended
  Duration stop_listening_after = 3s;  ///< from SIGTERM until new connections are refused
  /// A route or key is refused as unknown only by a configuration that was confirmed as the newest within
  /// this time.
  Duration configuration_max_age = 2700ms;
  /// Engines with older weights are no longer used after this time since the newer version was announced.
  Duration old_weights_timeout = 6s;
  /// How long a request may wait for a router that has just started. Control members elect a leader within a
  /// second of a restart, and the first heartbeats of backends arrive within a second or so.
  Duration max_startup_wait = 2500ms;
  delivery::RetryBudgetOptions budget;
  admission::QuotaTolerance quotas;
  /// How long a lower router count must hold before the retry budget uses it. Equal to the window of the
  /// budget.
  Duration router_count_settle_time = 10s;
  events::RequestLogOptions request_log_options;
  /// An engine queue up to this long costs nothing: routers learn of a free slot about this much later, and
  /// the engine would be idle meanwhile.
  Duration useful_engine_queue = 200ms;
  /// The longest Retry-After for overload.
  Duration longest_retry_after = 10s;
  edge::BufferLimits buffer_limits;
  size_t response_body_bytes = 16U << 20U;  ///< for all long responses that are being received together
  /// Where to connect to reach a backend's endpoint, if another address leads there.
  std::function<Endpoint(const Endpoint&)> connect_to_backend = [](const Endpoint& backend) {
    return backend;
  };
  admission::QuarantineOptions quarantine;
};

/// Reads the settings of a router.
GatewaySettings read_gateway_settings(SettingsReader& reader);

/// Admits client requests and sends each to a backend.
class GatewayServer : public edge::RequestHandler {
 public:
  /// Throws std::runtime_error when an address can't be bound.
  GatewayServer(EventLoop& loop, const GatewaySettings& settings, const dispatch::HeaderNames& names);
  ~GatewayServer() override;
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> response) override;
  void on_disconnect(const edge::ResponseWriter* response, edge::DisconnectReason disconnect_reason) override;
  /// Returns true while the router should receive traffic.
  bool ready() const;
  /// Drains the requests in flight, then stops the loop.
  void stop();
  void set_seeds(std::vector<Endpoint> seeds) { control_link_.set_seeds(std::move(seeds)); }
  const Metrics& metrics() const { return metrics_; }
  /// Returns the version of the configuration in force; 0 if there is none yet.
  uint64_t configuration_version() const;
  /// Returns true when the feed has reported the backend.
  bool knows_backend(const std::string& id) const { return pool_.find(id) != nullptr; }

 private:
  void on_update(const fleet::FleetUpdate& update);
  void on_feed_update(const fleet::FleetFeedUpdate& feed_update);
  /// Adds new backends, updates changed ones, and removes those that are gone.
  void update_backends(const fleet::FleetFeedUpdate& feed_update);
  void remove_backend(const std::string& id);
  /// Applies backend limits that other routers have received.
  void apply_limits(const std::vector<fleet::BackendLimit>& limits);
  /// Requests permits from the leader, once for all requests of one loop iteration.
  void request_permits();
  void apply_brittle(const std::vector<fleet::BrittleBackend>& announcements);

  // gateway_slots.cc: leases of the slots of brittle backends
  void configure_slots();
  /// Own requests at backends of services that have brittle ones.
  std::vector<fleet::SlotUse> slots_in_use() const;
  /// Sends a report after what is being handled now.
  void schedule_slot_report();
  void send_slot_report();

  void record_placement(const fleet::ChainPlacement& placement);
  void apply_cache_changes(const fleet::CacheChanges& changes);
  /// Reports this router's load on each backend to the feed member, if it has changed.
  void report_loads();
  /// Updates the metrics for data buffered for slow clients.
  void publish_slow_reader_metrics();
  /// Updates the metrics for configurations on their way to this router.
  void publish_configuration_metrics();
  /// Updates the metric for backends that have set limits.
  void publish_limit_metrics();
  /// Updates the metrics for backends that this router does not reach.
  void publish_reach_metrics();
  void log_limit_usage();
  /// Moves requests away from backends that have stopped responding.
  void check_silence();
  /// Calls `action`, which may end the request, for each request in progress.
  void for_each_request(const std::function<void(dispatch::ActiveRequest&)>& action);
  // Implemented in gateway_links.cc: what this router's own links reach, and relaying for other routers.
  void configure_links();
  void on_link_verdict(const dispatch::BackendPtr& backend, dispatch::LinkVerdict verdict);
  /// Returns where this router connects to reach a backend for another router.
  tl::expected<Endpoint, relay::ConnectFailure> resolve_for_relay(const std::string& backend) const;
  /// Logs what has changed in what this router reaches, and tells the members when it is cut off.
  void track_reach();
  // Implemented in gateway_streams.cc: records of where streams began, which control members keep.
  void configure_streams();
  void maintain_streams();
  // Implemented in gateway_crashes.cc: backends that crash while serving requests.
  void on_probe_ended(const dispatch::BackendPtr& backend, dispatch::ProbeResult result);
  /// Confirms as crashes the broken exchanges at a backend that ended without deregistering. `detected_by`
  /// names how this was detected: "refused", "gone" or "lost".
  void confirm_crash(dispatch::Backend& backend, const char* detected_by);
  /// Continues to check whether a backend with broken exchanges has crashed, unless a check is pending. Sends
  /// a health check if the probe that ended with `result` reached the backend.
  void check_outcome(const dispatch::BackendPtr& backend, dispatch::ProbeResult result);
  /// Sends a health check. A response marks the earlier broken exchanges as survived.
  void check_health(const dispatch::BackendPtr& backend);
  /// Probes the backend again after a delay if it is still unknown whether it crashed.
  void schedule_outcome_check(const dispatch::BackendPtr& backend);
  /// Returns the head of a request to the health path of the backend's service, or to "/" if none is
  /// configured.
  std::string health_check_head(const dispatch::Backend& backend) const;
  /// Merges what other routers know of requests under which backends crash.
  void merge_crash_records(const std::vector<fleet::CrashRecord>& records);
  void log_standing(uint64_t feature, const char* source);
  /// Removes expired crash records and updates the metrics of suspect and quarantined requests.
  void expire_crash_records();
  void apply_part_changes(const fleet::CacheChanges& changes,
                          placement::KvCacheEstimate& cache_estimate) const;
  /// Queues a placement for the other routers, which receive it in the next batch.
  void announce_placement(fleet::ChainPlacement placement);
  void apply_configuration(const std::shared_ptr<const fleet::FleetConfiguration>& configuration);
  fleet::RouterStatus make_status();
  // Implemented in gateway_rollouts.cc: services that are moved to another version.
  void store_rollouts(const fleet::FleetUpdate& update);
  std::vector<fleet::AppliedRollout> applied_rollouts() const;
  /// Sends the status to all members at once when the last request at a version that is being replaced has
  /// ended.
  void report_drained_versions();
  void log_key_lease_change();
  /// `retry_after_s` is sent as Retry-After; 0: no Retry-After.
  void refuse(const dispatch::RoutedRequest& plan, edge::ResponseWriter& response, int status,
              const char* reason, double retry_after_s = 0);
  /// Refuses a request whose route or key is unknown: with `status` if that is the fleet's word, and
  /// otherwise as not served for now.
  void refuse_unknown(const dispatch::RoutedRequest& plan, edge::ResponseWriter& response, int status,
                      const char* reason);
  /// Returns true until the router can first decide about requests after its start.
  bool starting() const;
  /// Queues a request until the router can decide about it. Returns false when the queue is full.
  bool queue_until_started(edge::EdgeRequest& request, std::shared_ptr<edge::ResponseWriter>& response);
  /// Serves the queued requests once the router has started. Refuses those whose wait expires earlier.
  void process_startup_queue();
  /// True while a refusal of an unknown route or key is also the fleet's.
  bool configuration_is_newest() const {
    return control_link_.configuration_is_newest(settings_.configuration_max_age);
  }
  /// Returns whether the configuration in force has the request's route, and its key if it needs one.
  bool knows_route_and_key(const dispatch::RoutedRequest& plan) const;
  /// Queues a request that a newer configuration may allow. Returns false when it must be decided now.
  bool queue_until_configured(dispatch::RoutedRequest& plan,
                              const std::shared_ptr<edge::ResponseWriter>& response);
  /// Serves the queued requests that can be decided now.
  void process_configuration_queue();
  void serve(edge::EdgeRequest request, const std::shared_ptr<edge::ResponseWriter>& response,
             TimePoint arrived);
  bool admit(dispatch::RoutedRequest& plan, edge::ResponseWriter& response);
  /// Finds the tenant of the access key. Returns false when the request was refused.
  bool admit_key(dispatch::RoutedRequest& plan, edge::ResponseWriter& response);
  /// Charges the tenant's quota. Returns false when the request was refused.
  bool admit_quota(dispatch::RoutedRequest& plan, edge::ResponseWriter& response);
  void check_shutdown();
  /// Stops listening. From now on, requests whose time limits are later than this router's end are refused
  /// instead of sent, also those that wait.
  void begin_closing();
  bool closing() const;

  EventLoop& loop_;
  GatewaySettings settings_;
  dispatch::HeaderNames names_;
  std::string malformed_token_counts_message_;  ///< response body for malformed token counts
  Logger log_{"router"};
  Metrics metrics_;
  events::RequestLogSampler request_log_sampler_;
  placement::EventValidity cache_event_validity_;  ///< of all caches that the feed reports
  dispatch::BackendPool pool_;
  uint64_t start_id_ = 0;  ///< of this process
  /// By rollout id: true if this router reported that no request runs at other versions.
  std::map<uint64_t, bool> other_versions_idle_;
  dispatch::DispatchContext context_;
  std::shared_ptr<const routing::RouteTable> route_table_;
  routing::TrafficSplitter traffic_splitter_;
  std::set<std::string> unlisted_backends_;         ///< known backends that a new feed has not listed yet
  bool receiving_full_state_ = false;               ///< the first full state of a feed is not complete yet
  bool has_fleet_state_ = false;                    ///< a full state was received to its end
  bool quotas_known_ = false;                       ///< a feed has reported which quotas are metered
  std::vector<fleet::BackendLoad> reported_loads_;  ///< this router's loads, as last reported
  bool loads_reported_ = false;                     ///< to the current feed member
  dispatch::LinkSummary logged_reach_;              ///< as last logged
  std::set<std::string> unreported_unreachable_;    ///< backends found unreachable since the last report
  bool key_lease_logged_as_held_ = false;           ///< as last logged
  fleet::PlacementUpdate pending_placements_;
  std::map<const edge::ResponseWriter*, std::shared_ptr<dispatch::ActiveRequest>> active_requests_;
  StartupQueue startup_queue_;
  StartupQueue configuration_queue_;          ///< requests that a newer configuration may allow
  uint64_t configuration_queue_version_ = 0;  ///< in force when a request was last added to it
  bool configuration_queue_check_pending_ = false;
  wire::UnreadableMessages unreadable_messages_{log_, metrics_, "stoat_router_unreadable_messages_total"};
  ControlLink control_link_;
  edge::EdgeServer edge_;
  std::unique_ptr<relay::RelayServer> relay_server_;  ///< nullptr: this router does not relay
  bool slot_report_pending_ = false;                  ///< a report of slots is about to be sent
  bool permit_request_pending_ = false;               ///< a permit request is about to be sent
  bool stopping_ = false;
  TimePoint stop_started_at_{0};
  bool open_requests_ended_ = false;  ///< at the end of the shutdown
};

}  // namespace stoat::gateway
