// Limits and queues: what is leased never exceeds a ceiling, priorities are strict, shares are kept.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "src/admission/fair_queue.h"
#include "src/admission/quota.h"
#include "src/delivery/outlier_detector.h"
#include "src/delivery/retry_budget.h"

namespace stoat {
namespace {

RC_GTEST_PROP(QuotaProperty, LeasesAndUnleasedPartsNeverExceedTheCeiling, ()) {
  control::PolicyRow row;
  row.name = "tenant";
  row.requests_per_second = *rc::gen::inRange(1, 1000);
  row.tokens_per_second = *rc::gen::inRange(1, 100000);
  row.concurrent = *rc::gen::inRange(0, 200);
  const auto router_count = *rc::gen::inRange<size_t>(1, 12);
  admission::QuotaOwner owner{TimePoint(0)};
  TimePoint now{1};
  std::map<std::string, std::pair<TimePoint, wire::QuotaGrant>> held;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now += Duration(*rc::gen::inRange(0, 1500000));
    wire::QuotaRequest request;
    request.router = "router-" + std::to_string(*rc::gen::inRange<size_t>(0, router_count));
    request.name = row.name;
    request.demand_requests = *rc::gen::inRange(0, 2000);
    const wire::QuotaGrant grant = owner.grant(row, request, router_count, now);
    held[request.router] = {now + Duration(grant.lease_ms * 1000), grant};
    const admission::QuotaAmounts unleased = admission::unleased_part(row, router_count);
    double requests = 0;
    double concurrent = 0;
    for (size_t router = 0; router < router_count; ++router) {
      const auto lease = held.find("router-" + std::to_string(router));
      const bool runs = lease != held.end() && lease->second.first > now;
      requests += runs ? lease->second.second.requests_per_second : unleased.requests_per_second;
      concurrent += runs ? lease->second.second.concurrent : unleased.concurrent;
    }
    RC_ASSERT(requests <= row.requests_per_second * 1.0001);
    RC_ASSERT(concurrent <= row.concurrent + 1e-6);
  }
}

RC_GTEST_PROP(FairQueueProperty, AHigherClassAlwaysGoesFirstAndAFlowKeepsItsOrder, ()) {
  admission::FairQueue queue;
  const auto count = *rc::gen::inRange(1, 60);
  for (int number = 0; number < count; ++number) {
    admission::Waiting waiting;
    waiting.request_id = static_cast<uint64_t>(number);
    waiting.flow = "flow-" + std::to_string(*rc::gen::inRange(0, 4));
    waiting.priority = *rc::gen::inRange(0, 3);
    waiting.cost = *rc::gen::inRange(1, 1000);
    queue.push(waiting);
  }
  int32_t last_priority = 100;
  std::map<std::pair<int32_t, std::string>, uint64_t> last_of_flow;
  int popped = 0;
  while (const auto waiting = queue.pop([](const admission::Waiting&) { return true; })) {
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

RC_GTEST_PROP(FairQueueProperty, BusyFlowsAreServedByTheirShares, ()) {
  admission::FairQueue queue;
  const auto heavy_share = *rc::gen::inRange(2, 6);
  for (uint64_t number = 0; number < 600; ++number) {
    queue.push({number, "light", 0, 1, 10});
    queue.push({1000 + number, "heavy", 0, static_cast<double>(heavy_share), 10});
  }
  std::map<std::string, int> served;
  for (int number = 0; number < 300; ++number) {
    ++served[queue.pop([](const admission::Waiting&) { return true; })->flow];
  }
  const double ratio = static_cast<double>(served["heavy"]) / std::max(1, served["light"]);
  RC_ASSERT(ratio > heavy_share * 0.85);
  RC_ASSERT(ratio < heavy_share * 1.15);
}

RC_GTEST_PROP(RetryBudgetProperty, RetriesNeverExceedTheShareOfFirstAttempts, ()) {
  delivery::RetryBudget budget;
  const double start = budget.level();
  int attempts = 0;
  int retries = 0;
  for (const bool is_retry : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
    if (is_retry) {
      retries += budget.take() ? 1 : 0;
    } else {
      ++attempts;
      budget.on_first_attempt();
    }
    RC_ASSERT(retries <= start + 0.2 * attempts + 1e-6);
  }
}

RC_GTEST_PROP(OutlierProperty, NoMoreThanHalfOfTheBackendsAreEverEjected, ()) {
  delivery::OutlierDetector detector;
  const auto count = *rc::gen::inRange<size_t>(1, 12);
  for (size_t backend = 0; backend < count; ++backend) {
    detector.know("backend-" + std::to_string(backend));
  }
  TimePoint now{1};
  for (int step = 0; step < 100; ++step) {
    now += Duration(*rc::gen::inRange(0, 300000));
    const std::string backend = "backend-" + std::to_string(*rc::gen::inRange<size_t>(0, count));
    if (*rc::gen::inRange(0, 10) == 0) {
      detector.on_success(backend);
    } else {
      detector.on_failure(backend, now);
    }
    RC_ASSERT(detector.ejected(now) * 2 <= count);
  }
}

}  // namespace
}  // namespace stoat
