/// Collects the log events of one request until it ends, and then writes them: always if the request failed
/// or was late, and for a sample of the others. Under load the number of lines is limited, and the number of
/// requests left out is logged.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/common/log.h"
#include "src/common/time.h"

namespace stoat::events {

/// Limits on the request events that are written.
struct RequestLogOptions {
  double lines_per_second = 200;
  double burst_lines = 1000;
  uint32_t sample_one_in = 64;          ///< of the requests that succeeded in time
  Duration left_out_log_interval = 5s;  ///< between log lines with the counts of requests left out
};

/// Decides for one process which requests' events are written. The sample depends on the request's id only,
/// so all processes choose the same requests.
class RequestLogSampler {
 public:
  RequestLogSampler(Logger log, const RequestLogOptions& options) : log_(std::move(log)), options_(options) {}

  /// Returns true if a request that succeeded in time belongs to the sample.
  bool is_sampled(const std::string& request) const;
  /// Takes this many lines from the limit and returns true, or counts the request as left out under `outcome`
  /// and returns false.
  bool reserve_lines(size_t lines, const std::string& outcome, TimePoint now);
  /// Counts a request that succeeded in time and is not in the sample.
  void count_unsampled(const std::string& outcome, TimePoint now);
  const Logger& log() const { return log_; }

 private:
  struct LeftOutCounts {
    uint64_t not_sampled = 0;  ///< succeeded in time, not in the sample
    uint64_t over_limit = 0;   ///< beyond the limit on lines
  };
  void log_left_out_counts(TimePoint now);

  Logger log_;
  RequestLogOptions options_;
  double available_lines_ = -1;  ///< negative: not initialized
  TimePoint refilled_at_{0};
  TimePoint counts_logged_at_{0};
  std::map<std::string, LeftOutCounts> left_out_;  ///< by outcome
};

/// The log events of one request.
class RequestEventLog {
 public:
  explicit RequestEventLog(std::string request) : request_(std::move(request)) {}

  template <typename Event>
  void add(const Event& event) {
    lines_.push_back({log_now(), Event::kMessage, event.fields()});
  }
  /// Writes the events, unless they are not sampled or over the limit. `failed_or_late`: the request failed
  /// or was late, so its events are written even if it is not in the sample.
  void finish(RequestLogSampler& sampler, bool failed_or_late, const std::string& outcome, TimePoint now);

 private:
  struct Entry {
    LogTime time;
    const char* log_message;
    std::vector<LogField> fields;
  };
  std::string request_;
  std::vector<Entry> lines_;
};

}  // namespace stoat::events
