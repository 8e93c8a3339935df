#include "src/sidecar/sidecar_server.h"

#include "src/common/hash.h"
#include "src/common/random.h"
#include "src/wire/failure_reason.h"

namespace stoat::sidecar {

namespace {

using nlohmann::json;

constexpr Duration kTick = 5ms;
constexpr int kNotReadyRetryAfterS = 1;
/// How long a stopping sidecar still serves callers that sent on a connection they had open.
constexpr Duration kDrainQuiet = 500ms;

}  // namespace

SidecarSettings read_sidecar_settings(SettingsReader& reader) {
  SidecarSettings settings;
  settings.name = reader.required_text("name");
  settings.core.zone = reader.required_text("zone");
  settings.core.block_tokens =
      static_cast<uint32_t>(reader.integer("block_tokens", settings.core.block_tokens, 1, 65536));
  settings.core.default_deadline_ms =
      reader.integer("default_deadline_ms", settings.core.default_deadline_ms, 1, 600000);
  settings.core.router_silence = Duration(1000 * reader.integer("router_silence_ms", 800, 50, 60000));
  settings.core.give_up_after = Duration(1000 * reader.integer("give_up_after_ms", 1000, 10, 60000));
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:8080");
  settings.limits.max_body_bytes =
      static_cast<size_t>(reader.integer("max_body_bytes", 8 << 20, 1024, 1 << 30));
  settings.limits.idle_timeout_s = static_cast<int>(reader.integer("caller_idle_s", 60, 1, 3600));
  settings.control.members = read_endpoints(reader, "control");
  settings.control.data_folder = reader.required_text("data_folder");
  settings.control.poll_interval = Duration(1000 * reader.integer("control_poll_ms", 1000, 10, 60000));
  settings.trace_file = reader.text("trace_file", "");
  settings.drain_limit = Duration(1000000 * reader.integer("drain_limit_s", 120, 1, 3600));
  return settings;
}

SidecarServer::SidecarServer(EventLoop& loop, const SidecarSettings& settings)
    : loop_(loop),
      settings_(settings),
      core_(settings.core, seed_from_device(), &metrics_),
      control_(loop, settings.control,
               wire::Node{settings.name, "sidecar", to_string(settings.listen), settings.core.zone,
                          seed_from_device(), 0, false},
               seed_from_device()),
      recorder_(settings.trace_file, settings.core.block_tokens),
      http_(loop, settings.listen, settings.limits) {
  control_.on_configuration = [this](const control::Configuration& configuration) {
    core_.on_configuration(configuration);
  };
  control_.on_routers = [this](const std::vector<wire::Node>& routers) {
    router_endpoints_.clear();
    for (const wire::Node& node : routers) {
      router_endpoints_[node.name] = node.endpoint;
    }
    core_.on_routers(routers);
  };
  const auto add = [this](const char* method, const char* path, AnswerForm form) {
    http_.route(method, path, [this, form](const http::ExchangePtr& exchange) { on_call(exchange, form); });
  };
  add("POST", "/v1/completions", AnswerForm::kCompletion);
  add("POST", "/v1/chat/completions", AnswerForm::kChat);
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    add(method, "/services/*", AnswerForm::kPlain);
  }
  http_.route("GET", "/v1/models", [this](const http::ExchangePtr& exchange) { list_models(exchange); });
  const auto ready = [this] {
    return core_.configuration().version > 0 && core_.usable_routers(loop_.now()) > 0;
  };
  http::add_common_routes(http_, {&metrics_, ready, [this] { return status_json(); }});
  control_.start();
  loop.every(kTick, [this] { tick(); });
  loop.on_terminate([this] { start_drain(); });
  log_.info("serving", {{"name", settings.name}, {"listen", to_string(settings.listen)}});
}

void SidecarServer::on_call(const http::ExchangePtr& exchange, AnswerForm form) {
  if (core_.configuration().version == 0) {
    metrics_.count("stoat_sidecar_caller_errors_total", {{"code", "not_ready"}});
    reply_caller_error(*exchange, {503, "not_ready", "no configuration has reached this sidecar yet"},
                       kNotReadyRetryAfterS);
    return;
  }
  const auto call = parse_call(*exchange, form, core_.configuration());
  if (!call) {
    metrics_.count("stoat_sidecar_caller_errors_total", {{"code", call.error().code}});
    reply_caller_error(*exchange, call.error());
    return;
  }
  const ExchangeId exchange_id = ++last_exchange_;
  answers_.emplace(exchange_id, CallerAnswer(exchange, form, call->stream, call->request.serves));
  exchange->on_gone([this, exchange_id] {
    core_.on_caller_gone(exchange_id);
    // Not now: the exchange that calls this is owned by the answer.
    loop_.after(0us, [this, exchange_id] {
      const auto gone = answers_.find(exchange_id);
      if (gone != answers_.end()) {
        gone->second.exchange()->abort();
        answers_.erase(gone);
      }
    });
    perform_actions();
  });
  metrics_.count("stoat_sidecar_requests_total");
  const uint64_t request_id = core_.on_caller(exchange_id, call->request, loop_.now());
  answers_.at(exchange_id).set_request_id(to_hex(request_id));
  recorder_.request(request_id, call->request, loop_.now());
  log_.debug("request", {{"request_id", to_hex(request_id)},
                         {"tenant", call->request.tenant},
                         {"serves", call->request.serves}});
  perform_actions();
}

void SidecarServer::list_models(const http::ExchangePtr& exchange) {
  json models = json::array();
  for (const auto& [name, model] : core_.configuration().models) {
    models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "stoat"}});
  }
  http::reply_json(*exchange, 200, {{"object", "list"}, {"data", models}});
}

void SidecarServer::perform_actions() {
  for (auto actions = core_.take_actions(); !actions.empty(); actions = core_.take_actions()) {
    for (SidecarAction& action : actions) {
      std::visit([this](auto& typed) { perform(typed); }, action);
    }
  }
}

void SidecarServer::perform(SendToRouter& action) {
  const std::string router = action.router;
  const auto endpoint_text = router_endpoints_.find(router);
  Endpoint endpoint;
  if (endpoint_text == router_endpoints_.end() || !parse_endpoint(endpoint_text->second, endpoint)) {
    return;
  }
  auto& channel = channels_[router];
  if (channel == nullptr || !channel->open()) {
    channel = wire::Channel::connect(
        loop_, endpoint,
        [this, router](const std::shared_ptr<wire::Channel>&, const wire::Message& message) {
          core_.on_router_message(router, message, loop_.now());
          perform_actions();
        },
        [this, router](const std::shared_ptr<wire::Channel>& closed) {
          const auto known = channels_.find(router);
          if (known != channels_.end() && known->second == closed) {
            channels_.erase(known);
            log_.warning("router lost", {{"router", router}});
            core_.on_router_lost(router, loop_.now());
            perform_actions();
          }
        });
  }
  channel->send(action.message);
}

void SidecarServer::perform(DropRouter& action) {
  const auto channel = channels_.find(action.router);
  if (channel != channels_.end()) {
    log_.warning("router does not answer", {{"router", action.router}});
    channel->second->close();
    channels_.erase(channel);
  }
}

void SidecarServer::perform(PieceToCaller& action) {
  const auto answer = answers_.find(action.exchange);
  if (answer != answers_.end()) {
    answer->second.on_piece(action.text);
  }
}

void SidecarServer::perform(EndToCaller& action) {
  recorder_.outcome(action.request_id, action.finished, loop_.now());
  log_.debug("request ended", {{"request_id", to_hex(action.request_id)},
                               {"outcome", wire::outcome_name(action.finished.outcome)},
                               {"reason", wire::reason_code(action.finished.reason)}});
  metrics_.count("stoat_sidecar_finished_total", {{"outcome", wire::outcome_name(action.finished.outcome)},
                                                  {"reason", wire::reason_code(action.finished.reason)}});
  const auto answer = answers_.find(action.exchange);
  if (answer != answers_.end()) {
    answer->second.on_end(action.finished);
    answers_.erase(answer);
  }
}

void SidecarServer::tick() {
  core_.tick(loop_.now());
  perform_actions();
  if (draining_) {
    check_drained();
  }
}

void SidecarServer::start_drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_started_ = loop_.now();
  log_.info("draining", {{"open_requests", core_.open_requests()}});
  http_.stop_listening();
  control_.set_draining();
}

void SidecarServer::check_drained() {
  const TimePoint now = loop_.now();
  if (!answers_.empty()) {
    idle_since_ = TimePoint(0);
  } else if (idle_since_ == TimePoint(0)) {
    idle_since_ = now;
  }
  const bool quiet = idle_since_ != TimePoint(0) && now - idle_since_ > kDrainQuiet;
  if (quiet || now - drain_started_ > settings_.drain_limit) {
    log_.info("stopping", {{"open_requests", core_.open_requests()}});
    loop_.stop();
  }
}

json SidecarServer::status_json() const {
  return {{"name", settings_.name},
          {"version", core_.configuration().version},
          {"open_requests", core_.open_requests()},
          {"usable_routers", core_.usable_routers(loop_.now())},
          {"control_contact_age_ms", control_.contact_age_ms()}};
}

}  // namespace stoat::sidecar
