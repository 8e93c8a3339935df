/// Sends a planned workload to sidecars in an open loop and checks every answer.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "src/http/client.h"
#include "src/http/event_stream.h"
#include "tools/quantiles.h"
#include "tools/workload.h"

namespace stoat::tools {

/// What became of one request.
struct RequestRecord {
  PlannedRequest planned;
  TimePoint intended{0};
  TimePoint first_token{0};  ///< 0: none came
  TimePoint last_token{0};
  TimePoint ended{0};
  int status = 0;
  std::string error_code;  ///< empty: complete
  std::string outcome;
  uint32_t pieces = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  bool has_retry_after = false;
  bool text_correct = true;
  bool finished = false;
};

/// Sends the plan; each latency counts from the intended send time.
class LoadRunner {
 public:
  LoadRunner(EventLoop& loop, std::vector<Endpoint> sidecars, std::vector<PlannedRequest> plan);

  /// Called once all answers are in.
  std::function<void()> on_finished;
  void start();
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  /// Reads one answer as it comes.
  struct Reading {
    http::EventStream stream;
    std::string text;
    bool done = false;
  };
  void send_due();
  void send(size_t position);
  void on_bytes(size_t position, const std::string& bytes);
  void on_event(size_t position, const std::string& data);
  void on_done(size_t position, const http::ClientResult& result);

  EventLoop& loop_;
  http::Client client_;
  std::vector<Endpoint> sidecars_;
  std::vector<RequestRecord> records_;
  std::vector<Reading> readings_;
  TimePoint started_{0};
  size_t next_ = 0;
  size_t open_ = 0;
  bool finished_ = false;
};

/// Something that is done while a load runs.
struct TimedAction {
  Duration at{0};
  std::function<void()> action;
};

/// Sends a workload to sidecars, does the actions on the way, and returns when all answers are in.
std::vector<RequestRecord> run_workload(const std::vector<Endpoint>& sidecars,
                                        const WorkloadSettings& workload,
                                        const std::vector<TimedAction>& actions = {});

/// The report on a finished run.
nlohmann::json make_report(const std::vector<RequestRecord>& records);

/// Runs per idempotency key in the ledgers, as far as they can be read: how many keys ran more than once, and
/// the checks of the answers against them.
nlohmann::json check_ledgers(const std::vector<RequestRecord>& records,
                             const std::map<std::string, uint32_t>& runs_per_key);

/// The report as a short table.
std::string report_table(const nlohmann::json& report);

}  // namespace stoat::tools
