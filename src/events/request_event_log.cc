#include "src/events/request_event_log.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::events {

bool RequestLogSampler::sampled(const std::string& request) const {
  return options_.sample_one_in <= 1 || hash_bytes(request) % options_.sample_one_in == 0;
}

bool RequestLogSampler::take_lines(size_t lines, const std::string& outcome, TimePoint now) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double passed = static_cast<double>((now - filled_at_).count()) / kMicrosecondsPerSecond;
  room_ = room_ < 0 ? options_.burst_lines
                    : std::min(options_.burst_lines, room_ + passed * options_.lines_per_second);
  filled_at_ = now;
  const bool room = room_ >= static_cast<double>(lines);
  if (room) {
    room_ -= static_cast<double>(lines);
  } else {
    ++left_out_[outcome].no_room;
  }
  tell_sums(now);
  return room;
}

void RequestLogSampler::skip(const std::string& outcome, TimePoint now) {
  ++left_out_[outcome].sample;
  tell_sums(now);
}

void RequestLogSampler::tell_sums(TimePoint now) {
  if (told_at_ == TimePoint(0)) {
    told_at_ = now;
  }
  if (now - told_at_ < options_.sum_interval || left_out_.empty()) {
    return;
  }
  for (const auto& [outcome, counts] : left_out_) {
    log_.info("requests left out of the log", {{"outcome", outcome},
                                               {"not_sampled", counts.sample},
                                               {"no_room", counts.no_room},
                                               {"since_ms", to_milliseconds(now - told_at_)}});
  }
  left_out_.clear();
  told_at_ = now;
}

void RequestEventLog::finish(RequestLogSampler& book, bool noteworthy, const std::string& outcome,
                             TimePoint now) {
  if (!noteworthy && !book.sampled(request_)) {
    book.skip(outcome, now);
    return;
  }
  if (!book.take_lines(lines_.size(), outcome, now)) {
    return;
  }
  for (Entry& entry : lines_) {
    entry.fields.insert(entry.fields.begin(), LogField("request", request_));
    book.log().write(entry.time, entry.log_message, std::move(entry.fields));
  }
  lines_.clear();
}

}  // namespace stoat::events
