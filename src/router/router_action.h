/// What the router's decision code asks its driver to do, and what the driver tells it of engine calls.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "src/cache/engine_feed.h"
#include "src/wire/messages.h"

namespace stoat::router {

/// Identity of a sidecar's connection.
using SidecarId = uint64_t;
/// Identity of one call to a back end.
using CallId = uint64_t;

/// Send a message to a sidecar.
struct SendToSidecar {
  SidecarId sidecar = 0;
  wire::Message message;
};

/// Send a message to another router, by name.
struct SendToRouter {
  std::string router;
  wire::Message message;
};

/// Propose a command; answer through RouterCore::on_control_answer().
struct CallControl {
  uint64_t call_id = 0;
  control::Command command;
};

/// Which call to make to a back end.
enum class CallKind : uint8_t {
  kComplete,  ///< start a completion
  kResume,    ///< read on in a stream that the engine runs already
  kPlain,     ///< a plain service's request
};

/// Blocks of the prompt that an engine moves from or to a store of kept blocks. Counted from the chain's
/// beginning.
struct KvTransfer {
  std::string store;           ///< "address:port"; empty: nothing is moved
  uint32_t import_blocks = 0;  ///< to be imported, as far as the engine does not hold them
  uint32_t export_blocks = 0;  ///< to be exported after the prefill
};

/// Make a call to a back end; its progress comes back through on_piece() and on_call_end().
struct StartCall {
  CallId call_id = 0;
  CallKind kind = CallKind::kComplete;
  std::string backend;
  std::string endpoint;
  uint64_t request_id = 0;
  uint32_t engine_attempt = 0;
  std::string idempotency_key;
  std::string tenant;
  uint64_t cache_seed = 0;
  std::string prompt;  ///< or the body of a plain request
  std::string method;
  std::string path;
  uint32_t first_index = 0;
  uint32_t max_tokens = 0;
  int32_t priority = 0;
  uint64_t expected_incarnation = 0;
  std::string expected_weights;
  bool repeatable = true;
  KvTransfer kv_transfer;
};

/// Stop reading a call. When `stop_engine`, tell the engine to end its work too.
struct StopCall {
  CallId call_id = 0;
  bool stop_engine = false;
};

/// Ask an engine for its feed after a sequence number; answer through on_feed_page() or on_feed_failure().
struct PollFeed {
  std::string backend;
  std::string endpoint;
  uint64_t after_sequence = 0;
};

/// Ask an engine for all its blocks; answer through on_feed_snapshot() or on_feed_failure().
struct FetchSnapshot {
  std::string backend;
  std::string endpoint;
};

using RouterAction =
    std::variant<SendToSidecar, SendToRouter, CallControl, StartCall, StopCall, PollFeed, FetchSnapshot>;

/// How a call to a back end ended.
enum class CallEnd : uint8_t {
  kComplete,       ///< the whole answer came
  kNotSent,        ///< no connection: certainly not run
  kRefused,        ///< the back end said that it did not run it
  kUnknownStream,  ///< the engine does not know the stream to resume
  kBroken,         ///< the connection broke: may have run
  kRejected,       ///< an error answer of the back end's own; its body is passed on
};

/// The end of a call, as the driver reports it.
struct CallResult {
  CallEnd end = CallEnd::kBroken;
  std::string refusal;       ///< the engine's name for a refusal
  uint64_t incarnation = 0;  ///< that a refusing engine has now; 0: not told
  int32_t http_status = 0;
  std::string body;
  uint32_t piece_count = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
};

}  // namespace stoat::router
