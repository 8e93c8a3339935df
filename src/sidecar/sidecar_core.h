/// The sidecar's decisions: which router gets a request, whether its stream is whole and in order, and what
/// happens when a router is lost. Free of I/O: takes callers' requests, messages and the time; gives
/// SidecarActions.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/cache/hot_prefixes.h"
#include "src/common/metrics.h"
#include "src/common/random.h"
#include "src/common/time.h"
#include "src/control/serving_regions.h"
#include "src/delivery/stream_assembler.h"
#include "src/wire/messages.h"

namespace stoat::sidecar {

/// Identity of a caller's open exchange.
using ExchangeId = uint64_t;

/// A caller's request, checked and with its tenant known.
struct CallerRequest {
  wire::RequestKind kind = wire::RequestKind::kCompletion;
  std::string tenant;
  std::string serves;
  std::string prompt;
  std::string method;
  std::string path;
  uint32_t max_tokens = 16;
  bool repeatable = true;
  std::string idempotency_key;  ///< empty: one is made when the request must not be repeated
  int64_t deadline_ms = 0;      ///< for the first token; 0: the default
};

/// Send a message to a router.
struct SendToRouter {
  std::string router;
  wire::Message message;
};

/// Close the connection to a router that does not answer.
struct DropRouter {
  std::string router;
};

/// Pass a piece of the answer on to the caller.
struct PieceToCaller {
  ExchangeId exchange = 0;
  std::string text;
};

/// End the caller's answer.
struct EndToCaller {
  ExchangeId exchange = 0;
  uint64_t request_id = 0;
  wire::RequestFinished finished;
};

using SidecarAction = std::variant<SendToRouter, DropRouter, PieceToCaller, EndToCaller>;

/// Settings of a sidecar.
struct SidecarOptions {
  std::string name = "sidecar";
  std::string zone = "region/zone";
  uint32_t block_tokens = 128;
  int64_t default_deadline_ms = 10000;
  Duration ping_interval = 400ms;    ///< to routers that have requests of this sidecar
  Duration router_silence = 1500ms;  ///< after which a router counts as lost
  Duration give_up_after = 1s;       ///< without any router to send a request to
  uint32_t max_submissions = 4;      ///< of one request
};

/// See the head of this file.
class SidecarCore {
 public:
  SidecarCore(const SidecarOptions& options, uint64_t seed, Metrics* metrics);

  /// Starts a request; returns its id.
  uint64_t on_caller(ExchangeId exchange, const CallerRequest& caller, TimePoint now);
  void on_caller_gone(ExchangeId exchange);
  void on_router_message(const std::string& router, const wire::Message& message, TimePoint now);
  /// The connection to a router was lost.
  void on_router_lost(const std::string& router, TimePoint now);
  void on_configuration(const control::Configuration& configuration);
  void on_routers(const std::vector<wire::Node>& routers);
  /// To be called every few milliseconds.
  void tick(TimePoint now);

  std::vector<SidecarAction> take_actions();
  const control::Configuration& configuration() const { return configuration_; }
  size_t open_requests() const { return requests_.size(); }
  size_t usable_routers(TimePoint now) const;

 private:
  struct Request {
    ExchangeId exchange = 0;
    wire::SubmitRequest submit;
    uint64_t prefix_key = 0;
    delivery::StreamAssembler assembler;
    std::string router;  ///< empty: waits for one
    std::set<std::string> tried;
    uint32_t submissions = 0;
    TimePoint unroutable_since{0};
    TimePoint first_token_by{0};
  };
  struct RouterState {
    wire::Node node;
    bool draining = false;
    TimePoint avoid_until{0};
    TimePoint heard_at{0};
    TimePoint next_ping{0};
    size_t open = 0;
  };

  uint64_t prefix_key_of(const CallerRequest& caller) const;
  std::string choose_router(const Request& request, TimePoint now) const;
  /// Routers that may get new requests: those of the caller's region, or of the regions that serve the model
  /// or service when the caller's does not; any region's when these have none.
  std::vector<std::string> eligible_routers(const Request& request, TimePoint now) const;
  void submit(uint64_t request_id, Request& request, TimePoint now);
  void resubmit(uint64_t request_id, Request& request, TimePoint now);
  void on_piece(const wire::StreamPiece& piece, TimePoint now);
  void on_finished(const wire::RequestFinished& finished, TimePoint now);
  void end(uint64_t request_id, const wire::RequestFinished& finished);
  void give_up(uint64_t request_id, const Request& request);
  void leave_router(Request& request);
  Request* find(uint64_t request_id, uint32_t attempt);

  SidecarOptions options_;
  Random random_;
  Metrics* metrics_;
  control::Configuration configuration_;
  control::ServingRegions serving_regions_;
  std::map<std::string, RouterState> routers_;
  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<ExchangeId, uint64_t> exchanges_;
  cache::HotPrefixTable hot_prefixes_;
  std::vector<SidecarAction> actions_;
};

}  // namespace stoat::sidecar
