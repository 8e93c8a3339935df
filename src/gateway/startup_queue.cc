#include "src/gateway/startup_queue.h"

#include <algorithm>
#include <utility>

namespace stoat::gateway {

bool StartupQueue::add(WaitingRequest& request) {
  if (requests_.size() >= kMaxRequests) {
    return false;
  }
  requests_.push_back(std::move(request));
  return true;
}

void StartupQueue::remove(const edge::ResponseWriter* response) {
  std::erase_if(requests_,
                [response](const WaitingRequest& entry) { return entry.response.get() == response; });
}

std::vector<WaitingRequest> StartupQueue::take_all() { return std::exchange(requests_, {}); }

std::vector<WaitingRequest> StartupQueue::take_expired(TimePoint now) {
  const auto expired = std::stable_partition(
      requests_.begin(), requests_.end(), [now](const WaitingRequest& entry) { return now < entry.expires; });
  std::vector<WaitingRequest> taken(std::make_move_iterator(expired),
                                    std::make_move_iterator(requests_.end()));
  requests_.erase(expired, requests_.end());
  return taken;
}

Duration startup_wait_limit(std::optional<int64_t> client_timeout_ms, Duration max_wait) {
  return client_timeout_ms ? std::min(max_wait, Duration(500 * *client_timeout_ms)) : max_wait;
}

}  // namespace stoat::gateway
