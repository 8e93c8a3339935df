/// An open-loop load generator: sends planned requests to routers at their planned times and checks every
/// response.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "src/dispatch/request_protocol.h"
#include "src/http/client.h"
#include "tools/request_mix.h"

namespace stoat::tools {

/// The routers to send to, and the host, credential and model that requests carry.
struct LoadTarget {
  std::vector<Endpoint> routers;
  std::string host = "demo";
  std::string key = "demo-key";
  std::string model = "demo-model";
  dispatch::HeaderNames headers = {};
};

/// The headers of any request to the target.
std::vector<http::Header> request_headers(const LoadTarget& target, const std::string& request_id,
                                          int64_t deadline_ms);

/// How a request ended, as seen by the client.
enum class RequestOutcome : uint8_t {
  kComplete,  ///< 200 with the expected body
  kRefused,   ///< 429 or 503, which guarantee that the request has not run and will not run
  kFailed,    ///< any other status, or no response: the request may have run
  kWrong,     ///< 200 with an incorrect body
};

/// The outcome of one request.
struct RequestRecord {
  PlannedRequest planned;
  RequestOutcome outcome = RequestOutcome::kFailed;
  int status = 0;
  Duration time_to_first_event{0};  ///< from the planned time; plain service: to the response
  uint32_t cached_tokens = 0;       ///< prompt tokens that the engine had cached
  bool late = false;                ///< complete, but later than the class's target_ms
  bool ended = false;
};

/// Sends one plan on an event loop. Sending never waits for earlier responses.
class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, LoadTarget target, std::vector<RequestClass> classes,
                std::vector<PlannedRequest> plan);

  /// Called when all requests have ended.
  std::function<void()> on_finished;
  void start();
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  void send_due();
  void send(size_t position);
  http::ClientRequest make_request(size_t position) const;
  void on_piece(size_t position, const std::string& piece);
  void on_done(size_t position, const http::ClientResult& result);
  bool is_correct_response(size_t position, const http::ClientResult& result) const;

  EventLoop& loop_;
  http::Client client_;
  LoadTarget target_;
  const dispatch::HeaderNames& names_ = target_.headers;
  std::vector<RequestClass> classes_;
  std::vector<RequestRecord> records_;
  std::vector<std::string> bodies_;  ///< received so far, of streams
  TimePoint started_{0};
  size_t next_position_ = 0;
  size_t ended_count_ = 0;
};

/// An action to run during a load, `at` after its start.
struct TimedAction {
  Duration at{0};
  std::function<void()> action;
};

/// Sends the planned requests and runs the actions at their times. Returns when all requests have ended.
std::vector<RequestRecord> run_load(const LoadTarget& target, const std::vector<RequestClass>& classes,
                                    std::vector<PlannedRequest> plan,
                                    const std::vector<TimedAction>& actions = {});

/// Summarizes a run. `repeats`: how often the routers repeated a request at another backend; negative:
/// unknown.
nlohmann::json make_report(const std::vector<RequestClass>& classes,
                           const std::vector<RequestRecord>& records, int64_t repeats);

/// Formats the report as a text table.
std::string report_table(const nlohmann::json& report);

}  // namespace stoat::tools
