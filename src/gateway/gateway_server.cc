#include "src/gateway/gateway_server.h"

#include <utility>

#include "src/events/fleet_events.h"

namespace stoat::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr Duration kStopCheck = 50ms;
/// A router that has just started, or has lost control, needs about so many seconds to serve again.
constexpr double kStartRetryAfterS = 2;
constexpr Duration kQueueMargin = 1500ms;
/// Own requests under way are told so often, when they have changed.
constexpr Duration kLoadsInterval = 100ms;
/// How often a starting router looks after the requests that wait.
constexpr Duration kStartCheck = 20ms;
constexpr Duration kTrafficInterval = 10s;  ///< of lines in the log
constexpr Duration kMetricsInterval = 1s;
/// What was sent to each limited back end is logged so often, for the first few of them.
constexpr Duration kLimitUseInterval = 4s;
constexpr size_t kMostLimitLines = 10;
/// The part of the memory that may be held for slow readers. The fleet's state takes less than a quarter of
/// it, and requests under way some more.
constexpr size_t kHeldPart = 4;

}  // namespace

GatewaySettings read_gateway_settings(SettingsReader& reader) {
  GatewaySettings settings;
  settings.name = reader.required_text("name");
  settings.zone = reader.text("zone", "");
  settings.region = reader.text("region", "");
  settings.topology = topology::read_topology(reader);
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:8080");
  settings.link.seeds = read_seed_endpoints(reader);
  settings.fail_closed = reader.flag("fail_closed", true);
  const int64_t revocation_ms = reader.integer("revocation_ms", 5000, 100, 3600000);
  // The rest is for the way from the edge to the engine.
  settings.link.key_lease = Duration(900 * revocation_ms);
  settings.link.router = settings.name;
  settings.link.zone = settings.zone;
  settings.link.topology = settings.topology;
  const int64_t grace_ms = 1000 * reader.integer("grace_s", 8, 1, 3600);
  settings.stop_grace = Duration(1000 * grace_ms) - 700ms;
  // What comes in until then is still served; the longest streams take most of the rest.
  settings.stop_listen = settings.stop_grace * 3 / 10;
  // Requests wait at the engine before they begin.
  settings.old_weights_timeout =
      Duration(1000 * reader.integer("weights_limit_ms", 8000, 0, 3600000)) - kQueueMargin;
  settings.start_wait = Duration(1000 * reader.integer("start_wait_ms", 2500, 0, 60000));
  settings.stories.lines_per_second = reader.number("log_lines_per_second", 200, 0, 1e6);
  settings.stories.sample_one_in = static_cast<uint32_t>(reader.integer("log_sample_one_in", 64, 1, 1000000));
  settings.budget.ratio = reader.number("repeat_ratio", 0.2, 0, 10);
  settings.budget.slack = reader.number("repeat_slack", 50, 0, 1e6);
  settings.budget.window = std::chrono::seconds(reader.integer("repeat_window_s", 10, 1, 3600));
  settings.quotas = admission::read_quota_tolerance(reader);
  settings.router_count_settle_time = settings.budget.window;
  settings.useful_engine_queue = Duration(1000 * reader.integer("useful_engine_queue_ms", 200, 0, 60000));
  const auto memory_bytes = static_cast<size_t>(reader.integer("memory_mb", 128, 16, 1000000)) << 20U;
  settings.hold.total_bytes = memory_bytes / kHeldPart;
  settings.hold.stall = Duration(1000 * reader.integer("caller_stall_ms", 5000, 100, 600000));
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
      malformed_tokens_(names.token_counts + " must be two whole numbers joined by a comma"),
      stories_(log_, settings.stories),
      pool_(loop, settings.topology),
      start_id_(seed_from_device()),
      context_{loop, names_, pool_, metrics_, stories_},
      link_(
          loop, settings.link, [this] { return make_status(); },
          [this](const fleet::FleetUpdate& update) { on_update(update); },
          [this](const fleet::FleetFeedUpdate& news) { on_news(news); }),
      edge_(loop, settings.listen, *this, settings.hold) {
  context_.random = Random(seed_from_device());
  context_.quotas = admission::QuotaEnforcer(settings.quotas, seed_from_device());
  context_.crashes = admission::CrashHistory(settings.quarantine);
  context_.log_standing_change = [this](uint64_t request, const char* source) {
    log_standing(request, source);
  };
  context_.startup_ends_at = loop.now() + settings.start_wait;
  context_.request_permits = [this] { request_permits(); };
  link_.set_permit_handler(
      [this](const fleet::PermitResponse& answer) { context_.limits.on_answer(answer, loop_.now()); });
  context_.topology = settings.topology;
  context_.place = settings.topology.location_of(settings.zone);
  context_.budget_options = settings.budget;
  context_.router_count_estimate = delivery::RouterCountEstimate(settings.router_count_settle_time);
  context_.old_weights_timeout = settings.old_weights_timeout;
  context_.admission_thresholds.max_useful_engine_queue = settings.useful_engine_queue;
  context_.max_retry_after = settings.longest_retry_after;
  pool_.set_probe_handler([this](const dispatch::BackendPtr& backend, dispatch::ProbeResult result) {
    on_probe_ended(backend, result);
  });
  context_.note_crash = [this](dispatch::Backend& backend, const char* sign) { note_crash(backend, sign); };
  context_.report_unreachable = [this](const std::string& backend) { untold_unreachable_.insert(backend); };
  context_.announce_placement = [this](fleet::ChainPlacement placement) {
    announce_placement(std::move(placement));
  };
  loop_.every(kLoadsInterval, [this] {
    check_silence();
    tell_loads();
  });
  loop_.every(kMetricsInterval, [this] {
    link_.traffic().publish(metrics_, "stoat_router_control_bytes_total");
    publish_flow();
    publish_limits();
    keep_crashes();
  });
  loop_.every(kLimitUseInterval, [this] { log_limit_use(); });
  loop_.every(kTrafficInterval, [this] {
    for (const wire::TrafficMeter::Line& line : link_.traffic().take_lines()) {
      log_.event(events::BytesSent{line.distance, line.bytes});
    }
  });
  log_.info("started", {{"name", settings.name}, {"listen", to_string(settings.listen)}});
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::publish_flow() {
  const edge::FlowCounts& counts = edge_.flow_counts();
  metrics_.set("stoat_router_held_bytes", static_cast<double>(edge_.held().used()));
  metrics_.set("stoat_router_answers_paused", static_cast<double>(counts.pauses));
  metrics_.set("stoat_router_callers_let_go", static_cast<double>(counts.let_go));
  metrics_.set("stoat_router_requests_without_room", static_cast<double>(counts.no_room));
}

void GatewayServer::publish_limits() {
  metrics_.set("stoat_router_limited_backends", static_cast<double>(context_.limits.size()));
}

void GatewayServer::log_limit_use() {
  std::vector<admission::LimitUsage> uses = context_.limits.take_usage();
  if (uses.size() > kMostLimitLines) {
    uses.resize(kMostLimitLines);
  }
  for (const admission::LimitUsage& use : uses) {
    log_.event(events::LimitedBackendUsed{use.backend, use.per_second, use.sent,
                                          to_milliseconds(kLimitUseInterval)});
  }
}

bool GatewayServer::ready() const {
  return !stopping_ && table_ != nullptr && (!settings_.fail_closed || link_.keys_confirmed());
}

void GatewayServer::note_key_lease() {
  const bool held = link_.keys_confirmed();
  if (held != keys_held_) {
    keys_held_ = held;
    log_.event(events::KeyLeaseChanged{held, link_.keys_left_ms()});
  }
}

fleet::RouterStatus GatewayServer::make_status() {
  note_key_lease();
  fleet::RouterStatus status;
  status.router.name = settings_.name;
  status.router.address = to_string(settings_.listen);
  status.router.zone = settings_.zone;
  status.router.region = settings_.region;
  status.router.ready = ready();
  status.configuration_version = table_ == nullptr ? 0 : table_->configuration().version;
  status.rollouts = applied_rollouts();
  return status;
}

void GatewayServer::on_update(const fleet::FleetUpdate& update) {
  for (const fleet::FleetConfiguration& configuration : update.configuration) {
    take_configuration(configuration);
  }
  pool_.retire(update.retired);
  for (const fleet::TargetWeightsVersion& named : update.weights) {
    fleet::VersionHistory& wanted = context_.wanted[named.model];
    if (named.version > wanted.newest()) {
      log_.event(events::TargetWeightsChanged{named.model, named.version, named.age_ms});
    }
    wanted.note(named.version, loop_.now() - Duration(1000 * named.age_ms));
  }
  if (update.router_count > 0) {
    context_.router_count = update.router_count;
    context_.router_count_estimate.note(update.router_count, loop_.now());
    context_.quotas.set_router_count(update.router_count);
  }
  context_.quotas.confirm(update.acknowledged_spending_sequence);
  take_rollouts(update);
}

void GatewayServer::take_configuration(const fleet::FleetConfiguration& configuration) {
  if (table_ != nullptr && configuration.version <= table_->configuration().version) {
    return;
  }
  table_ =
      std::make_shared<routing::RouteTable>(std::make_shared<const fleet::FleetConfiguration>(configuration));
  link_.set_configuration_version(configuration.version);
  context_.quotas.configure(configuration.tenants);
  edge::EdgeLimits limits;
  limits.header_bytes = configuration.limits.header_bytes;
  limits.body_bytes = configuration.limits.body_bytes;
  limits.header_timeout = Duration(1000 * configuration.limits.header_timeout_ms);
  limits.idle_timeout = Duration(1000 * configuration.limits.idle_timeout_ms);
  edge_.set_limits(limits);
  log_.event(events::ConfigurationInForce{configuration.version, configuration.routes.size(),
                                          configuration.tenants.size()});
}

void GatewayServer::refuse(const dispatch::RoutedRequest& plan, edge::ResponseWriter& answer, int status,
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
  events::RequestEventLog story(plan.fields.id);
  story.add(events::RequestRejected{status, reason, table_ == nullptr ? 0 : table_->configuration().version,
                                    link_.keys_left_ms(), plan.tenant == nullptr ? "" : plan.tenant->name});
  story.finish(stories_, true, reason, loop_.now());
  metrics_.count("stoat_router_requests_total", {{"status", std::to_string(status)}});
  answer.reply(head, std::string(reason) + "\n");
}

bool GatewayServer::admit(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer) {
  if (table_ == nullptr) {
    refuse(plan, answer, kUnavailable, "no configuration yet", kStartRetryAfterS);
    return false;
  }
  plan.table = table_;
  const std::string* host = plan.request.headers.find("Host");
  plan.route = host == nullptr ? nullptr : table_->find(*host, plan.request.target);
  if (plan.route == nullptr) {
    refuse(plan, answer, kNotFound, "no route");
    return false;
  }
  if (plan.fields.malformed_token_counts) {
    refuse(plan, answer, kBadRequest, malformed_tokens_.c_str());
    return false;
  }
  if (!table_->has_tenants() || plan.route->open) {
    return true;
  }
  return admit_key(plan, answer) && admit_quota(plan, answer);
}

bool GatewayServer::admit_key(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer) {
  plan.tenant = table_->tenant_of_key(plan.fields.key);
  if (settings_.fail_closed && !link_.keys_confirmed()) {
    refuse(plan, answer, kUnavailable, "keys can't be confirmed", kStartRetryAfterS);
    return false;
  }
  if (plan.tenant == nullptr) {
    refuse(plan, answer, kUnauthorized, "unknown key");
    return false;
  }
  return true;
}

bool GatewayServer::admit_quota(dispatch::RoutedRequest& plan, edge::ResponseWriter& answer) {
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
    refuse(plan, answer, kTooManyRequests, "the tenant's quota is used up", to_seconds(decision.retry_after));
  }
  return decision.admitted;
}

bool GatewayServer::starting() const {
  return table_ == nullptr || (settings_.fail_closed && !link_.ever_confirmed()) ||
         (table_->has_quotas() && !quotas_known_);
}

bool GatewayServer::wait_for_start(edge::EdgeRequest& request,
                                   std::shared_ptr<edge::ResponseWriter>& answer) {
  const TimePoint now = loop_.now();
  const auto limit_ms = dispatch::read_fields(request.headers, names_).deadline_ms;
  WaitingRequest waiting{std::move(request), std::move(answer), now,
                         now + start_wait(limit_ms, settings_.start_wait)};
  if (!start_queue_.add(waiting)) {
    request = std::move(waiting.request);
    answer = std::move(waiting.answer);
    return false;
  }
  if (start_queue_.size() == 1) {
    loop_.after(kStartCheck, [this] { check_start_queue(); });
  }
  return true;
}

void GatewayServer::check_start_queue() {
  std::vector<WaitingRequest> due =
      starting() ? start_queue_.take_expired(loop_.now()) : start_queue_.take_all();
  for (WaitingRequest& waiting : due) {
    serve(std::move(waiting.request), waiting.answer, waiting.arrived);
  }
  if (start_queue_.size() > 0) {
    loop_.after(kStartCheck, [this] { check_start_queue(); });
  }
}

void GatewayServer::on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> answer) {
  if (starting() && wait_for_start(request, answer)) {
    return;
  }
  const TimePoint now = loop_.now();
  serve(std::move(request), answer, now);
}

void GatewayServer::serve(edge::EdgeRequest request, const std::shared_ptr<edge::ResponseWriter>& answer,
                          TimePoint arrived) {
  dispatch::RoutedRequest plan;
  plan.arrived = arrived;
  plan.fields = dispatch::read_fields(request.headers, names_);
  plan.request = std::move(request);
  if (!admit(plan, *answer)) {
    return;
  }
  plan.service = splits_.choose(*plan.route);
  const auto run = std::make_shared<dispatch::ActiveRequest>(
      context_, std::move(plan), answer,
      [this](dispatch::ActiveRequest* ended) { runs_.erase(ended->answer()); });
  runs_[answer.get()] = run;
  run->start();
}

void GatewayServer::check_silence() {
  std::vector<std::shared_ptr<dispatch::ActiveRequest>> running;  // runs that end leave the map
  running.reserve(runs_.size());
  for (const auto& [answer, run] : runs_) {
    running.push_back(run);
  }
  for (const auto& run : running) {
    run->check_silence();
  }
}

void GatewayServer::on_gone(const edge::ResponseWriter* answer, edge::CallerEnd end) {
  start_queue_.remove(answer);
  const auto found = runs_.find(answer);
  if (found != runs_.end()) {
    const auto run = found->second;
    run->cancel(end == edge::CallerEnd::kStalled ? "the caller did not read" : "the caller left");
  }
}

void GatewayServer::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_began_ = loop_.now();
  log_.info("stopping", {{"requests", runs_.size()}});
  edge_.start_draining();
  link_.tell_now();
  loop_.every(kStopCheck, [this] { check_stopped(); });
}

void GatewayServer::check_stopped() {
  const Duration since = loop_.now() - stop_began_;
  if (since >= settings_.stop_listen) {
    edge_.stop_listening();
    if (edge_.busy_count() == 0) {
      log_.info("stopped");
      loop_.stop();
    }
  }
  if (since >= settings_.stop_grace) {
    log_.warning("stopped with open requests", {{"requests", runs_.size()}});
    loop_.stop();
  }
}

}  // namespace stoat::gateway
