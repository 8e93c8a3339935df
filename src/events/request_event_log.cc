#include "src/events/request_event_log.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::events {

bool RequestLogSampler::is_sampled(const std::string& request) const {
  return options_.sample_one_in <= 1 || hash_bytes(request) % options_.sample_one_in == 0;
}

bool RequestLogSampler::reserve_lines(size_t lines, const std::string& outcome, TimePoint now) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double elapsed_s = static_cast<double>((now - refilled_at_).count()) / kMicrosecondsPerSecond;
  available_lines_ =
      available_lines_ < 0
          ? options_.burst_lines
          : std::min(options_.burst_lines, available_lines_ + elapsed_s * options_.lines_per_second);
  refilled_at_ = now;
  const bool has_room = available_lines_ >= static_cast<double>(lines);
  if (has_room) {
    available_lines_ -= static_cast<double>(lines);
  } else {
    ++left_out_[outcome].over_limit;
  }
  log_left_out_counts(now);
  return has_room;
}

void RequestLogSampler::count_unsampled(const std::string& outcome, TimePoint now) {
  ++left_out_[outcome].not_sampled;
  log_left_out_counts(now);
}

void RequestLogSampler::log_left_out_counts(TimePoint now) {
  if (counts_logged_at_ == TimePoint(0)) {
    counts_logged_at_ = now;
  }
  if (now - counts_logged_at_ < options_.left_out_log_interval || left_out_.empty()) {
    return;
  }
  for (const auto& [outcome, counts] : left_out_) {
    log_.info("requests left out of the log", {{"outcome", outcome},
                                               {"not_sampled", counts.not_sampled},
                                               {"no_room", counts.over_limit},
                                               {"since_ms", to_milliseconds(now - counts_logged_at_)}});
  }
  left_out_.clear();
  counts_logged_at_ = now;
}

void RequestEventLog::finish(RequestLogSampler& sampler, bool failed_or_late, const std::string& outcome,
                             TimePoint now) {
  if (!failed_or_late && !sampler.is_sampled(request_)) {
    sampler.count_unsampled(outcome, now);
    return;
  }
  if (!sampler.reserve_lines(lines_.size(), outcome, now)) {
    return;
  }
  for (Entry& entry : lines_) {
    entry.fields.insert(entry.fields.begin(), LogField("request", request_));
    sampler.log().write(entry.time, entry.log_message, std::move(entry.fields));
  }
  lines_.clear();
}

}  // namespace stoat::events
