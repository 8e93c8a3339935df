/// Sends a plan of requests to routers in an open loop and checks every answer.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "src/dispatch/request_protocol.h"
#include "src/http/client.h"
#include "tools/request_mix.h"

namespace stoat::tools {

/// Where and for whom requests are sent.
struct LoadTarget {
  std::vector<Endpoint> routers;
  std::string host = "demo";
  std::string key = "demo-key";
  std::string model = "demo-model";
};

/// How a request ended, as its caller sees it.
enum class CallerOutcome : uint8_t {
  kComplete,
  kRefused,  ///< 429 or 503: a promise that it has not run and will not
  kFailed,   ///< any other answer, or none: it may have run
  kWrong,    ///< an answer that is not the right one
};

/// What became of one request.
struct RequestRecord {
  PlannedRequest planned;
  CallerOutcome outcome = CallerOutcome::kFailed;
  int status = 0;
  Duration first_event{0};  ///< since its planned time; of whole answers: the answer
  uint32_t cached_tokens = 0;
  bool late = false;
  bool ended = false;
};

/// See the head of this file.
class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, LoadTarget target, std::vector<RequestClass> classes,
                std::vector<PlannedRequest> plan);

  /// Called once all requests have ended.
  std::function<void()> on_finished;
  void start();
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  void send_due();
  void send(size_t position);
  http::ClientRequest make_request(size_t position) const;
  void on_piece(size_t position, const std::string& piece);
  void on_done(size_t position, const http::ClientResult& result);
  bool right_answer(size_t position, const http::ClientResult& result) const;

  EventLoop& loop_;
  http::Client client_;
  LoadTarget target_;
  dispatch::HeaderNames names_;
  std::vector<RequestClass> classes_;
  std::vector<RequestRecord> records_;
  std::vector<std::string> bodies_;  ///< of streams
  TimePoint started_{0};
  size_t next_ = 0;
  size_t ended_ = 0;
};

/// Something that is done while a load runs.
struct TimedAction {
  Duration at{0};
  std::function<void()> action;
};

/// Sends a plan, does the actions on the way, and returns when all requests have ended.
std::vector<RequestRecord> run_load(const LoadTarget& target, const std::vector<RequestClass>& classes,
                                    std::vector<PlannedRequest> plan,
                                    const std::vector<TimedAction>& actions = {});

/// What a run showed. `repeats`: requests that routers sent to a second back end; negative: not asked.
nlohmann::json make_report(const std::vector<RequestClass>& classes,
                           const std::vector<RequestRecord>& records, int64_t repeats);

/// The report as a table for people.
std::string report_table(const nlohmann::json& report);

}  // namespace stoat::tools
