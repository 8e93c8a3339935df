/// GatewayServer: which requests are admitted, refused, or wait until that can be decided.
#include <utility>

#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
/// Retry-After in seconds: a router that has just started, or has lost the control plane, needs about this
/// long until it can serve.
constexpr double kStartupRetryAfterS = 2;
/// How long a request waits for a configuration that may allow it.
constexpr Duration kMaxConfigurationWait = 1s;
/// How often requests that wait for a configuration are looked at.
constexpr Duration kQueueCheckInterval = 20ms;

/// Returns the route of a request; nullptr if there is none.
const fleet::Route* find_route(const routing::RouteTable& table, const edge::EdgeRequest& request) {
  const std::string* host = request.headers.find("Host");
  return host == nullptr ? nullptr : table.find(*host, request.target);
}

}  // namespace

void GatewayServer::refuse(const dispatch::RoutedRequest& plan, edge::ResponseWriter& response, int status,
                           const char* reason, double retry_after_s) {
  edge::ResponseHead head;
  head.status = status;
  if (!plan.fields.id.empty()) {
    head.headers.add(names_.request_id, plan.fields.id);
  }
  head.headers.add("Content-Type", "text/plain");
  if (retry_after_s > 0) {
    head.headers.add("Retry-After", dispatch::retry_after_text(retry_after_s));
  }
  events::RequestEventLog request_log(plan.fields.id);
  request_log.add(events::RequestRejected{status, reason, configuration_version(),
                                          control_link_.key_lease_left_ms(),
                                          plan.tenant == nullptr ? "" : plan.tenant->name});
  request_log.finish(request_log_sampler_, true, reason, loop_.now());
  metrics_.count("stoat_router_requests_total", {{"status", std::to_string(status)}});
  response.reply(head, std::string(reason) + "\n");
}

void GatewayServer::refuse_unknown(const dispatch::RoutedRequest& plan, edge::ResponseWriter& response,
                                   int status, const char* reason) {
  if (configuration_is_newest()) {
    refuse(plan, response, status, reason);
  } else {
    refuse(plan, response, kUnavailable, "the configuration can't be confirmed", kStartupRetryAfterS);
  }
}

bool GatewayServer::knows_route_and_key(const dispatch::RoutedRequest& plan) const {
  const fleet::Route* route = find_route(*route_table_, plan.request);
  return route != nullptr && (route->open || !route_table_->has_tenants() ||
                              route_table_->tenant_of_key(plan.fields.key) != nullptr);
}

bool GatewayServer::queue_until_configured(dispatch::RoutedRequest& plan,
                                           const std::shared_ptr<edge::ResponseWriter>& response) {
  const bool newer_announced = control_link_.time_behind() > Duration(0);
  if (closing() || route_table_ == nullptr || !newer_announced || knows_route_and_key(plan)) {
    return false;
  }
  const TimePoint expires = plan.arrived + startup_wait_limit(plan.fields.deadline_ms, kMaxConfigurationWait);
  WaitingRequest waiting{std::move(plan.request), response, plan.arrived, expires};
  if (loop_.now() >= expires || !configuration_queue_.add(waiting)) {
    plan.request = std::move(waiting.request);
    return false;
  }
  configuration_queue_version_ = configuration_version();
  if (!configuration_queue_check_pending_) {
    configuration_queue_check_pending_ = true;
    loop_.after(kQueueCheckInterval, [this] { process_configuration_queue(); });
  }
  return true;
}

void GatewayServer::process_configuration_queue() {
  const bool all_due = configuration_is_newest() || configuration_version() != configuration_queue_version_;
  std::vector<WaitingRequest> due =
      all_due ? configuration_queue_.take_all() : configuration_queue_.take_expired(loop_.now());
  for (WaitingRequest& waiting : due) {  // those that must wait for a still newer one are queued again
    serve(std::move(waiting.request), waiting.response, waiting.arrived);
  }
  configuration_queue_check_pending_ = configuration_queue_.size() > 0;
  if (configuration_queue_check_pending_) {
    loop_.after(kQueueCheckInterval, [this] { process_configuration_queue(); });
  }
}

bool GatewayServer::admit(dispatch::RoutedRequest& plan, edge::ResponseWriter& response) {
  if (route_table_ == nullptr) {
    refuse(plan, response, kUnavailable, "no configuration yet", kStartupRetryAfterS);
    return false;
  }
  plan.table = route_table_;
  plan.route = find_route(*route_table_, plan.request);
  if (plan.route == nullptr) {
    refuse_unknown(plan, response, kNotFound, "no route");
    return false;
  }
  if (plan.fields.malformed_token_counts) {
    refuse(plan, response, kBadRequest, malformed_token_counts_message_.c_str());
    return false;
  }
  if (!route_table_->has_tenants() || plan.route->open) {
    return true;
  }
  return admit_key(plan, response) && admit_quota(plan, response);
}

bool GatewayServer::admit_key(dispatch::RoutedRequest& plan, edge::ResponseWriter& response) {
  plan.tenant = route_table_->tenant_of_key(plan.fields.key);
  if (settings_.fail_closed && !control_link_.key_lease_valid()) {
    refuse(plan, response, kUnavailable, "keys can't be confirmed", kStartupRetryAfterS);
    return false;
  }
  if (plan.tenant == nullptr) {
    refuse_unknown(plan, response, kUnauthorized, "unknown key");
    return false;
  }
  return true;
}

bool GatewayServer::admit_quota(dispatch::RoutedRequest& plan, edge::ResponseWriter& response) {
  const fleet::TenantQuota& quota = plan.tenant->quota;
  if (!quota.limited()) {
    return true;
  }
  const dispatch::RequestFields& fields = plan.fields;
  const auto tokens = fields.has_token_counts
                          ? std::optional<uint64_t>(uint64_t{fields.prompt_tokens} + fields.output_tokens)
                          : std::nullopt;
  plan.quota_cost = quota.cost_of(tokens);
  const auto decision = context_.quotas.admit(plan.tenant->name, plan.quota_cost, loop_.now());
  if (!decision.admitted) {
    metrics_.count("stoat_router_quota_refusals_total", {{"tenant", plan.tenant->name}});
    refuse(plan, response, kTooManyRequests, "the tenant's quota is used up",
           to_seconds(decision.retry_after));
  }
  return decision.admitted;
}

bool GatewayServer::starting() const {
  return route_table_ == nullptr || (settings_.fail_closed && !control_link_.had_key_lease()) ||
         (route_table_->has_quotas() && !quotas_known_);
}

bool GatewayServer::queue_until_started(edge::EdgeRequest& request,
                                        std::shared_ptr<edge::ResponseWriter>& response) {
  const TimePoint now = loop_.now();
  const auto client_timeout_ms = dispatch::read_fields(request.headers, names_).deadline_ms;
  WaitingRequest waiting{std::move(request), std::move(response), now,
                         now + startup_wait_limit(client_timeout_ms, settings_.max_startup_wait)};
  if (!startup_queue_.add(waiting)) {
    request = std::move(waiting.request);
    response = std::move(waiting.response);
    return false;
  }
  if (startup_queue_.size() == 1) {
    loop_.after(kQueueCheckInterval, [this] { process_startup_queue(); });
  }
  return true;
}

void GatewayServer::process_startup_queue() {
  std::vector<WaitingRequest> due =
      starting() ? startup_queue_.take_expired(loop_.now()) : startup_queue_.take_all();
  for (WaitingRequest& waiting : due) {
    serve(std::move(waiting.request), waiting.response, waiting.arrived);
  }
  if (startup_queue_.size() > 0) {
    loop_.after(kQueueCheckInterval, [this] { process_startup_queue(); });
  }
}

}  // namespace stoat::gateway
