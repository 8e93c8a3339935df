/// The router for fleets with routes: the edge, the routes in force, the back ends, and the requests under
/// way.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/active_request.h"
#include "src/edge/edge_server.h"
#include "src/gateway/control_link.h"
#include "src/gateway/start_queue.h"
#include "src/http/server.h"
#include "src/routing/route_table.h"
#include "src/topology/topology.h"

namespace stoat::gateway {

/// Settings of a router.
struct GatewaySettings {
  std::string name;
  std::string zone;
  std::string region;
  topology::Topology topology;  ///< of the zones that the settings list
  Endpoint listen;              ///< for callers
  ControlLinkOptions link;
  bool fail_closed = true;    ///< without a confirmed configuration, keys are not honoured
  Duration stop_grace = 7s;   ///< from SIGTERM to the end at the latest
  Duration stop_listen = 3s;  ///< from SIGTERM until new connections are refused
  Duration old_weights_timeout = 6s;
  /// How long a request may wait for a router that has just started. Members elect a leader within a second
  /// of a restart, and back ends are heard within a second or so.
  Duration start_wait = 2500ms;
  delivery::RetryBudgetOptions budget;
  admission::QuotaTolerance quotas;
  /// How long a lower count of routers must hold before it counts for the bound on repeats: its window.
  Duration router_count_settle_time = 10s;
  events::StoryOptions stories;
  /// A queue of so long at an engine is no loss: what routers hear of engines is about as old.
  Duration useful_engine_queue = 200ms;
  /// The longest Retry-After for load.
  Duration longest_retry_after = 10s;
  edge::HoldLimits hold;
  admission::QuarantineOptions quarantine;
};

/// Reads the settings of a router.
GatewaySettings read_gateway_settings(SettingsReader& reader);

/// See the head of this file.
class GatewayServer : public edge::RequestHandler {
 public:
  /// Throws std::runtime_error when an address can't be bound.
  GatewayServer(EventLoop& loop, const GatewaySettings& settings, const dispatch::HeaderNames& names);
  ~GatewayServer() override;
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> answer) override;
  void on_gone(const edge::ResponseWriter* answer, edge::CallerEnd end) override;
  /// True while the router should get traffic.
  bool ready() const;
  /// Stops in an orderly way, then ends the loop.
  void stop();
  void set_seeds(std::vector<Endpoint> seeds) { link_.set_seeds(std::move(seeds)); }
  const Metrics& metrics() const { return metrics_; }
  /// True when the registry has told of a back end.
  bool knows_backend(const std::string& id) const { return pool_.find(id) != nullptr; }

 private:
  void on_update(const fleet::FleetUpdate& update);
  void on_news(const fleet::FleetFeedUpdate& news);
  /// Takes back ends that are new, have changed, or are gone.
  void take_backends(const fleet::FleetFeedUpdate& news);
  void remove_backend(const std::string& id);
  /// Takes limits of back ends that other routers have heard.
  void take_limits(const std::vector<fleet::BackendLimit>& limits);
  /// Asks the leader for permits, once for all requests of one turn of the loop.
  void request_permits();
  void take_placement(const fleet::ChainPlacement& placement);
  void take_cache(const fleet::CacheChanges& changes);
  /// Tells the member of the feed the own requests under way, when they have changed.
  void tell_loads();
  /// Tells the metrics what is held for slow readers.
  void publish_flow();
  /// Tells the metrics and the log what goes to back ends that have named limits.
  void publish_limits();
  void log_limit_use();
  /// Lets requests at back ends that have gone dark go on elsewhere.
  void check_silence();
  // gateway_crashes.cc: back ends that crash under requests
  void on_probe_ended(const dispatch::BackendPtr& backend, dispatch::ProbeResult result);
  /// Confirms the broken exchanges at a back end that has ended without signing off as crashes. `sign` names
  /// how this was detected: "refused", "gone" or "lost".
  void note_crash(dispatch::Backend& backend, const char* sign);
  /// Continues to check whether a back end with broken exchanges has crashed, unless a check is pending.
  /// Sends a health check if the probe that ended with `result` reached the back end.
  void check_outcome(const dispatch::BackendPtr& backend, dispatch::ProbeResult result);
  /// Sends a health check. An answer marks the earlier broken exchanges as survived.
  void check_health(const dispatch::BackendPtr& backend);
  /// Probes the back end again after a delay if it is still unknown whether it crashed.
  void schedule_outcome_check(const dispatch::BackendPtr& backend);
  /// Head of the request to the health path of the back end's service, or to "/" if none is configured.
  std::string health_check_head(const dispatch::Backend& backend) const;
  /// Takes what other routers know of requests under which back ends crash.
  void take_crashes(const std::vector<fleet::CrashRecord>& records);
  void log_standing(uint64_t request, const char* source);
  /// Forgets what is long ago, and tells the metrics what is known.
  void keep_crashes();
  void apply_changes(const fleet::CacheChanges& changes, placement::KvCacheEstimate& memory) const;
  /// Keeps a placement for the other routers, which hear of it a little later.
  void announce_placement(fleet::ChainPlacement placement);
  void take_configuration(const fleet::FleetConfiguration& configuration);
  fleet::RouterStatus make_status();
  // gateway_rollouts.cc: services that are moved to another version
  void take_rollouts(const fleet::FleetUpdate& update);
  std::vector<fleet::AppliedRollout> applied_rollouts() const;
  /// Tells the members at once that the last request at a version that is left has ended.
  void tell_ended_rollouts();
  void note_key_lease();
  /// `retry_after_s`: 0: the caller is not told when to come back.
  void refuse(const dispatch::RoutedRequest& plan, edge::ResponseWriter& answer, int status,
              const char* reason, double retry_after_s = 0);
  /// True until the router can decide about requests for the first time since it started.
  bool starting() const;
  /// Keeps a request until the router can decide about it. False when there is no room.
  bool wait_for_start(edge::EdgeRequest& request, std::shared_ptr<edge::ResponseWriter>& answer);
  /// Serves what waits when the start is over, and refuses what has waited for too long.
  void check_start_queue();
  void serve(edge::EdgeRequest request, const std::shared_ptr<edge::ResponseWriter>& answer,
             TimePoint arrived);
  bool admit(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer);
  /// Finds the tenant of the key.
  bool admit_key(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer);
  /// Charges the tenant's quota.
  bool admit_quota(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer);
  void check_stopped();

  EventLoop& loop_;
  GatewaySettings settings_;
  dispatch::HeaderNames names_;
  std::string malformed_tokens_;  ///< what a caller is told whose token counts can't be read
  Logger log_{"router"};
  Metrics metrics_;
  events::RequestLogSampler stories_;
  placement::EventValidity events_trust_;  ///< of all caches that the feed tells of
  dispatch::BackendPool pool_;
  uint64_t start_id_ = 0;                  ///< of this process
  std::map<uint64_t, bool> others_ended_;  ///< by id of an order: no request runs at other versions, as told
  dispatch::DispatchContext context_;
  std::shared_ptr<const routing::RouteTable> table_;
  routing::TrafficSplitter splits_;
  std::set<std::string> untold_backends_;       ///< known ones that a new feed has not told of yet
  bool feed_begun_ = false;                     ///< a feed's first whole is not complete yet
  bool quotas_known_ = false;                   ///< a feed has told which quotas are metered
  std::vector<fleet::BackendLoad> told_loads_;  ///< own ones, as last told
  bool loads_told_ = false;                     ///< to the member of the present feed
  std::set<std::string> untold_unreachable_;    ///< back ends that could not be reached lately
  bool keys_held_ = false;                      ///< as last logged
  fleet::PlacementUpdate untold_placements_;
  std::map<const edge::ResponseWriter*, std::shared_ptr<dispatch::ActiveRequest>> runs_;
  StartQueue start_queue_;
  ControlLink link_;
  edge::EdgeServer edge_;
  bool permits_to_ask_ = false;  ///< a question is about to be sent
  bool stopping_ = false;
  TimePoint stop_began_{0};
};

}  // namespace stoat::gateway
