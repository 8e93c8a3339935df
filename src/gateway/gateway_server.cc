#include "src/gateway/gateway_server.h"

#include <utility>

#include "src/common/build_info.h"
#include "src/events/fleet_events.h"

namespace stoat::gateway {

namespace {

constexpr Duration kEngineQueueMargin = 1500ms;
/// How often this router's load on the backends is reported, if it has changed.
constexpr Duration kLoadReportInterval = 100ms;
constexpr Duration kTrafficLogInterval = 10s;  ///< between log lines with the bytes sent
constexpr Duration kMetricsInterval = 1s;
/// How often the requests sent to limited backends are logged, for the first kMaxLimitUsageLines backends.
constexpr Duration kLimitUsageLogInterval = 4s;
constexpr size_t kMaxLimitUsageLines = 10;
/// Divisor for the share of the memory that may buffer data for slow clients. The fleet's state takes less
/// than a quarter of the memory, and requests in flight take some more.
constexpr size_t kBufferMemoryDivisor = 4;
/// Divisor for the share of the memory that may hold long responses while they are received.
constexpr size_t kResponseMemoryDivisor = 8;
/// Divisor for the share of the memory that relayed connections may take, and what one takes at most.
constexpr size_t kRelayMemoryDivisor = 8;
constexpr size_t kRelayedConnectionBytes = 128U << 10U;

}  // namespace

GatewaySettings read_gateway_settings(SettingsReader& reader) {
  GatewaySettings settings;
  settings.name = reader.required_text("name");
  settings.zone = reader.text("zone", "");
  settings.region = reader.text("region", "");
  settings.topology = topology::read_topology(reader);
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:8080");
  if (const std::string relay = reader.text("relay", ""); !relay.empty()) {
    settings.relay_listen = read_endpoint(reader, "relay", "");
  }
  settings.link.seeds = read_seed_endpoints(reader);
  settings.fail_closed = reader.flag("fail_closed", true);
  const int64_t revocation_ms = reader.integer("revocation_ms", 5000, 100, 3600000);
  // The rest of the revocation time is left for a request to get from the edge to the engine.
  settings.link.key_lease = Duration(900 * revocation_ms);
  // The rest is left for the way from the confirmation to the request.
  settings.configuration_max_age = Duration(900 * reader.integer("configuration_ms", 3000, 100, 3600000));
  settings.link.router = settings.name;
  settings.link.zone = settings.zone;
  settings.link.topology = settings.topology;
  const int64_t grace_ms = 1000 * reader.integer("grace_s", 8, 1, 3600);
  settings.shutdown_timeout = Duration(1000 * grace_ms) - 700ms;
  // Requests that arrive until then are still served; the longest streams take most of the remaining time.
  settings.stop_listening_after = settings.shutdown_timeout * 3 / 10;
  // The margin covers the time that requests wait at the engine before they run.
  settings.old_weights_timeout =
      Duration(1000 * reader.integer("weights_limit_ms", 8000, 0, 3600000)) - kEngineQueueMargin;
  settings.max_startup_wait = Duration(1000 * reader.integer("start_wait_ms", 2500, 0, 60000));
  settings.request_log_options.lines_per_second = reader.number("log_lines_per_second", 200, 0, 1e6);
  settings.request_log_options.sample_one_in =
      static_cast<uint32_t>(reader.integer("log_sample_one_in", 64, 1, 1000000));
  settings.budget.ratio = reader.number("repeat_ratio", 0.2, 0, 10);
  settings.budget.slack = reader.number("repeat_slack", 50, 0, 1e6);
  settings.budget.window = std::chrono::seconds(reader.integer("repeat_window_s", 10, 1, 3600));
  settings.quotas = admission::read_quota_tolerance(reader);
  settings.router_count_settle_time = settings.budget.window;
  settings.useful_engine_queue = Duration(1000 * reader.integer("useful_engine_queue_ms", 200, 0, 60000));
  const auto memory_bytes = static_cast<size_t>(reader.integer("memory_mb", 128, 16, 1000000)) << 20U;
  settings.buffer_limits.total_bytes = memory_bytes / kBufferMemoryDivisor;
  settings.response_body_bytes = memory_bytes / kResponseMemoryDivisor;
  settings.relay_limits.connections = memory_bytes / kRelayMemoryDivisor / kRelayedConnectionBytes;
  settings.buffer_limits.stall_timeout =
      Duration(1000 * reader.integer("caller_stall_ms", 5000, 100, 600000));
  settings.quarantine.crashes = static_cast<uint32_t>(reader.integer("quarantine_crashes", 3, 2, 8));
  settings.quarantine.first = std::chrono::seconds(reader.integer("quarantine_s", 120, 1, 600));
  settings.longest_retry_after = Duration(1000 * reader.integer("longest_retry_after_ms", 10000, 1, 600000));
  return settings;
}

GatewayServer::GatewayServer(EventLoop& loop, const GatewaySettings& settings,
                             const dispatch::HeaderNames& names)
    : loop_(loop),
      settings_(settings),
      names_(names),
      malformed_token_counts_message_(names.token_counts + " must be two whole numbers joined by a comma"),
      request_log_sampler_(log_, settings.request_log_options),
      pool_(loop, settings.topology),
      start_id_(seed_from_device()),
      context_{loop, names_, pool_, metrics_, request_log_sampler_},
      control_link_(
          loop, settings.link, [this] { return make_status(); },
          [this](const fleet::FleetUpdate& update) { on_update(update); },
          [this](const fleet::FleetFeedUpdate& feed_update) { on_feed_update(feed_update); }),
      edge_(loop, settings.listen, *this, settings.buffer_limits) {
  context_.random = Random(seed_from_device());
  context_.quotas = admission::QuotaEnforcer(settings.quotas, seed_from_device());
  context_.crashes = admission::CrashHistory(settings.quarantine);
  context_.log_standing_change = [this](uint64_t request, const char* source) {
    log_standing(request, source);
  };
  context_.startup_ends_at = loop.now() + settings.max_startup_wait;
  context_.request_permits = [this] { request_permits(); };
  control_link_.set_unreadable_handler(
      [this](const wire::Channel& channel, const wire::UnreadableMessage& message) {
        unreadable_messages_.report(channel, message, loop_.now());
      });
  control_link_.set_configuration_handler(
      [this](const std::shared_ptr<const fleet::FleetConfiguration>& configuration) {
        apply_configuration(configuration);
      });
  control_link_.set_permit_handler([this](const fleet::PermitResponse& response) {
    context_.limits.on_permit_answer(response, loop_.now());
  });
  control_link_.set_incarnation_handler(
      [this](const std::string& name) { return pool_.newest_incarnation(name); });
  context_.response_bodies = edge::BufferBudget(settings.response_body_bytes);
  context_.topology = settings.topology;
  context_.place = settings.topology.location_of(settings.zone);
  context_.budget_options = settings.budget;
  context_.router_count_estimate = delivery::RouterCountEstimate(settings.router_count_settle_time);
  context_.old_weights_timeout = settings.old_weights_timeout;
  context_.admission_thresholds.max_useful_engine_queue = settings.useful_engine_queue;
  context_.max_retry_after = settings.longest_retry_after;
  configure_links();
  configure_slots();
  configure_streams();
  pool_.set_probe_handler([this](const dispatch::BackendPtr& backend, dispatch::ProbeResult result) {
    on_probe_ended(backend, result);
  });
  context_.note_crash = [this](dispatch::Backend& backend, const char* detected_by) {
    confirm_crash(backend, detected_by);
  };
  context_.announce_placement = [this](fleet::ChainPlacement placement) {
    announce_placement(std::move(placement));
  };
  loop_.every(kLoadReportInterval, [this] {
    check_silence();
    report_loads();
    pool_.verifier().probe_relayed();
    track_reach();
  });
  loop_.every(kMetricsInterval, [this] {
    control_link_.traffic().publish(metrics_, "stoat_router_control_bytes_total");
    publish_configuration_metrics();
    publish_slow_reader_metrics();
    publish_limit_metrics();
    publish_reach_metrics();
    expire_crash_records();
    maintain_streams();
  });
  loop_.every(kLimitUsageLogInterval, [this] { log_limit_usage(); });
  loop_.every(kTrafficLogInterval, [this] {
    for (const wire::TrafficMeter::Line& line : control_link_.traffic().take_lines()) {
      log_.event(events::BytesSent{line.distance, line.bytes});
    }
  });
  metrics_.set("stoat_build_info", 1, build_labels());
  log_.info("started", {{"name", settings.name},
                        {"listen", to_string(settings.listen)},
                        {"version", kBuildVersion},
                        {"commit", build_commit()}});
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::publish_slow_reader_metrics() {
  const edge::SlowReaderCounts& counts = edge_.slow_reader_counts();
  metrics_.set("stoat_router_held_bytes", static_cast<double>(edge_.buffer_budget().used()));
  metrics_.set("stoat_router_answers_paused", static_cast<double>(counts.pauses));
  metrics_.set("stoat_router_callers_let_go", static_cast<double>(counts.stalled_clients));
  metrics_.set("stoat_router_requests_without_room", static_cast<double>(counts.buffer_refusals));
}

void GatewayServer::publish_configuration_metrics() {
  metrics_.set("stoat_router_configuration_behind_seconds", to_seconds(control_link_.time_behind()));
  metrics_.set("stoat_router_configuration_mismatches",
               static_cast<double>(control_link_.configuration_mismatches()));
}

void GatewayServer::publish_limit_metrics() {
  metrics_.set("stoat_router_limited_backends", static_cast<double>(context_.limits.size()));
}

void GatewayServer::log_limit_usage() {
  std::vector<admission::LimitUsage> usages = context_.limits.take_usage();
  if (usages.size() > kMaxLimitUsageLines) {
    usages.resize(kMaxLimitUsageLines);
  }
  for (const admission::LimitUsage& use : usages) {
    log_.event(events::LimitedBackendUsed{use.backend, use.per_second, use.sent,
                                          to_milliseconds(kLimitUsageLogInterval)});
  }
}

bool GatewayServer::ready() const {
  return !stopping_ && route_table_ != nullptr && (!settings_.fail_closed || control_link_.key_lease_valid());
}

void GatewayServer::log_key_lease_change() {
  const bool holds_key_lease = control_link_.key_lease_valid();
  if (holds_key_lease != key_lease_logged_as_held_) {
    key_lease_logged_as_held_ = holds_key_lease;
    log_.event(events::KeyLeaseChanged{holds_key_lease, control_link_.key_lease_left_ms()});
  }
}

fleet::RouterStatus GatewayServer::make_status() {
  log_key_lease_change();
  fleet::RouterStatus status;
  status.router.name = settings_.name;
  status.router.address = to_string(settings_.listen);
  status.router.zone = settings_.zone;
  status.router.region = settings_.region;
  status.router.ready = ready();
  status.router.relay_address = relay_server_ == nullptr ? "" : to_string(settings_.relay_listen);
  status.router.cut_off = pool_.links().cut_off();
  status.configuration_version = configuration_version();
  status.rollouts = applied_rollouts();
  status.protocol_version = fleet::kProtocolVersion;
  status.has_fleet_state = has_fleet_state_;
  return status;
}

uint64_t GatewayServer::configuration_version() const {
  return route_table_ == nullptr ? 0 : route_table_->configuration().version;
}

void GatewayServer::on_update(const fleet::FleetUpdate& update) {
  for (const fleet::FleetConfiguration& configuration : update.configuration) {
    apply_configuration(std::make_shared<const fleet::FleetConfiguration>(configuration));
  }
  pool_.retire(update.retired);
  for (const fleet::TargetWeightsVersion& named : update.weights) {
    fleet::VersionHistory& target_versions = context_.announced_weights[named.model];
    if (named.version > target_versions.newest()) {
      log_.event(events::TargetWeightsChanged{named.model, named.version, named.age_ms});
    }
    target_versions.record_version(named.version, loop_.now() - Duration(1000 * named.age_ms));
  }
  if (update.router_count > 0) {
    context_.router_count = update.router_count;
    context_.router_count_estimate.note(update.router_count, loop_.now());
    context_.quotas.set_router_count(update.router_count);
  }
  if (!update.members.empty()) {
    context_.streams.set_member_count(update.members.size());
  }
  for (const fleet::RelayList& relays : update.relays) {
    pool_.relays().set(relays.addresses);
  }
  context_.quotas.confirm(update.acknowledged_spending_sequence);
  store_rollouts(update);
}

void GatewayServer::apply_configuration(
    const std::shared_ptr<const fleet::FleetConfiguration>& configuration) {
  if (configuration->version <= configuration_version()) {
    return;
  }
  const TimePoint started_at = loop_.now();
  route_table_ = std::make_shared<routing::RouteTable>(configuration);
  control_link_.set_configuration(configuration);
  context_.quotas.configure(configuration->tenants);
  context_.streams.set_software_retention(fleet::software_retention(*configuration));
  edge::EdgeLimits limits;
  limits.header_bytes = configuration->limits.header_bytes;
  limits.body_bytes = configuration->limits.body_bytes;
  limits.header_timeout = Duration(1000 * configuration->limits.header_timeout_ms);
  limits.idle_timeout = Duration(1000 * configuration->limits.idle_timeout_ms);
  edge_.set_limits(limits);
  log_.event(events::ConfigurationInForce{configuration->version, configuration->routes.size(),
                                          configuration->tenants.size(),
                                          to_milliseconds(loop_.now() - started_at)});
}

void GatewayServer::on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> response) {
  if (!closing() && starting() && queue_until_started(request, response)) {
    return;
  }
  const TimePoint now = loop_.now();
  serve(std::move(request), response, now);
}

void GatewayServer::serve(edge::EdgeRequest request, const std::shared_ptr<edge::ResponseWriter>& response,
                          TimePoint arrived) {
  dispatch::RoutedRequest plan;
  plan.arrived = arrived;
  plan.fields = dispatch::read_fields(request.headers, names_);
  plan.request = std::move(request);
  if (queue_until_configured(plan, response) || !admit(plan, *response)) {
    return;
  }
  plan.service = traffic_splitter_.choose(*plan.route);
  const auto active_request = std::make_shared<dispatch::ActiveRequest>(
      context_, std::move(plan), response,
      [this](dispatch::ActiveRequest* ended) { active_requests_.erase(ended->answer()); });
  active_requests_[response.get()] = active_request;
  active_request->start();
}

void GatewayServer::check_silence() {
  for_each_request([](dispatch::ActiveRequest& request) { request.check_silence(); });
}

void GatewayServer::for_each_request(const std::function<void(dispatch::ActiveRequest&)>& action) {
  // Copied, because a request that ends is removed from the map.
  std::vector<std::shared_ptr<dispatch::ActiveRequest>> running;
  running.reserve(active_requests_.size());
  for (const auto& [response, active_request] : active_requests_) {
    running.push_back(active_request);
  }
  for (const auto& active_request : running) {
    action(*active_request);
  }
}

void GatewayServer::on_disconnect(const edge::ResponseWriter* response,
                                  edge::DisconnectReason disconnect_reason) {
  startup_queue_.remove(response);
  configuration_queue_.remove(response);
  const auto found = active_requests_.find(response);
  if (found != active_requests_.end()) {
    const auto active_request = found->second;
    active_request->cancel(disconnect_reason == edge::DisconnectReason::kStalled ? "the caller did not read"
                                                                                 : "the caller left");
  }
}

}  // namespace stoat::gateway
