/// A stand-in of a back end that speaks what the served programs speak: an engine, which streams tokens,
/// keeps parts of prompts and takes orders to load weights, or a plain service, which answers whole. It
/// registers by heartbeats at the control members.
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
#include "standins/part_cache.h"

namespace stoat::standins {

/// Settings of a stand-in.
struct BackendSettings {
  std::string name;
  std::string service;
  std::string zone;
  Endpoint listen;
  std::vector<Endpoint> control;  ///< of the control members' administration interfaces
  std::string model;              ///< empty: a plain service
  uint32_t slots = 8;
  uint64_t cache_tokens = 60000;
  double prefill_us_per_token = 100;  ///< for parts of a prompt that it does not hold
  Duration token_time = 20ms;         ///< between two tokens of a stream
  Duration work_time = 10ms;          ///< of a plain service's answer
  Duration load_time = 1s;            ///< to load weights
  std::string software;               ///< version of its program, as it tells control; empty: not told
  uint32_t fails_each = 0;            ///< of a plain service: each so many calls fail; 0: none
  double rate_limit = 0;              ///< requests a second that it names in its answers; 0: it names none
  double rest_s = 0;     ///< rest that it asks for when it turns a request away, in seconds; 0: none
  std::string crash_on;  ///< it crashes under a request whose body contains this; empty: under none
  /// The id of each request that begins to run is added to this file, which outlives the process; empty:
  /// none.
  std::string runs_file;
};

/// Reads the settings of a stand-in.
BackendSettings read_backend_settings(SettingsReader& reader);

/// The text of a token, which depends on the prompt and the index only: callers can check every answer, and
/// another engine goes on alike.
std::string token_text(const std::string& prompt_parts, uint32_t index);

/// The whole answer of a plain service.
inline constexpr char kCallAnswer[] = "done\n";

/// The header in which an engine tells how many tokens of the prompt it held.
inline constexpr char kCachedTokensHeader[] = "X-Cached-Tokens";

/// See the head of this file.
class BackendServer {
 public:
  BackendServer(EventLoop& loop, const BackendSettings& settings);

 private:
  struct Stream {
    http::ExchangePtr exchange;
    std::string prompt_parts;
    uint32_t next = 0;
    uint32_t end = 0;
  };
  void run(const http::ExchangePtr& exchange);
  /// True when it answered that it does not run the request.
  bool turn_away(const http::ExchangePtr& exchange);
  void run_stream(const http::ExchangePtr& exchange);
  void send_next(const std::shared_ptr<Stream>& stream);
  void run_call(const http::ExchangePtr& exchange);
  std::vector<http::Header> answer_headers(const http::Exchange& exchange) const;
  void note_run(const std::string& request) const;
  void take_order(const http::ExchangePtr& exchange);
  void tell_report(const http::ExchangePtr& exchange) const;
  void tell_cache_events(const http::ExchangePtr& exchange) const;
  nlohmann::json models() const;
  void send_heartbeat();
  void stop();

  EventLoop& loop_;
  BackendSettings settings_;
  std::string id_;  ///< new at every start
  uint64_t epoch_;  ///< of its cache
  control::FleetHttpInterface interface_;
  dispatch::HeaderNames names_;
  Logger log_{"standin"};
  http::Client client_;
  http::Server server_;
  PartCache cache_;
  uint64_t weights_ = 1;
  uint64_t orders_taken_ = 0;
  uint64_t highest_fence_ = 0;
  bool loading_ = false;
  uint32_t running_ = 0;
  uint64_t calls_ = 0;  ///< answered by a plain service
  TimePoint prefill_free_at_{0};
  uint64_t heartbeats_ = 0;
  bool stopping_ = false;
};

}  // namespace stoat::standins
