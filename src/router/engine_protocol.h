/// The engines' HTTP interface as the router speaks it: request bodies, event streams, feed pages, load
/// reports.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/cache/engine_feed.h"
#include "src/http/client.h"
#include "src/http/event_stream.h"
#include "src/router/router_action.h"

namespace stoat::router {

/// One event of a completion stream.
struct StreamEvent {
  uint32_t token_index = 0;
  std::string text;
  bool has_usage = false;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
};

/// Splits a server-sent event stream into events. Comments are skipped; an event that can't be read ends the
/// parse.
class StreamParser {
 public:
  /// Takes the next bytes. Calls `on_event` for each whole event. Returns false when the stream is malformed.
  bool feed(const std::string& bytes, const std::function<void(const StreamEvent&)>& on_event);
  /// True once the stream's end mark came.
  bool done() const { return done_; }

 private:
  bool take_data(const std::string& data, const std::function<void(const StreamEvent&)>& on_event);

  http::EventStream stream_;
  bool done_ = false;
};

/// The HTTP request for a call.
http::ClientRequest make_call_request(const StartCall& call, const Endpoint& endpoint,
                                      Duration silence_limit);

/// The HTTP request that tells an engine to end a stream.
http::ClientRequest make_cancel_request(const Endpoint& endpoint, uint64_t request_id,
                                        uint32_t engine_attempt);

/// What an answer without a whole stream means for the call.
CallResult classify_answer(CallKind kind, const http::ClientResult& result);

/// A page of the event feed and the load report that comes with it.
struct FeedAnswer {
  cache::FeedPage page;
  wire::EngineLoad load;
};

/// Reads a feed answer; nothing when it is malformed.
std::optional<FeedAnswer> parse_feed(const std::string& engine, const std::string& body);

/// Reads a snapshot of an engine's blocks; nothing when it is malformed.
std::optional<cache::FeedSnapshot> parse_snapshot(const std::string& body);

}  // namespace stoat::router
