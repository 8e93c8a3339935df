#include "src/rollout/answer_counter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stoat::rollout {

namespace {

constexpr double kFirstBucketMs = 2;
constexpr double kBucketsPerDoubling = 2;
/// Lower bounds of the prefill classes, in tokens.
constexpr uint64_t kPrefillThresholds[] = {512, 2048, 8192};
/// Lower bounds of the load classes, as fractions of the slots in use.
constexpr double kLoadThresholds[] = {0.5, 1.0};

}  // namespace

size_t latency_bucket(Duration time) {
  const double milliseconds = 1000 * to_seconds(time);
  if (milliseconds <= kFirstBucketMs) {
    return 0;
  }
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(milliseconds / kFirstBucketMs));
  return std::min(kLatencyBuckets - 1, static_cast<size_t>(bucket));
}

uint8_t classify_condition(uint64_t prefill_tokens, uint32_t outstanding, uint32_t slots) {
  int prefill_class = 0;
  for (const uint64_t threshold : kPrefillThresholds) {
    prefill_class += prefill_tokens >= threshold ? 1 : 0;
  }
  const double slot_utilization = static_cast<double>(outstanding) / std::max<uint32_t>(1, slots);
  int load_class = 0;
  for (const double threshold : kLoadThresholds) {
    load_class += slot_utilization >= threshold ? 1 : 0;
  }
  return static_cast<uint8_t>(prefill_class * kLoadClasses + load_class);
}

bool is_at_least_as_hard(uint8_t condition, uint8_t base) {
  return condition / kLoadClasses >= base / kLoadClasses && condition % kLoadClasses >= base % kLoadClasses;
}

fleet::AnswerTotals& AnswerCounter::sums_of(const fleet::AnswerKey& key) {
  changed_.insert(key);
  fleet::AnswerTotals& sums = counts_[key];
  sums.times.resize(kLatencyBuckets);
  return sums;
}

void AnswerCounter::begin(CountedRequest& request, TimePoint now) {
  request.sent_at = now;
  // Requests to the target version are counted when sent and the others when they end, so that the target
  // version's share is never underestimated.
  if (request.key.target) {
    ++sums_of(request.key).sent;
  }
}

void AnswerCounter::first_event(CountedRequest& request, TimePoint now) {
  if (!request.timed) {
    request.timed = true;
    ++sums_of(request.key).times[latency_bucket(now - request.sent_at)];
  }
}

void AnswerCounter::end(CountedRequest& request, SendOutcome end, TimePoint now) {
  if (end == SendOutcome::kNotRun) {
    return;
  }
  if (!request.key.target) {
    ++sums_of(request.key).sent;
  }
  switch (end) {
    case SendOutcome::kAnswered:
    case SendOutcome::kTimedOut:
      first_event(request, now);
      break;
    case SendOutcome::kFailed:
      ++sums_of(request.key).failed;
      break;
    case SendOutcome::kBroken:
      ++sums_of(request.key).broken;
      break;
    case SendOutcome::kAbandoned:
      // Callers also abandon fast answers. The answer counts as slow only if the caller waited for longer
      // than the objective.
      if (now - request.sent_at > request.objective) {
        first_event(request, now);
      }
      break;
    case SendOutcome::kNotRun:
      break;
  }
}

void AnswerCounter::retain_only(const std::set<uint64_t>& rollouts) {
  const auto is_finished = [&](const fleet::AnswerKey& key) { return rollouts.count(key.rollout) == 0; };
  std::erase_if(counts_, [&](const auto& entry) { return is_finished(entry.first); });
  std::erase_if(changed_, is_finished);
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
