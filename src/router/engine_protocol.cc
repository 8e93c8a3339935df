#include "src/router/engine_protocol.h"

#include <nlohmann/json.hpp>

namespace stoat::router {

namespace {

using nlohmann::json;

constexpr Duration kCancelTimeout = 2s;

}  // namespace

bool StreamParser::feed(const std::string& bytes, const std::function<void(const StreamEvent&)>& on_event) {
  return stream_.feed(bytes, [&](const std::string& data) { return take_data(data, on_event); });
}

bool StreamParser::take_data(const std::string& data,
                             const std::function<void(const StreamEvent&)>& on_event) {
  if (data == http::kStreamEndMark) {
    done_ = true;
    return true;
  }
  const json body = json::parse(data, nullptr, false);
  if (!body.is_object()) {
    return false;
  }
  try {
    StreamEvent event;
    event.token_index = body.at("token_index").get<uint32_t>();
    event.text = body.at("choices").at(0).at("text").get<std::string>();
    if (body.contains("usage")) {
      event.has_usage = true;
      event.prompt_tokens = body["usage"].value("prompt_tokens", 0U);
      event.cached_tokens = body["usage"].value("/prompt_tokens_details/cached_tokens"_json_pointer, 0U);
    }
    on_event(event);
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

http::ClientRequest make_call_request(const StartCall& call, const Endpoint& endpoint,
                                      Duration silence_limit) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.timeout = silence_limit;
  // On a reused connection a loss could not be told from a run.
  request.fresh_connection = !call.repeatable;
  request.method = "POST";
  request.headers = {{"Content-Type", "application/json"}};
  switch (call.kind) {
    case CallKind::kPlain:
      request.method = call.method;
      request.path = call.path;
      request.body = call.prompt;
      if (!call.idempotency_key.empty()) {
        request.headers.push_back({"Idempotency-Key", call.idempotency_key});
      }
      request.headers.push_back({"X-Request-Id", std::to_string(call.request_id)});
      return request;
    case CallKind::kResume:
      request.path = "/v1/resume";
      request.body = json{{"request_id", call.request_id},
                          {"attempt", call.engine_attempt},
                          {"first_index", call.first_index},
                          {"expected_incarnation", call.expected_incarnation}}
                         .dump();
      return request;
    case CallKind::kComplete:
      break;
  }
  request.path = "/v1/completions";
  json transfer;
  if (!call.kv_transfer.store.empty()) {
    transfer = {{"store", call.kv_transfer.store},
                {"import_blocks", call.kv_transfer.import_blocks},
                {"export_blocks", call.kv_transfer.export_blocks}};
  }
  request.body = json{
      {"kv_transfer", transfer},
      {"request_id", call.request_id},
      {"attempt", call.engine_attempt},
      {"idempotency_key", call.idempotency_key},
      {"user", call.tenant},
      {"cache_salt", call.cache_seed},
      {"prompt", call.prompt},
      {"first_index", call.first_index},
      {"max_tokens", call.max_tokens},
      {"priority", call.priority},
      {"expected_incarnation", call.expected_incarnation},
      {"expected_weights", call.expected_weights},
      {"stream",
       true}}.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

http::ClientRequest make_cancel_request(const Endpoint& endpoint, uint64_t request_id,
                                        uint32_t engine_attempt) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.method = "POST";
  request.path = "/v1/cancel";
  request.timeout = kCancelTimeout;
  request.body = json{{"request_id", request_id}, {"attempt", engine_attempt}}.dump();
  return request;
}

CallResult classify_answer(CallKind kind, const http::ClientResult& result) {
  CallResult ended;
  ended.http_status = result.status;
  if (result.not_sent) {
    ended.end = CallEnd::kNotSent;
    return ended;
  }
  if (result.status == 0) {
    ended.end = CallEnd::kBroken;
    return ended;
  }
  ended.body = result.body;
  if (kind == CallKind::kPlain) {
    ended.end = CallEnd::kComplete;
    return ended;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (body.is_object() && body.contains("not_run") && body["not_run"] == true) {
    ended.end = CallEnd::kRefused;
    ended.refusal = body.value("/error/code"_json_pointer, "");
    ended.incarnation = body.value("incarnation", uint64_t{0});
    return ended;
  }
  if (kind == CallKind::kResume) {
    ended.end = result.status == 404 ? CallEnd::kUnknownStream : CallEnd::kBroken;
    return ended;
  }
  ended.end = result.status >= 400 ? CallEnd::kRejected : CallEnd::kBroken;
  return ended;
}

std::optional<FeedAnswer> parse_feed(const std::string& engine, const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  try {
    FeedAnswer answer;
    const json& load = parsed.at("load");
    answer.load.engine = engine;
    answer.load.incarnation = load.at("incarnation").get<uint64_t>();
    answer.load.running = load.at("running").get<uint32_t>();
    answer.load.waiting = load.at("waiting").get<uint32_t>();
    answer.load.waiting_tokens = load.at("waiting_tokens").get<uint32_t>();
    answer.load.leaving = load.at("leaving").get<bool>();
    answer.load.weights_version = load.at("weights_version").get<std::string>();
    answer.page.incarnation = answer.load.incarnation;
    answer.page.oldest_sequence = parsed.at("oldest").get<uint64_t>();
    for (const json& event : parsed.at("events")) {
      answer.page.events.push_back({event.at(0).get<uint64_t>(), event.at(1).get<int>() != 0,
                                    event.at(2).get<uint64_t>(), event.at(3).get<uint64_t>()});
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<cache::FeedSnapshot> parse_snapshot(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  try {
    cache::FeedSnapshot snapshot;
    snapshot.incarnation = parsed.at("incarnation").get<uint64_t>();
    snapshot.sequence = parsed.at("sequence").get<uint64_t>();
    for (const json& block : parsed.at("blocks")) {
      snapshot.blocks.emplace_back(block.at(0).get<uint64_t>(), block.at(1).get<uint64_t>());
    }
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace stoat::router
