#include "src/gateway/start_queue.h"

#include <algorithm>
#include <utility>

namespace stoat::gateway {

bool StartQueue::add(WaitingRequest& request) {
  if (requests_.size() >= kMostRequests) {
    return false;
  }
  requests_.push_back(std::move(request));
  return true;
}

void StartQueue::remove(const edge::ResponseWriter* answer) {
  std::erase_if(requests_, [answer](const WaitingRequest& entry) { return entry.answer.get() == answer; });
}

std::vector<WaitingRequest> StartQueue::take_all() { return std::exchange(requests_, {}); }

std::vector<WaitingRequest> StartQueue::take_expired(TimePoint now) {
  const auto expired = std::stable_partition(
      requests_.begin(), requests_.end(), [now](const WaitingRequest& entry) { return now < entry.expires; });
  std::vector<WaitingRequest> taken(std::make_move_iterator(expired),
                                    std::make_move_iterator(requests_.end()));
  requests_.erase(expired, requests_.end());
  return taken;
}

Duration start_wait(std::optional<int64_t> caller_limit_ms, Duration most) {
  return caller_limit_ms ? std::min(most, Duration(500 * *caller_limit_ms)) : most;
}

}  // namespace stoat::gateway
