/// FairQueue: priorities are strict, and flows are served according to their shares.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

#include "src/admission/fair_queue.h"

namespace stoat {
namespace {

RC_GTEST_PROP(FairQueueProperty, HigherPriorityGoesFirstAndFlowsKeepTheirOrder, ()) {
  admission::FairQueue queue;
  const auto count = *rc::gen::inRange(1, 60);
  for (int number = 0; number < count; ++number) {
    admission::FairQueueEntry waiting;
    waiting.request_id = static_cast<uint64_t>(number);
    waiting.flow = "flow-" + std::to_string(*rc::gen::inRange(0, 4));
    waiting.priority = *rc::gen::inRange(0, 3);
    waiting.cost = *rc::gen::inRange(1, 1000);
    queue.push(waiting);
  }
  int32_t last_priority = 100;
  std::map<std::pair<int32_t, std::string>, uint64_t> last_of_flow;
  int popped = 0;
  while (const auto waiting = queue.pop([](const admission::FairQueueEntry&) { return true; })) {
    ++popped;
    RC_ASSERT(waiting->priority <= last_priority);
    last_priority = waiting->priority;
    const auto key = std::make_pair(waiting->priority, waiting->flow);
    const auto last = last_of_flow.find(key);
    RC_ASSERT(last == last_of_flow.end() || last->second < waiting->request_id);
    last_of_flow[key] = waiting->request_id;
  }
  RC_ASSERT(popped == count);
  RC_ASSERT(queue.size() == 0U);
}

RC_GTEST_PROP(FairQueueProperty, BackloggedFlowsAreServedByTheirShares, ()) {
  admission::FairQueue queue;
  const auto heavy_share = *rc::gen::inRange(2, 6);
  for (uint64_t number = 0; number < 600; ++number) {
    queue.push({number, "light", 0, 1, 10});
    queue.push({1000 + number, "heavy", 0, static_cast<double>(heavy_share), 10});
  }
  std::map<std::string, int> served;
  for (int number = 0; number < 300; ++number) {
    ++served[queue.pop([](const admission::FairQueueEntry&) { return true; })->flow];
  }
  const double ratio = static_cast<double>(served["heavy"]) / std::max(1, served["light"]);
  RC_ASSERT(ratio > heavy_share * 0.85);
  RC_ASSERT(ratio < heavy_share * 1.15);
}

}  // namespace
}  // namespace stoat
