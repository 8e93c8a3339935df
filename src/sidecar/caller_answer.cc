#include "src/sidecar/caller_answer.h"

#include <nlohmann/json.hpp>

#include "src/http/common_routes.h"
#include "src/wire/failure_reason.h"

namespace stoat::sidecar {

namespace {

using nlohmann::json;
using wire::Outcome;

constexpr char kEventStream[] = "text/event-stream";
constexpr int64_t kMillisecondsPerSecond = 1000;

json usage_json(const wire::RequestFinished& finished) {
  return {{"prompt_tokens", finished.prompt_tokens},
          {"completion_tokens", finished.piece_count},
          {"total_tokens", finished.prompt_tokens + finished.piece_count},
          {"prompt_tokens_details", {{"cached_tokens", finished.cached_tokens}}}};
}

json error_body(const std::string& code, const std::string& message, const std::string& request_id,
                const char* outcome) {
  return {
      {"error", {{"code", code}, {"message", message}, {"request_id", request_id}, {"outcome", outcome}}}};
}

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

}  // namespace

CallerAnswer::CallerAnswer(http::ExchangePtr exchange, AnswerForm form, bool stream, std::string model)
    : exchange_(std::move(exchange)), form_(form), stream_(stream), model_(std::move(model)) {}

std::string CallerAnswer::event(const std::string& text, bool last) const {
  const json finish_reason = last ? json("length") : json(nullptr);
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (form_ == AnswerForm::kChat) {
    choice["delta"] = last ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  const char* object = form_ == AnswerForm::kChat ? "chat.completion.chunk" : "text_completion";
  return "data: " +
         dump({{"id", request_id_}, {"object", object}, {"model", model_}, {"choices", {choice}}}) + "\n\n";
}

void CallerAnswer::begin_stream() {
  if (!begun_) {
    begun_ = true;
    exchange_->start_stream(200, kEventStream,
                            {{"X-Request-Id", request_id_}, {"Cache-Control", "no-cache"}});
  }
}

void CallerAnswer::on_piece(const std::string& text) {
  if (!stream_) {
    text_ += text;
    return;
  }
  begin_stream();
  exchange_->send(event(text, false));
}

void CallerAnswer::on_end(const wire::RequestFinished& finished) {
  if (finished.outcome != Outcome::kComplete) {
    send_error(finished);
    return;
  }
  if (!stream_) {
    send_whole(finished);
    return;
  }
  begin_stream();
  exchange_->send(event("", true));
  const json usage = {{"id", request_id_}, {"choices", json::array()}, {"usage", usage_json(finished)}};
  exchange_->send("data: " + dump(usage) + "\n\n");
  exchange_->send("data: [DONE]\n\n");
  exchange_->end_stream();
}

void CallerAnswer::send_whole(const wire::RequestFinished& finished) {
  const std::vector<http::Header> headers{{"X-Request-Id", request_id_}};
  if (form_ == AnswerForm::kPlain) {
    exchange_->reply(finished.http_status, "application/json", finished.body, headers);
    return;
  }
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (form_ == AnswerForm::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  const char* object = form_ == AnswerForm::kChat ? "chat.completion" : "text_completion";
  const json body = {{"id", request_id_},
                     {"object", object},
                     {"model", model_},
                     {"choices", {choice}},
                     {"usage", usage_json(finished)}};
  exchange_->reply(200, "application/json", dump(body) + "\n", headers);
}

void CallerAnswer::send_error(const wire::RequestFinished& finished) {
  const json body = error_body(wire::reason_code(finished.reason), finished.message, request_id_,
                               wire::outcome_name(finished.outcome));
  if (begun_) {
    exchange_->send("event: error\ndata: " + dump(body) + "\n\n");
    exchange_->end_stream();
    return;
  }
  const bool own_status =
      finished.reason == wire::FailureReason::kBackendRejected && finished.http_status >= 400;
  const int status = own_status ? finished.http_status : wire::reason_http_status(finished.reason);
  std::vector<http::Header> headers{{"X-Request-Id", request_id_}};
  if (finished.retry_after_ms > 0) {
    const int64_t seconds = (finished.retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  exchange_->reply(status, "application/json", dump(body) + "\n", headers);
}

void reply_caller_error(http::Exchange& exchange, const CallerError& error, int retry_after_s) {
  std::vector<http::Header> headers;
  if (retry_after_s > 0) {
    headers.push_back({"Retry-After", std::to_string(retry_after_s)});
  }
  http::reply_json(exchange, error.http_status, error_body(error.code, error.message, "", "not_run"),
                   headers);
}

}  // namespace stoat::sidecar
