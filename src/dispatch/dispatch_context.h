/// What the requests of a router share, and what is fixed of a request before it is sent.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/admission/backend_limits.h"
#include "src/admission/brittle_backends.h"
#include "src/admission/crash_history.h"
#include "src/admission/load_admission.h"
#include "src/admission/quota_enforcer.h"
#include "src/admission/request_queue.h"
#include "src/admission/retry_scheduler.h"
#include "src/admission/slot_leases.h"
#include "src/common/metrics.h"
#include "src/common/random.h"
#include "src/delivery/retry_budget.h"
#include "src/dispatch/backend_pool.h"
#include "src/dispatch/request_fields.h"
#include "src/dispatch/store_set.h"
#include "src/edge/buffer_budget.h"
#include "src/edge/edge_request.h"
#include "src/events/request_event_log.h"
#include "src/fleet/fleet_messages.h"
#include "src/fleet/version_history.h"
#include "src/placement/cache_namespace.h"
#include "src/placement/nearest_placement.h"
#include "src/rollout/answer_counter.h"
#include "src/rollout/service_versions.h"
#include "src/routing/route_table.h"
#include "src/streams/stream_directory.h"
#include "src/topology/topology.h"

namespace stoat::dispatch {

/// State and callbacks shared by all requests of a router.
struct DispatchContext {
  EventLoop& loop;
  const HeaderNames& names;
  BackendPool& pool;
  Metrics& metrics;
  events::RequestLogSampler& request_log_sampler;
  Random random{0};
  topology::Topology topology = {};
  topology::Location place = {};  ///< location of this router
  uint32_t router_count = 1;
  delivery::RouterCountEstimate router_count_estimate{10s};  ///< of those that share the budgets' fixed part
  /// Engines with older weights are no longer used after this time since the newer version was announced.
  Duration old_weights_timeout = 6s;
  delivery::RetryBudgetOptions budget_options = {};
  std::map<std::string, delivery::RetryBudget> budgets = {};  ///< retry budgets by service
  fleet::TargetWeights announced_weights = {};                ///< announced weights versions by model
  StoreSet stores = {};
  /// Announces to the other routers which engine or store holds the KV cache of a prompt chain.
  std::function<void(fleet::ChainPlacement)> announce_placement = [](const fleet::ChainPlacement&) {};
  /// Reports to the control plane that a backend could not be reached.
  std::function<void(const std::string&)> report_unreachable = [](const std::string&) {};
  /// Confirms the broken exchanges at a backend as crashes, because it ended without deregistering. `sign`
  /// names how the end was detected: "refused", "gone" or "lost".
  std::function<void(Backend&, const char* sign)> note_crash = [](Backend&, const char*) {};
  placement::PlacementCosts costs = {};
  std::map<std::string, placement::ServiceSpeed> speeds = {};             ///< by service
  std::map<std::string, admission::RequestQueue> queues = {};             ///< by service
  std::map<std::string, admission::RetryScheduler> retry_schedules = {};  ///< by service
  admission::AdmissionThresholds admission_thresholds = {};
  Duration max_retry_after = 10s;  ///< upper limit of the Retry-After of requests refused for load
  std::map<std::string, placement::CallDuration> call_times =
      {};  ///< of requests without a prompt, by service
  admission::QuotaEnforcer quotas{{}, 0};
  /// End of the start-up phase, in which a service without known backends may still have some.
  TimePoint startup_ends_at{0};
  /// Set once the router has stopped listening: when it ends. Requests whose time limits are later are no
  /// longer sent to backends.
  TimePoint router_ends_at = TimePoint::max();
  admission::BackendLimits limits = {};
  /// Asks the control plane for the permits that requests need (see BackendLimits::note_unmet_request).
  std::function<void()> request_permits = [] {};
  admission::BrittleBackends brittle = {};
  admission::SlotLeases slots = {};
  /// Reports the slots that are used at brittle backends, and the requests that wait for one, to the leader.
  std::function<void()> report_slots = [] {};
  admission::CrashHistory crashes{};
  /// Logs that the crash history of a feature of requests has changed. `source`: the cause.
  std::function<void(uint64_t feature, const char* source)> log_standing_change = [](uint64_t, const char*) {
  };
  rollout::ServiceVersions versions = {};
  streams::StreamDirectory streams = {};
  /// For the bodies of long responses that are being received.
  edge::BufferBudget response_bodies{16U << 20U};
  rollout::AnswerCounter answers = {};  ///< responses of services with a rollout in progress

  /// True if a known backend of the service is brittle.
  bool serves_brittle(const std::string& service) const;
  delivery::RetryBudget& budget_of(const std::string& service) {
    return budgets.try_emplace(service, budget_options).first->second;
  }
};

/// Marks the broken exchanges at a backend that precede `sent_at` as survived. Called when the backend has
/// begun to respond to a request sent at that time.
void note_survival(DispatchContext& context, Backend& backend, TimePoint sent_at);

/// An accepted request with its resolved route, tenant and service: all that is fixed before it is sent.
struct RoutedRequest {
  edge::EdgeRequest request;
  RequestFields fields;
  std::shared_ptr<const routing::RouteTable> table;  ///< keeps route and tenant alive
  const fleet::Route* route = nullptr;
  const fleet::Tenant* tenant = nullptr;  ///< nullptr on open routes
  std::string service;
  TimePoint arrived{0};
  int64_t quota_cost = 0;  ///< amount charged to its tenant's quota, in the quota's unit

  /// Owner of the KV cache namespace that the request uses: an isolated tenant, or the one shared by all
  /// others.
  std::string cache_owner() const {
    const bool isolated = tenant != nullptr && tenant->isolated;
    return isolated ? placement::owner_of_tenant(tenant->name) : placement::shared_owner();
  }
};

}  // namespace stoat::dispatch
