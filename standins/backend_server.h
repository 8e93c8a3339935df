/// A simulated backend that speaks the protocols of the router and the control plane. It is either an engine,
/// which streams tokens, caches prompt parts and loads weights when the control plane orders it, or a plain
/// service, which sends its response in one piece. It registers with the control members by heartbeats.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "src/common/log.h"
#include "src/common/settings.h"
#include "src/control/fleet_interface.h"
#include "src/dispatch/request_protocol.h"
#include "src/http/client.h"
#include "src/http/server.h"
#include "standins/prefix_cache.h"

namespace stoat::standins {

/// Settings of a simulated backend.
struct BackendSettings {
  std::string name;
  std::string service;
  std::string zone;
  Endpoint listen;
  std::vector<Endpoint> control;      ///< administration endpoints of the control members
  std::string model;                  ///< empty: a plain service
  uint32_t slots = 8;                 ///< requests that may run at the same time
  uint64_t cache_tokens = 60000;      ///< capacity of the prompt cache
  double prefill_us_per_token = 100;  ///< applies to prompt tokens that are not cached
  Duration token_interval = 20ms;     ///< between the tokens of a stream
  Duration response_delay = 10ms;     ///< of a plain service
  Duration load_duration = 1s;        ///< time to load weights
  std::string software;               ///< program version reported in heartbeats; empty: none
  uint32_t fails_each = 0;            ///< plain service: every n-th request fails; 0: none
  double rate_limit = 0;              ///< limit announced in responses, in requests per second; 0: none
  double rest_s = 0;     ///< back-off period sent when a request is rejected, in seconds; 0: none
  std::string crash_on;  ///< abort on a request whose body contains this text; empty: never
  /// File to which the id of each request is appended when it starts to run. Unlike the process, the file
  /// survives a crash. Empty: none.
  std::string runs_file;
};

/// Reads the settings; problems are reported as findings of the reader.
BackendSettings read_backend_settings(SettingsReader& reader);

/// The text of a token. It depends on the prompt and the index only, so clients can check every response, and
/// another engine can continue a stream with the same tokens.
std::string token_text(const std::string& prompt_parts, uint32_t index);

/// The response body of a plain service.
inline constexpr char kPlainResponse[] = "done\n";

/// Response header of an engine: how many tokens of the prompt were cached.
inline constexpr char kCachedTokensHeader[] = "X-Cached-Tokens";

/// The HTTP server of a simulated backend.
class BackendServer {
 public:
  BackendServer(EventLoop& loop, const BackendSettings& settings,
                const control::FleetHttpInterface& interface = {}, const dispatch::HeaderNames& names = {});

 private:
  struct Stream {
    http::ExchangePtr exchange;
    std::string prompt_parts;
    uint32_t next_token = 0;
    uint32_t end_token = 0;
  };
  void handle_request(const http::ExchangePtr& exchange);
  /// Rejects a request that is meant for another instance or for other weights (421), and any request while
  /// the backend is loading, stopping or full (503). Returns true if the request was rejected.
  bool reject_if_not_runnable(const http::ExchangePtr& exchange);
  void run_stream(const http::ExchangePtr& exchange);
  void send_next_token(const std::shared_ptr<Stream>& stream);
  void run_plain(const http::ExchangePtr& exchange);
  std::vector<http::Header> response_headers(const http::Exchange& exchange) const;
  void record_run(const std::string& request) const;
  void handle_order(const http::ExchangePtr& exchange);
  void handle_report(const http::ExchangePtr& exchange) const;
  void handle_cache_events(const http::ExchangePtr& exchange) const;
  nlohmann::json models() const;
  void send_heartbeat();
  void shut_down();

  EventLoop& loop_;
  BackendSettings settings_;
  std::string id_;  ///< unique to each start of the process
  uint64_t epoch_;  ///< identifies the numbering of the cache events
  control::FleetHttpInterface interface_;
  dispatch::HeaderNames names_;
  Logger log_{"standin"};
  http::Client client_;
  http::Server server_;
  PrefixCache cache_;
  uint64_t weights_version_ = 1;
  uint64_t accepted_orders_ = 0;
  uint64_t highest_fencing_token_ = 0;
  bool loading_ = false;
  uint32_t running_ = 0;
  uint64_t plain_requests_ = 0;  ///< requests completed by a plain service
  TimePoint prefill_idle_at_{0};
  uint64_t heartbeats_ = 0;
  bool stopping_ = false;
};

}  // namespace stoat::standins
