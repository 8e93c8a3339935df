#include "src/rollout/answer_counter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stoat::rollout {

namespace {

constexpr double kFirstBucketMs = 2;
constexpr double kBucketsPerDoubling = 2;
/// From so many tokens on, reading is of the next class.
constexpr uint64_t kReadingSteps[] = {512, 2048, 8192};
/// From such parts of the slots on, the load is of the next class.
constexpr double kLoadSteps[] = {0.5, 1.0};

}  // namespace

size_t latency_bucket(Duration time) {
  const double milliseconds = 1000 * to_seconds(time);
  if (milliseconds <= kFirstBucketMs) {
    return 0;
  }
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(milliseconds / kFirstBucketMs));
  return std::min(kLatencyBuckets - 1, static_cast<size_t>(bucket));
}

uint8_t classify_condition(uint64_t tokens_to_read, uint32_t outstanding, uint32_t slots) {
  int reading = 0;
  for (const uint64_t step : kReadingSteps) {
    reading += tokens_to_read >= step ? 1 : 0;
  }
  const double taken = static_cast<double>(outstanding) / std::max<uint32_t>(1, slots);
  int load = 0;
  for (const double step : kLoadSteps) {
    load += taken >= step ? 1 : 0;
  }
  return static_cast<uint8_t>(reading * kLoadClasses + load);
}

bool no_easier(uint8_t condition, uint8_t than) {
  return condition / kLoadClasses >= than / kLoadClasses && condition % kLoadClasses >= than % kLoadClasses;
}

fleet::AnswerTotals& AnswerCounter::sums_of(const fleet::AnswerKey& key) {
  changed_.insert(key);
  fleet::AnswerTotals& sums = counts_[key];
  sums.times.resize(kLatencyBuckets);
  return sums;
}

void AnswerCounter::begin(CountedRequest& send, TimePoint now) {
  send.sent_at = now;
  // Sends to the target version count at once and the others when they have ended, so that the share that the
  // target version got is never taken to be smaller than it is.
  if (send.key.target) {
    ++sums_of(send.key).sent;
  }
}

void AnswerCounter::first_event(CountedRequest& send, TimePoint now) {
  if (!send.timed) {
    send.timed = true;
    ++sums_of(send.key).times[latency_bucket(now - send.sent_at)];
  }
}

void AnswerCounter::end(CountedRequest& send, SendOutcome end, TimePoint now) {
  if (end == SendOutcome::kNotRun) {
    return;
  }
  if (!send.key.target) {
    ++sums_of(send.key).sent;
  }
  switch (end) {
    case SendOutcome::kAnswered:
    case SendOutcome::kTimedOut:
      first_event(send, now);
      break;
    case SendOutcome::kFailed:
      ++sums_of(send.key).failed;
      break;
    case SendOutcome::kBroken:
      ++sums_of(send.key).broken;
      break;
    case SendOutcome::kAbandoned:
      // Callers leave fast answers as well; one that has waited in vain for so long has seen a slow one.
      if (now - send.sent_at > send.objective) {
        first_event(send, now);
      }
      break;
    case SendOutcome::kNotRun:
      break;
  }
}

void AnswerCounter::keep(const std::set<uint64_t>& rollouts) {
  const auto other = [&](const fleet::AnswerKey& key) { return rollouts.count(key.rollout) == 0; };
  std::erase_if(counts_, [&](const auto& entry) { return other(entry.first); });
  std::erase_if(changed_, other);
}

std::vector<fleet::AnswerCount> AnswerCounter::take_changes() {
  std::vector<fleet::AnswerCount> list;
  for (const fleet::AnswerKey& key : std::exchange(changed_, {})) {
    list.push_back({key, counts_.at(key)});
  }
  return list;
}

std::vector<fleet::AnswerCount> AnswerCounter::take_all() {
  changed_.clear();
  std::vector<fleet::AnswerCount> list;
  for (const auto& [key, sums] : counts_) {
    list.push_back({key, sums});
  }
  return list;
}

}  // namespace stoat::rollout
