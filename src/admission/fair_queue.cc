#include "src/admission/fair_queue.h"

#include <algorithm>

namespace stoat::admission {

namespace {

constexpr double kMinShare = 1e-6;

double virtual_cost(const FairQueueEntry& waiting) {
  return waiting.cost / std::max(waiting.share, kMinShare);
}

}  // namespace

void FairQueue::push(const FairQueueEntry& waiting) {
  PriorityClass& priority_class = classes_[waiting.priority];
  Flow& flow = priority_class.flows[waiting.flow];
  if (flow.requests.empty()) {
    // An idle flow gets no credit for the time it did not use.
    flow.virtual_time = std::max(flow.virtual_time, priority_class.virtual_time);
  }
  const auto later = [](TimePoint due, const FairQueueEntry& entry) { return due < entry.due; };
  flow.requests.insert(std::upper_bound(flow.requests.begin(), flow.requests.end(), waiting.due, later),
                       waiting);
  ++size_;
}

std::optional<FairQueueEntry> FairQueue::pop(const std::function<bool(const FairQueueEntry&)>& eligible) {
  for (auto& [priority, priority_class] : classes_) {
    Flow* next_flow = nullptr;
    for (auto& [name, flow] : priority_class.flows) {
      const bool earlier = next_flow == nullptr || flow.virtual_time < next_flow->virtual_time;
      if (!flow.requests.empty() && earlier && eligible(flow.requests.front())) {
        next_flow = &flow;
      }
    }
    if (next_flow == nullptr) {
      continue;
    }
    FairQueueEntry waiting = std::move(next_flow->requests.front());
    next_flow->requests.pop_front();
    --size_;
    priority_class.virtual_time = std::max(priority_class.virtual_time, next_flow->virtual_time);
    next_flow->virtual_time += virtual_cost(waiting);
    return waiting;
  }
  return std::nullopt;
}

void FairQueue::put_back(const FairQueueEntry& waiting) {
  Flow& flow = classes_[waiting.priority].flows[waiting.flow];
  flow.virtual_time -= virtual_cost(waiting);
  flow.requests.push_front(waiting);
  ++size_;
}

bool FairQueue::remove(uint64_t request_id) {
  for (auto& [priority, priority_class] : classes_) {
    for (auto& [name, flow] : priority_class.flows) {
      const auto found =
          std::find_if(flow.requests.begin(), flow.requests.end(),
                       [&](const FairQueueEntry& waiting) { return waiting.request_id == request_id; });
      if (found != flow.requests.end()) {
        flow.requests.erase(found);
        --size_;
        return true;
      }
    }
  }
  return false;
}

double FairQueue::cost_ahead(int32_t priority) const {
  double cost = 0;
  for (const auto& [class_priority, priority_class] : classes_) {
    if (class_priority < priority) {
      break;
    }
    for (const auto& [name, flow] : priority_class.flows) {
      for (const FairQueueEntry& waiting : flow.requests) {
        cost += waiting.cost;
      }
    }
  }
  return cost;
}

}  // namespace stoat::admission
