/// Names of the HTTP headers used on the wire, as data, so that the request path can serve different kinds of
/// callers and engines.
#pragma once

#include <string>

namespace stoat::dispatch {

/// Names of the headers that the request path reads, sets or removes.
struct HeaderNames {
  // from the caller
  std::string request_id = "X-Request-Id";
  std::string deadline_ms = "X-Deadline-Ms";
  std::string prompt_parts = "X-Prompt-Parts";  ///< ID:TOKENS, joined by commas
  std::string token_counts = "X-Token-Counts";  ///< prompt tokens and maximum output tokens: "1460,80"
  std::string model = "X-Model";
  std::string last_event_id = "Last-Event-Id";
  std::string resumes = "X-Resumes";  ///< id of the request attempt that brought the stream's first event
  std::string credential = "Authorization";
  std::string credential_scheme = "Bearer";  ///< precedes the access key in the credential header
  // to the engine
  std::string tenant = "X-Tenant";
  std::string expected_backend = "X-Expected-Backend";
  std::string expected_weights = "X-Expected-Weights";
  std::string cache_salt = "X-Cache-Salt";
  std::string urgency = "X-Urgency";  ///< 0 to 9; 0 is the most urgent
  std::string kv_source = "X-Kv-Source";
  std::string kv_target = "X-Kv-Target";
  std::string pin_ms = "X-Pin-Ms";
  std::string hold = "X-Hold";
  std::string kv_backup = "X-Kv-Backup";
  std::string kv_from = "X-Kv-From";
  // from the engine
  std::string signature = "X-Answer-Signature";  ///< on every response made by the engine itself
  std::string not_run = "X-Not-Run";
  std::string weights_version = "X-Weights-Version";  ///< of the weights that produced the response
  /// Requests per second that a backend accepts from all routers together, for as long as its responses
  /// state it.
  std::string rate_limit = "X-Rate-Limit";
  /// Set to 1 in each response of a backend that is shutting down and wants no further requests.
  std::string leaving = "X-Leaving";
  /// Number of requests that a backend can turn away in a second before it falls over, for as long as its
  /// responses state it.
  std::string brittle = "X-Brittle";
  /// Seconds for which a backend that refuses a request with 503 wants no requests from this router.
  std::string retry_after = "Retry-After";
};

}  // namespace stoat::dispatch
