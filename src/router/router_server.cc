#include "src/router/router_server.h"

#include "src/common/hash.h"
#include "src/common/random.h"

namespace stoat::router {

namespace {

constexpr Duration kTick = 2ms;
constexpr Duration kPublishInterval = 1s;
constexpr Duration kFeedTimeout = 2s;
/// Time for the last messages to leave before the process ends.
constexpr Duration kFlushGrace = 300ms;

}  // namespace

RouterSettings read_router_settings(SettingsReader& reader) {
  RouterSettings settings;
  RouterOptions& core = settings.core;
  core.name = reader.required_text("name");
  core.zone = reader.required_text("zone");
  core.policy = reader.text("policy", core.policy);
  if (!placement::is_policy(core.policy)) {
    reader.add_finding("policy", "'" + core.policy + "' is not one of " + placement::policy_names());
    core.policy = "lowest_ttft";
  }
  core.block_tokens = static_cast<uint32_t>(reader.integer("block_tokens", core.block_tokens, 1, 65536));
  core.max_queue = static_cast<size_t>(reader.integer("max_queue", 2000, 1, 1000000));
  core.max_engine_outstanding =
      static_cast<uint32_t>(reader.integer("max_engine_outstanding", core.max_engine_outstanding, 1, 100000));
  core.feed_interval = Duration(1000 * reader.integer("feed_interval_ms", 100, 5, 60000));
  core.digest_interval = Duration(1000 * reader.integer("digest_interval_ms", 250, 5, 60000));
  core.digest_fanout = static_cast<uint32_t>(reader.integer("digest_fanout", core.digest_fanout, 1, 10000));
  core.hot_requests_per_second =
      reader.number("hot_requests_per_second", core.hot_requests_per_second, 1, 1e6);
  core.max_dispatches = static_cast<uint32_t>(reader.integer("max_dispatches", core.max_dispatches, 1, 20));
  core.hedge_factor = reader.number("hedge_factor", core.hedge_factor, 0, 1000);
  core.hedge_floor = Duration(1000 * reader.integer("hedge_floor_ms", 400, 1, 600000));
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:7100");
  settings.advertise = read_endpoint(reader, "advertise", to_string(settings.listen));
  settings.http = read_endpoint(reader, "http", "127.0.0.1:7101");
  settings.control.members = read_endpoints(reader, "control");
  settings.control.data_folder = reader.required_text("data_folder");
  settings.control.poll_interval = Duration(1000 * reader.integer("control_poll_ms", 1000, 10, 60000));
  settings.backend_silence = Duration(1000 * reader.integer("backend_silence_ms", 5000, 100, 600000));
  settings.drain_limit = Duration(1000000 * reader.integer("drain_limit_s", 120, 1, 3600));
  return settings;
}

RouterServer::RouterServer(EventLoop& loop, const RouterSettings& settings)
    : loop_(loop),
      settings_(settings),
      core_(settings.core, seed_from_device(), loop.now(), &metrics_),
      control_(loop, settings.control,
               wire::Node{settings.core.name, "router", to_string(settings.advertise), settings.core.zone,
                          seed_from_device(), 0, false},
               seed_from_device()),
      client_(loop),
      http_(loop, settings.http) {
  control_.on_configuration = [this](const control::Configuration& configuration) {
    log_.info("configuration in force", {{"version", configuration.version}});
    core_.on_configuration(configuration, loop_.now());
    perform_actions();
  };
  control_.on_routers = [this](const std::vector<wire::Node>& routers) {
    router_endpoints_.clear();
    for (const wire::Node& node : routers) {
      router_endpoints_[node.name] = node.endpoint;
    }
    core_.on_routers(routers, loop_.now());
    perform_actions();
  };
  control_.on_leaving = [this](const std::vector<std::string>& backends) { core_.on_leaving(backends); };
  http::add_common_routes(
      http_, {&metrics_, [this] { return core_.configuration().version > 0 && !core_.draining(); },
              [this] { return status_json(); }});
  channels_ = std::make_unique<wire::ChannelServer>(
      loop, settings.listen,
      [this](const std::shared_ptr<wire::Channel>& channel, wire::Message message) {
        on_message(channel, std::move(message));
      },
      [this](const std::shared_ptr<wire::Channel>& channel) { on_closed(channel); });
  control_.start();
  loop.every(kTick, [this] { tick(); });
  loop.every(kPublishInterval, [this] { publish_metrics(); });
  loop.on_terminate([this] { start_drain(); });
  log_.info("serving", {{"name", settings.core.name},
                        {"listen", to_string(settings.listen)},
                        {"http", to_string(settings.http)},
                        {"policy", settings.core.policy}});
}

void RouterServer::on_message(const std::shared_ptr<wire::Channel>& channel, wire::Message message) {
  const TimePoint now = loop_.now();
  if (const auto* ping = std::get_if<wire::Ping>(&message.value)) {
    channel->send(wire::Pong{ping->number});
    return;
  }
  if (const auto* poll = std::get_if<wire::NodePoll>(&message.value)) {
    channel->send(control_.answer_peer(*poll));
    return;
  }
  if (const auto* digest = std::get_if<wire::LoadDigest>(&message.value)) {
    control_.on_version_seen(digest->configuration_version);
  }
  if (auto* submit = std::get_if<wire::SubmitRequest>(&message.value)) {
    control_.on_version_seen(submit->configuration_version);
    if (sidecars_.emplace(channel->id(), channel).second) {
      core_.on_sidecar_connected(channel->id());
    }
    log_.debug("request", {{"request_id", to_hex(submit->request_id)},
                           {"attempt", submit->attempt},
                           {"tenant", submit->tenant},
                           {"serves", submit->serves}});
    core_.on_submit(channel->id(), std::move(*submit), now);
  } else if (const auto* cancel = std::get_if<wire::CancelRequest>(&message.value)) {
    core_.on_cancel(channel->id(), cancel->request_id, now);
  } else {
    core_.on_router_message(message, now);
  }
  perform_actions();
}

void RouterServer::on_closed(const std::shared_ptr<wire::Channel>& channel) {
  if (sidecars_.erase(channel->id()) > 0) {
    core_.on_sidecar_gone(channel->id(), loop_.now());
    perform_actions();
  }
}

void RouterServer::perform_actions() {
  for (auto actions = core_.take_actions(); !actions.empty(); actions = core_.take_actions()) {
    for (RouterAction& action : actions) {
      std::visit([this](auto& typed) { perform(typed); }, action);
    }
  }
}

void RouterServer::perform(SendToSidecar& action) {
  if (const auto* finished = std::get_if<wire::RequestFinished>(&action.message.value)) {
    log_.debug("request ended", {{"request_id", to_hex(finished->request_id)},
                                 {"attempt", finished->attempt},
                                 {"outcome", static_cast<int>(finished->outcome)},
                                 {"reason", static_cast<int>(finished->reason)}});
  }
  const auto sidecar = sidecars_.find(action.sidecar);
  if (sidecar != sidecars_.end()) {
    sidecar->second->send(action.message);
  }
}

void RouterServer::perform(SendToRouter& action) {
  const auto endpoint_text = router_endpoints_.find(action.router);
  Endpoint endpoint;
  if (endpoint_text == router_endpoints_.end() || !parse_endpoint(endpoint_text->second, endpoint)) {
    return;
  }
  auto& channel = router_channels_[action.router];
  if (channel == nullptr || !channel->open()) {
    channel = wire::Channel::connect(
        loop_, endpoint,
        [this](const std::shared_ptr<wire::Channel>& from, wire::Message message) {
          on_message(from, std::move(message));
        },
        [](const std::shared_ptr<wire::Channel>&) {});
  }
  channel->send(action.message);
}

void RouterServer::perform(CallControl& action) {
  control_.call(action.command,
                [this, call_id = action.call_id](const std::optional<control::CommandResult>& result) {
                  core_.on_control_answer(call_id, result, loop_.now());
                  perform_actions();
                });
}

void RouterServer::perform(StartCall& action) {
  OpenCall& call = calls_[action.call_id];
  call.kind = action.kind;
  call.request_id = action.request_id;
  call.engine_attempt = action.engine_attempt;
  const CallId call_id = action.call_id;
  log_.debug("dispatch", {{"request_id", to_hex(action.request_id)},
                          {"attempt", action.engine_attempt},
                          {"backend", action.backend}});
  if (!parse_endpoint(action.endpoint, call.endpoint)) {
    http::ClientResult failed;
    failed.not_sent = true;
    loop_.after(0us, [this, call_id, failed] { on_done(call_id, failed); });
    return;
  }
  const http::ClientRequest request = make_call_request(action, call.endpoint, settings_.backend_silence);
  http::PieceHandler on_piece;
  if (action.kind != CallKind::kPlain) {
    on_piece = [this, call_id](const std::string& bytes) { on_bytes(call_id, bytes); };
  }
  const uint64_t http_call = client_.start(
      request, on_piece, [this, call_id](const http::ClientResult& result) { on_done(call_id, result); });
  if (const auto started = calls_.find(call_id); started != calls_.end()) {
    started->second.http_call = http_call;
  }
}

void RouterServer::on_bytes(CallId call_id, const std::string& bytes) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  std::vector<StreamEvent> events;
  const bool good =
      found->second.parser.feed(bytes, [&](const StreamEvent& event) { events.push_back(event); });
  found->second.malformed |= !good;
  for (const StreamEvent& event : events) {
    const auto call = calls_.find(call_id);
    if (call == calls_.end()) {
      break;  // the core gave the call up
    }
    call->second.last_event = event;
    if (!event.has_usage) {
      core_.on_piece(call_id, event.token_index, event.text, loop_.now());
    }
  }
  perform_actions();
}

void RouterServer::on_done(CallId call_id, const http::ClientResult& result) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  const OpenCall call = std::move(found->second);
  calls_.erase(found);
  CallResult ended = classify_answer(call.kind, result);
  const bool whole_stream = call.kind != CallKind::kPlain && result.status == 200 && call.parser.done() &&
                            call.last_event.has_usage && !call.malformed;
  if (whole_stream) {
    ended.end = CallEnd::kComplete;
    ended.body.clear();
    ended.piece_count = call.last_event.token_index;
    ended.prompt_tokens = call.last_event.prompt_tokens;
    ended.cached_tokens = call.last_event.cached_tokens;
  }
  core_.on_call_end(call_id, ended, loop_.now());
  perform_actions();
}

void RouterServer::perform(StopCall& action) {
  const auto found = calls_.find(action.call_id);
  if (found == calls_.end()) {
    return;
  }
  const OpenCall call = std::move(found->second);
  calls_.erase(found);
  client_.cancel(call.http_call);
  if (action.stop_engine && call.kind != CallKind::kPlain) {
    client_.start(make_cancel_request(call.endpoint, call.request_id, call.engine_attempt), nullptr,
                  [](const http::ClientResult&) {});
  }
}

void RouterServer::fetch_from_engine(const std::string& backend, const std::string& endpoint,
                                     const std::string& path,
                                     std::function<bool(const std::string& body)> take) {
  http::ClientRequest request;
  request.path = path;
  request.timeout = kFeedTimeout;
  if (!parse_endpoint(endpoint, request.endpoint)) {
    core_.on_feed_failure(backend, loop_.now());
    return;
  }
  client_.start(request, nullptr, [this, backend, take = std::move(take)](const http::ClientResult& result) {
    if (result.status != 200 || !take(result.body)) {
      core_.on_feed_failure(backend, loop_.now());
    }
    perform_actions();
  });
}

void RouterServer::perform(PollFeed& action) {
  const std::string path = "/feed?after=" + std::to_string(action.after_sequence);
  fetch_from_engine(action.backend, action.endpoint, path,
                    [this, backend = action.backend](const std::string& body) {
                      const auto answer = parse_feed(backend, body);
                      if (answer) {
                        core_.on_feed_page(backend, answer->page, answer->load, loop_.now());
                      }
                      return answer.has_value();
                    });
}

void RouterServer::perform(FetchSnapshot& action) {
  fetch_from_engine(action.backend, action.endpoint, "/blocks",
                    [this, backend = action.backend](const std::string& body) {
                      const auto snapshot = parse_snapshot(body);
                      if (snapshot) {
                        core_.on_feed_snapshot(backend, *snapshot, loop_.now());
                      }
                      return snapshot.has_value();
                    });
}

void RouterServer::tick() {
  core_.tick(loop_.now());
  perform_actions();
  if (core_.draining()) {
    check_drained();
  }
}

void RouterServer::start_drain() {
  if (core_.draining()) {
    return;
  }
  log_.info("draining", {{"open_requests", core_.open_requests()}});
  drain_started_ = loop_.now();
  core_.start_draining();
  control_.set_draining();
  perform_actions();
}

void RouterServer::check_drained() {
  const TimePoint now = loop_.now();
  const bool idle = core_.open_requests() == 0 && control_.open_calls() == 0;
  if (!idle) {
    idle_since_ = TimePoint(0);
  } else if (idle_since_ == TimePoint(0)) {
    idle_since_ = now;
  }
  const bool flushed = idle && now - idle_since_ > kFlushGrace;
  if (flushed || now - drain_started_ > settings_.drain_limit) {
    log_.info("stopping", {{"open_requests", core_.open_requests()}});
    loop_.stop();
  }
}

void RouterServer::publish_metrics() {
  metrics_.set("stoat_router_open_requests", static_cast<double>(core_.open_requests()));
  metrics_.set("stoat_router_queued_requests", static_cast<double>(core_.queued_requests()));
  metrics_.set("stoat_router_index_entries", static_cast<double>(core_.index().block_count()));
  metrics_.set("stoat_router_index_bytes", static_cast<double>(core_.index().memory_bytes()));
  metrics_.set("stoat_router_followed_engines", static_cast<double>(core_.followed_engines()));
  metrics_.set("stoat_router_configuration_version", static_cast<double>(core_.configuration().version));
  metrics_.set("stoat_router_control_contact_age_ms", static_cast<double>(control_.contact_age_ms()));
  metrics_.set("stoat_router_control_sent_bytes", static_cast<double>(control_.sent_bytes()));
}

nlohmann::json RouterServer::status_json() const {
  nlohmann::json engines = nlohmann::json::object();
  for (const auto& [name, state] : core_.engines().all()) {
    if (state.load.incarnation == 0) {
      continue;  // not heard of yet, or not an engine
    }
    engines[name] = {{"running", state.load.running},
                     {"waiting_tokens", state.load.waiting_tokens},
                     {"outstanding", state.outstanding},
                     {"leaving", state.load.leaving},
                     {"weights_version", state.load.weights_version}};
  }
  return {{"name", settings_.core.name},
          {"zone", settings_.core.zone},
          {"policy", settings_.core.policy},
          {"draining", core_.draining()},
          {"version", core_.configuration().version},
          {"open_requests", core_.open_requests()},
          {"queued_requests", core_.queued_requests()},
          {"index_entries", core_.index().block_count()},
          {"followed_engines", core_.followed_engines()},
          {"known_routers", router_endpoints_.size()},
          {"control_contact_age_ms", control_.contact_age_ms()},
          {"learned_costs_us",
           {{"base", core_.costs().base_us()},
            {"prefill_token", core_.costs().prefill_us_per_token()},
            {"import_token", core_.costs().import_us_per_token()}}},
          {"engines", std::move(engines)}};
}

}  // namespace stoat::router
