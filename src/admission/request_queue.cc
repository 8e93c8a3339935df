#include "src/admission/request_queue.h"

#include <utility>

namespace stoat::admission {

namespace {

int32_t to_priority(uint32_t urgency) { return -static_cast<int32_t>(urgency); }

}  // namespace

uint64_t RequestQueue::push(const QueuedRequest& request, QueueCallbacks callbacks) {
  const uint64_t number = ++last_number_;
  FairQueueEntry waiting;
  waiting.request_id = number;
  waiting.flow = request.tenant;
  waiting.priority = to_priority(request.urgency);
  waiting.cost = request.slot_ms;
  waiting.due = request.deadline;
  queue_.push(waiting);
  callbacks_[number] = std::move(callbacks);
  return number;
}

void RequestQueue::cancel(uint64_t number) {
  if (callbacks_.erase(number) > 0) {
    queue_.remove(number);
  }
}

void RequestQueue::send_ready() {
  const auto has_room = [this](const FairQueueEntry& waiting) {
    return callbacks_.at(waiting.request_id).has_room();
  };
  while (const auto next = queue_.pop(has_room)) {
    const QueueCallbacks callbacks = std::move(callbacks_.at(next->request_id));
    callbacks_.erase(next->request_id);
    callbacks.send();
  }
}

bool RequestQueue::none_as_urgent(uint32_t urgency) const {
  return queue_.cost_ahead(to_priority(urgency)) <= 0;
}

}  // namespace stoat::admission
