/// Keeps the events of one request until it ends, and writes them when they are worth it: always when it
/// failed or was late, and for a sample of the others. Under load the number of lines is bounded, and what
/// was left out is told in the log.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/common/log.h"
#include "src/common/time.h"

namespace stoat::events {

/// How many requests are written.
struct StoryOptions {
  double lines_per_second = 200;
  double burst_lines = 1000;
  uint32_t sample_one_in = 64;  ///< of the requests that ended well
  Duration sum_interval = 5s;   ///< between sums of what was left out
};

/// Decides which stories are written, for one process. The sample is taken by the request's id, so all
/// processes take the same.
class RequestLogSampler {
 public:
  RequestLogSampler(Logger log, const StoryOptions& options) : log_(std::move(log)), options_(options) {}

  /// True when a request that ended well belongs to the sample.
  bool sampled(const std::string& request) const;
  /// Takes room for so many lines; without room the story counts as left out under `outcome`.
  bool take_lines(size_t lines, const std::string& outcome, TimePoint now);
  /// Counts a story that ended well and is not in the sample.
  void skip(const std::string& outcome, TimePoint now);
  const Logger& log() const { return log_; }

 private:
  struct LeftOut {
    uint64_t sample = 0;   ///< ended well, not in the sample
    uint64_t no_room = 0;  ///< beyond the bound of lines
  };
  void tell_sums(TimePoint now);

  Logger log_;
  StoryOptions options_;
  double room_ = -1;  ///< lines; negative: not begun
  TimePoint filled_at_{0};
  TimePoint told_at_{0};
  std::map<std::string, LeftOut> left_out_;  ///< by outcome
};

/// See the head of this file.
class RequestEventLog {
 public:
  explicit RequestEventLog(std::string request) : request_(std::move(request)) {}

  template <typename Event>
  void add(const Event& event) {
    lines_.push_back({log_now(), Event::kMessage, event.fields()});
  }
  /// Ends the story. `noteworthy`: failed or late.
  void finish(RequestLogSampler& book, bool noteworthy, const std::string& outcome, TimePoint now);

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
