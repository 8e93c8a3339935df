#include "src/admission/retry_scheduler.h"

#include <algorithm>

namespace stoat::admission {

namespace {

/// An estimate below this is no basis: one request in ten seconds, as long as callers are ever asked to wait.
constexpr double kLeastPerSecond = 0.1;
/// Weight of each refusal in the mean of the time left.
constexpr double kMeanWeight = 0.1;
/// Callers with more time left than the mean come back later, by so many times at the most.
constexpr double kMostTimesMean = 2;

}  // namespace

void RetryScheduler::shorten(double per_second, TimePoint now) {
  for (auto& [tenant, line] : lines_) {
    line.length -= to_seconds(now - line.counted_at) * per_second / static_cast<double>(lines_.size());
    line.counted_at = now;
  }
  std::erase_if(lines_, [](const auto& entry) { return entry.second.length <= 0; });
}

Duration RetryScheduler::book(const RefusedRequest& request, double per_second, Random& random,
                              TimePoint now) {
  const double rate = std::max(kLeastPerSecond, per_second);
  shorten(rate, now);
  Line& line = lines_[request.tenant];
  line.counted_at = now;
  const double time_left_s = std::max(0.0, to_seconds(request.time_left));
  const bool begins = line.length <= 0;
  line.mean_time_left_s += (time_left_s - line.mean_time_left_s) * (begins ? 1 : kMeanWeight);
  const double relative =
      line.mean_time_left_s > 0 ? std::min(kMostTimesMean, time_left_s / line.mean_time_left_s) : 1;
  // The random part keeps routers that refuse at the same moment apart.
  const double place = line.length * relative + random.unit();
  line.length += 1;
  const double own_rate = rate / static_cast<double>(lines_.size());
  return std::min(longest_, request.time_to_room + from_seconds(place / own_rate));
}

}  // namespace stoat::admission
