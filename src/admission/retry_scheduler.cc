#include "src/admission/retry_scheduler.h"

#include <algorithm>

namespace stoat::admission {

namespace {

/// Minimum assumed rate; lower estimates are unreliable. Corresponds to one request in ten seconds, the
/// longest delay ever given to callers.
constexpr double kMinPerSecond = 0.1;
/// Weight of each refusal in the moving average of the time left.
constexpr double kMeanWeight = 0.1;
/// Callers with more time left than the average are given a later place, by at most this factor.
constexpr double kMaxRelativeTimeLeft = 2;

}  // namespace

void RetryScheduler::drain(double per_second, TimePoint now) {
  for (auto& [tenant, queue] : retry_queues_) {
    queue.length -=
        to_seconds(now - queue.updated_at) * per_second / static_cast<double>(retry_queues_.size());
    queue.updated_at = now;
  }
  std::erase_if(retry_queues_, [](const auto& entry) { return entry.second.length <= 0; });
}

Duration RetryScheduler::schedule_retry(const RefusedRequest& request, double per_second, Random& random,
                                        TimePoint now) {
  const double rate = std::max(kMinPerSecond, per_second);
  drain(rate, now);
  RetryQueue& queue = retry_queues_[request.tenant];
  queue.updated_at = now;
  const double time_left_s = std::max(0.0, to_seconds(request.time_left));
  const bool is_new = queue.length <= 0;
  queue.mean_time_left_s += (time_left_s - queue.mean_time_left_s) * (is_new ? 1 : kMeanWeight);
  const double relative_time_left =
      queue.mean_time_left_s > 0 ? std::min(kMaxRelativeTimeLeft, time_left_s / queue.mean_time_left_s) : 1;
  // The random offset separates routers that refuse at the same moment.
  const double place = queue.length * relative_time_left + random.uniform_real();
  queue.length += 1;
  const double own_rate = rate / static_cast<double>(retry_queues_.size());
  return std::min(max_delay_, request.time_to_room + from_seconds(place / own_rate));
}

}  // namespace stoat::admission
