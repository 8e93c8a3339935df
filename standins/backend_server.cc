#include "standins/backend_server.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/common/hash.h"
#include "src/common/json_text.h"
#include "src/common/random.h"

namespace stoat::standins {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirectedRequest = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr Duration kHeartbeatInterval = 300ms;
constexpr Duration kHeartbeatTimeout = 1s;
/// Time between SIGTERM and the exit, during which running requests may finish.
constexpr Duration kShutdownGrace = 1500ms;
constexpr char kJson[] = "application/json";

uint64_t parse_number(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Reads "NAME:TOKENS,NAME:TOKENS".
std::vector<NamedPart> parse_parts(const std::string& text) {
  std::vector<NamedPart> parts;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    const size_t colon = item.find(':');
    if (colon != std::string::npos) {
      parts.push_back({item.substr(0, colon), static_cast<uint32_t>(parse_number(item.substr(colon + 1)))});
    }
  }
  return parts;
}

uint32_t count_tokens(const std::vector<NamedPart>& parts) {
  uint32_t tokens = 0;
  for (const NamedPart& part : parts) {
    tokens += part.tokens;
  }
  return tokens;
}

}  // namespace

BackendSettings read_backend_settings(SettingsReader& reader) {
  constexpr int64_t kUsPerMs = 1000;
  BackendSettings settings;
  settings.name = reader.required_text("name");
  settings.service = reader.required_text("service");
  settings.zone = reader.text("zone", "");
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:9100");
  settings.control = read_endpoints(reader, "control");
  settings.model = reader.text("model", "");
  settings.slots = static_cast<uint32_t>(reader.integer("slots", settings.slots, 1, 10000));
  settings.cache_tokens = static_cast<uint64_t>(reader.integer("cache_tokens", 60000, 0, 1000000000));
  settings.prefill_us_per_token =
      reader.number("prefill_us_per_token", settings.prefill_us_per_token, 0, 1e6);
  settings.token_interval = Duration(kUsPerMs * reader.integer("token_ms", 20, 0, 60000));
  settings.response_delay = Duration(kUsPerMs * reader.integer("work_ms", 10, 0, 60000));
  settings.load_duration = Duration(kUsPerMs * reader.integer("load_ms", 1000, 0, 600000));
  settings.software = reader.text("software", "");
  settings.fails_each = static_cast<uint32_t>(reader.integer("fails_each", 0, 0, 1000000));
  settings.rate_limit = reader.number("rate_limit", 0, 0, 1e6);
  settings.rest_s = reader.number("rest_s", 0, 0, 600);
  settings.crash_on = reader.text("crash_on", "");
  settings.runs_file = reader.text("runs_file", "");
  return settings;
}

std::string token_text(const std::string& prompt_parts, uint32_t index) {
  return to_hex(hash_pair(hash_bytes(prompt_parts), index));
}

BackendServer::BackendServer(EventLoop& loop, const BackendSettings& settings,
                             const control::FleetHttpInterface& interface, const dispatch::HeaderNames& names)
    : loop_(loop),
      settings_(settings),
      id_(settings.name + "-" + to_hex(seed_from_device())),
      epoch_(seed_from_device() >> 1U),
      interface_(interface),
      names_(names),
      client_(loop),
      server_(loop, settings.listen),
      cache_(settings.cache_tokens) {
  server_.route("POST", interface_.paths.order, [this](const auto& exchange) { handle_order(exchange); });
  server_.route("GET", interface_.paths.report, [this](const auto& exchange) { handle_report(exchange); });
  server_.route("GET", interface_.paths.cache_events,
                [this](const auto& exchange) { handle_cache_events(exchange); });
  for (const char* method : {"GET", "POST"}) {
    server_.route(method, "/*", [this](const auto& exchange) { handle_request(exchange); });
  }
  loop_.every(kHeartbeatInterval, [this] { send_heartbeat(); });
  loop_.on_terminate([this] { shut_down(); });
  log_.info("serving",
            {{"backend", id_}, {"service", settings.service}, {"listen", to_string(settings.listen)}});
}

std::vector<http::Header> BackendServer::response_headers(const http::Exchange& exchange) const {
  std::vector<http::Header> headers = {{names_.request_id, exchange.header(names_.request_id)},
                                       {names_.signature, id_},
                                       {names_.weights_version, std::to_string(weights_version_)}};
  if (settings_.rate_limit > 0) {
    headers.push_back({names_.rate_limit, std::to_string(settings_.rate_limit)});
  }
  if (stopping_) {
    headers.push_back({names_.leaving, "1"});
  }
  return headers;
}

bool BackendServer::reject_if_not_runnable(const http::ExchangePtr& exchange) {
  const std::string weights = exchange->header(names_.expected_weights);
  const bool misdirected = exchange->header(names_.expected_backend) != id_ ||
                           (!weights.empty() && weights != std::to_string(weights_version_));
  if (!misdirected && !loading_ && !stopping_ && running_ < settings_.slots) {
    return false;
  }
  std::vector<http::Header> headers = response_headers(*exchange);
  headers.push_back({names_.not_run, "1"});
  if (!misdirected && settings_.rest_s > 0) {
    headers.push_back({names_.retry_after, std::to_string(settings_.rest_s)});
  }
  exchange->reply(misdirected ? kMisdirectedRequest : kUnavailable, "text/plain", "not run\n", headers);
  return true;
}

void BackendServer::record_run(const std::string& request) const {
  if (!settings_.runs_file.empty()) {
    std::ofstream(settings_.runs_file, std::ios::app) << request << std::endl;
  }
}

void BackendServer::handle_request(const http::ExchangePtr& exchange) {
  if (reject_if_not_runnable(exchange)) {
    return;
  }
  ++running_;
  record_run(exchange->header(names_.request_id));
  if (!settings_.crash_on.empty() && exchange->body().find(settings_.crash_on) != std::string::npos) {
    log_.error("crashes under a request", {{"request", exchange->header(names_.request_id)}});
    flush_logs();
    std::abort();
  }
  if (settings_.model.empty()) {
    run_plain(exchange);
  } else {
    run_stream(exchange);
  }
}

void BackendServer::run_plain(const http::ExchangePtr& exchange) {
  loop_.after(settings_.response_delay, [this, exchange] {
    --running_;
    if (exchange->disconnected()) {
      return;
    }
    const bool fails = settings_.fails_each > 0 && ++plain_requests_ % settings_.fails_each == 0;
    exchange->reply(fails ? kInternalError : kOk, "text/plain", fails ? "failed\n" : kPlainResponse,
                    response_headers(*exchange));
  });
}

void BackendServer::run_stream(const http::ExchangePtr& exchange) {
  const auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->prompt_parts = exchange->header(names_.prompt_parts);
  const std::string counts = exchange->header(names_.token_counts);
  const size_t comma = counts.find(',');
  const uint64_t output = comma == std::string::npos ? 1 : parse_number(counts.substr(comma + 1));
  const std::string last_event = exchange->header(names_.last_event_id);
  stream->next_token = last_event.empty() ? 0 : static_cast<uint32_t>(parse_number(last_event)) + 1;
  stream->end_token = static_cast<uint32_t>(output);
  const std::vector<NamedPart> parts = parse_parts(stream->prompt_parts);
  const std::string salt = exchange->header(names_.cache_salt);
  const uint32_t cached = cache_.match(salt, parts);
  const uint32_t uncached = count_tokens(parts) - cached;
  const Duration prefill(static_cast<int64_t>(settings_.prefill_us_per_token * uncached));
  // Prompts are prefilled one after another.
  prefill_idle_at_ = std::max(prefill_idle_at_, loop_.now()) + prefill;
  loop_.after(prefill_idle_at_ - loop_.now(), [this, stream, parts, salt, cached] {
    cache_.store(salt, parts);
    if (stream->exchange->disconnected()) {
      --running_;
      return;
    }
    std::vector<http::Header> headers = response_headers(*stream->exchange);
    headers.push_back({kCachedTokensHeader, std::to_string(cached)});
    stream->exchange->start_stream(kOk, "text/event-stream", headers);
    send_next_token(stream);
  });
}

void BackendServer::send_next_token(const std::shared_ptr<Stream>& stream) {
  if (stream->exchange->disconnected()) {
    --running_;
    return;
  }
  if (stream->next_token >= stream->end_token) {
    --running_;
    stream->exchange->end_stream();
    return;
  }
  stream->exchange->send("id: " + std::to_string(stream->next_token) +
                         "\ndata: " + token_text(stream->prompt_parts, stream->next_token) + "\n\n");
  ++stream->next_token;
  loop_.after(settings_.token_interval, [this, stream] { send_next_token(stream); });
}

void BackendServer::handle_order(const http::ExchangePtr& exchange) {
  const json body = parse_json(exchange->body(), "order").value_or(json());
  const control::JsonFieldNames& names = interface_.field_names;
  const bool matches = body.is_object() && body.value(names.operation, "") == names.load_weights &&
                       body.value("model", "") == settings_.model;
  if (!matches || exchange->header(interface_.expected_backend_header) != id_) {
    exchange->reply(kMisdirectedRequest, kJson, "{}\n");
    return;
  }
  const uint64_t fencing_token = body.value(names.fencing_token_field, uint64_t{0});
  const uint64_t version = body.value("version", uint64_t{0});
  if (fencing_token < highest_fencing_token_) {
    exchange->reply(kPreconditionFailed, kJson, "{}\n");
    return;
  }
  highest_fencing_token_ = fencing_token;
  if (version == weights_version_) {
    exchange->reply(kOk, kJson, "{}\n");
    return;
  }
  if (loading_ || body.value(names.expected_sequence, uint64_t{0}) != accepted_orders_) {
    exchange->reply(kConflict, kJson, "{}\n");
    return;
  }
  ++accepted_orders_;
  loading_ = true;
  log_.info("loads weights", {{"version", version}});
  loop_.after(settings_.load_duration, [this, version] {
    weights_version_ = version;
    loading_ = false;
    cache_.clear();
  });
  exchange->reply(kAccepted, kJson, "{}\n");
}

json BackendServer::models() const {
  if (settings_.model.empty()) {
    return json::array();
  }
  return json::array({{{"name", settings_.model}, {"version", weights_version_}}});
}

void BackendServer::handle_report(const http::ExchangePtr& exchange) const {
  const json report = {{"busy", loading_}, {"sequence", accepted_orders_}, {"models", models()}};
  exchange->reply(kOk, kJson, report.dump());
}

void BackendServer::handle_cache_events(const http::ExchangePtr& exchange) const {
  const uint64_t since = parse_number(exchange->query("since"));
  json events = json::array();
  for (const PrefixCacheEvent& event : cache_.events_after(since)) {
    events.push_back(
        {event.number, event.tokens > 0 ? "+" : "-", event.salt, event.part, event.tokens, settings_.model});
  }
  const json answer = {{"epoch", epoch_},
                       {interface_.field_names.next_event, cache_.last_event()},
                       {interface_.field_names.gap, !cache_.has_all_events_after(since)},
                       {"events", events}};
  exchange->reply(kOk, kJson, answer.dump());
}

void BackendServer::send_heartbeat() {
  if (settings_.control.empty()) {
    return;
  }
  http::ClientRequest request;
  request.endpoint = settings_.control[heartbeats_++ % settings_.control.size()];
  request.method = "PUT";
  request.path = interface_.paths.backends + id_;
  request.timeout = kHeartbeatTimeout;
  request.body = json{{"service", settings_.service},   {"address", to_string(settings_.listen)},
                      {"zone", settings_.zone},         {"slots", settings_.slots},
                      {"software", settings_.software}, {"state", stopping_ ? "draining" : "ready"},
                      {"sequence", heartbeats_},        {"models", models()}}
                     .dump();
  client_.start(request, nullptr, [](const http::ClientResult&) {});
}

void BackendServer::shut_down() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  log_.info("stopping", {{"running", running_}});
  send_heartbeat();
  loop_.after(kShutdownGrace, [this] { loop_.stop(); });
}

}  // namespace stoat::standins
