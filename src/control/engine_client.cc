#include "src/control/engine_client.h"

#include "src/fleet/incarnation.h"

namespace stoat::control {

namespace {

/// Engines answer within a few milliseconds or not at all.
constexpr Duration kOrderTimeout = 250ms;
constexpr Duration kReportTimeout = 500ms;
constexpr Duration kCacheEventsWait = 1s;
constexpr int kOk = 200;
/// Longest body of a response of an engine or a store.
constexpr size_t kMaxBodyBytes = 4U << 20U;

/// Bounds a call, however much and for however long the engine sends.
void limit_call(http::ClientRequest& request, Duration limit) {
  request.timeout = limit;
  request.time_limit = 2 * limit;
  request.max_body_bytes = kMaxBodyBytes;
}

OrderAnswer to_order_answer(const http::ClientResult& result) {
  switch (result.status) {
    case 200:
      return OrderAnswer::kAlreadyLoaded;
    case 202:
      return OrderAnswer::kTaken;
    case 409:
      return OrderAnswer::kConflict;
    case 412:
      return OrderAnswer::kFenced;
    case 0:
      return result.not_sent ? OrderAnswer::kRefused : OrderAnswer::kNone;
    default:
      return OrderAnswer::kRefused;
  }
}

}  // namespace

template <typename Value>
std::optional<Value> EngineClient::readable(const std::string& address, BodyResult<Value> body) {
  if (!body) {
    unreadable_bodies_.report(address, body.error(), loop_.now());
    return std::nullopt;
  }
  return std::move(*body);
}

void EngineClient::send(const LoadWeightsOrder& order, std::function<void(OrderAnswer)> on_answer) {
  http::ClientRequest request;
  if (!parse_endpoint(order.address, request.endpoint)) {
    on_answer(OrderAnswer::kRefused);
    return;
  }
  request.method = "POST";
  request.path = interface_.paths.order;
  request.headers = {{"Content-Type", "application/json"},
                     {interface_.expected_backend_header, std::string(fleet::backend_name(order.engine))}};
  request.body = weight_order_body(order, interface_.field_names);
  limit_call(request, kOrderTimeout);
  request.fresh_connection = true;
  client_.start(request, nullptr, [on_answer = std::move(on_answer)](const http::ClientResult& result) {
    on_answer(to_order_answer(result));
  });
}

void EngineClient::request_report(const std::string& address,
                                  std::function<void(const EngineReport*)> on_report) {
  http::ClientRequest request;
  if (!parse_endpoint(address, request.endpoint)) {
    on_report(nullptr);
    return;
  }
  request.path = interface_.paths.report;
  limit_call(request, kReportTimeout);
  const auto on_result = [this, address, on_report = std::move(on_report)](const http::ClientResult& result) {
    const auto report = result.status == kOk
                            ? readable(address, read_report(result.body, interface_.field_names))
                            : std::nullopt;
    on_report(report ? &*report : nullptr);
  };
  client_.start(request, nullptr, on_result);
}

void EngineClient::poll_cache_events(const std::string& address, uint64_t since,
                                     std::function<void(const CacheEvents*)> on_events) {
  http::ClientRequest request;
  if (!parse_endpoint(address, request.endpoint)) {
    on_events(nullptr);
    return;
  }
  request.path = interface_.paths.cache_events + "?since=" + std::to_string(since);
  request.headers = {{interface_.wait_header, std::to_string(to_milliseconds(kCacheEventsWait))}};
  limit_call(request, kCacheEventsWait + kReportTimeout);
  const auto on_result = [this, address, on_events = std::move(on_events)](const http::ClientResult& result) {
    const auto events = result.status == kOk
                            ? readable(address, read_cache_events(result.body, interface_.field_names))
                            : std::nullopt;
    on_events(events ? &*events : nullptr);
  };
  client_.start(request, nullptr, on_result);
}

}  // namespace stoat::control
