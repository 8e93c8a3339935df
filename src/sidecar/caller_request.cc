#include "src/sidecar/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace stoat::sidecar {

namespace {

using control::Configuration;
using nlohmann::json;
using tl::unexpected;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicesPath = "/services/";
constexpr uint32_t kDefaultMaxTokens = 16;
constexpr uint32_t kMaxMaxTokens = 32768;
constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr int64_t kMaxDeadlineMs = 600000;

unexpected<CallerError> bad_field(const std::string& key, const std::string& message) {
  return unexpected(CallerError{400, "bad_field", key + ": " + message});
}

/// The messages of a chat as one prompt. Each begins with its role on a line of its own.
tl::expected<std::string, CallerError> chat_prompt(const json& body) {
  if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
    return bad_field("messages", "must be a list that is not empty");
  }
  std::string prompt;
  size_t position = 0;
  for (const json& message : body["messages"]) {
    const std::string key = "messages[" + std::to_string(position++) + "]";
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
      return bad_field(key + ".role", "must be text");
    }
    if (!message.contains("content") || !message["content"].is_string()) {
      return bad_field(key + ".content", "must be text");
    }
    prompt +=
        "<|" + message["role"].get<std::string>() + "|>\n" + message["content"].get<std::string>() + "\n";
  }
  return prompt + "<|assistant|>\n";
}

tl::expected<std::string, CallerError> completion_prompt(const json& body) {
  if (!body.contains("prompt") || !body["prompt"].is_string() ||
      body["prompt"].get_ref<const std::string&>().empty()) {
    return bad_field("prompt", "must be text that is not empty");
  }
  return body["prompt"].get<std::string>();
}

tl::expected<void, CallerError> read_model_body(const http::Exchange& exchange,
                                                const Configuration& configuration, ParsedCall& call) {
  const json body = json::parse(exchange.body(), nullptr, false);
  if (!body.is_object()) {
    return unexpected(CallerError{400, "bad_json", "the body must be a JSON object"});
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return bad_field("model", "must be text");
  }
  call.request.serves = body["model"].get<std::string>();
  if (configuration.models.count(call.request.serves) == 0) {
    return unexpected(CallerError{404, "unknown_model", "no model named '" + call.request.serves + "'"});
  }
  auto prompt = call.form == AnswerForm::kChat ? chat_prompt(body) : completion_prompt(body);
  if (!prompt) {
    return unexpected(prompt.error());
  }
  call.request.prompt = std::move(*prompt);
  call.request.max_tokens = kDefaultMaxTokens;
  if (body.contains("max_tokens")) {
    const json& max_tokens = body["max_tokens"];
    if (!max_tokens.is_number_unsigned() || max_tokens.get<uint64_t>() < 1 ||
        max_tokens.get<uint64_t>() > kMaxMaxTokens) {
      return bad_field("max_tokens", "must be a whole number from 1 to " + std::to_string(kMaxMaxTokens));
    }
    call.request.max_tokens = max_tokens.get<uint32_t>();
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return bad_field("stream", "must be true or false");
  }
  call.stream = body.value("stream", false);
  return {};
}

tl::expected<void, CallerError> read_plain(const http::Exchange& exchange, const Configuration& configuration,
                                           ParsedCall& call) {
  const std::string rest = exchange.path().substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  call.request.kind = wire::RequestKind::kPlain;
  call.request.serves = rest.substr(0, slash);
  call.request.method = exchange.method();
  call.request.path = slash == std::string::npos ? "/" : rest.substr(slash);
  call.request.prompt = exchange.body();
  const bool known =
      std::any_of(configuration.backends.begin(), configuration.backends.end(), [&](const auto& entry) {
        return entry.second.kind == control::BackendKind::kPlain &&
               entry.second.serves == call.request.serves;
      });
  if (!known) {
    return unexpected(CallerError{404, "unknown_service", "no service named '" + call.request.serves + "'"});
  }
  return {};
}

tl::expected<void, CallerError> read_headers(const http::Exchange& exchange,
                                             const Configuration& configuration, CallerRequest& request) {
  request.idempotency_key = exchange.header("Idempotency-Key");
  if (request.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return bad_field("Idempotency-Key",
                     "must not be longer than " + std::to_string(kMaxIdempotencyKeyBytes) + " bytes");
  }
  const std::string repeatable = exchange.header("X-Repeatable");
  if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
    return bad_field("X-Repeatable", "must be yes or no");
  }
  const bool row_forbids = !configuration.row(control::RowKind::kTenant, request.tenant).repeatable ||
                           !configuration.row(control::RowKind::kService, request.serves).repeatable;
  request.repeatable = !row_forbids && repeatable != "no" && request.idempotency_key.empty();
  const std::string deadline = exchange.header("X-Deadline-Ms");
  if (!deadline.empty()) {
    char* end = nullptr;
    request.deadline_ms = std::strtoll(deadline.c_str(), &end, 10);
    if (*end != '\0' || request.deadline_ms < 1 || request.deadline_ms > kMaxDeadlineMs) {
      return bad_field("X-Deadline-Ms", "must be a whole number from 1 to " + std::to_string(kMaxDeadlineMs));
    }
  }
  return {};
}

}  // namespace

tl::expected<ParsedCall, CallerError> parse_call(const http::Exchange& exchange, AnswerForm form,
                                                 const Configuration& configuration) {
  ParsedCall call;
  call.form = form;
  const std::string authorization = exchange.header("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return unexpected(CallerError{401, "missing_api_key", "give an API key as 'Authorization: Bearer KEY'"});
  }
  const control::Tenant* tenant = configuration.tenant_of_key(authorization.substr(kBearer.size()));
  if (tenant == nullptr) {
    return unexpected(CallerError{401, "wrong_api_key", "no tenant has this API key"});
  }
  call.request.tenant = tenant->name;
  const auto read = form == AnswerForm::kPlain ? read_plain(exchange, configuration, call)
                                               : read_model_body(exchange, configuration, call);
  if (!read) {
    return unexpected(read.error());
  }
  const auto headers = read_headers(exchange, configuration, call.request);
  if (!headers) {
    return unexpected(headers.error());
  }
  return call;
}

}  // namespace stoat::sidecar
