// Invariants of the fault plans that stoat-chaos runs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "tools/fault_plan.h"

namespace stoat::tools {
namespace {

RC_GTEST_PROP(FaultPlanProperty, FaultsOfAGroupDoNotOverlapAndEndInTime, (uint64_t seed)) {
  const FaultTargets targets{{"c1", "c2", "c3"}, {"r1", "e1", "e2"}};
  const std::vector<PlannedFault> plan = plan_faults(targets, 30s, seed);
  std::map<std::string, TimePoint> group_end;
  TimePoint last{0};
  for (const PlannedFault& fault : plan) {
    const std::string group = fault.process.front() == 'c' ? "members" : fault.process;
    RC_ASSERT(fault.at >= last);
    RC_ASSERT(fault.at > group_end[group]);
    RC_ASSERT(fault.at + fault.length <= Duration(30s));
    group_end[group] = fault.at + fault.length;
    last = fault.at;
  }
}

TEST(FaultPlan, IsTheSameForTheSameSeed) {
  const FaultTargets targets{{"c1"}, {"r1"}};
  const auto first = plan_faults(targets, 60s, 7);
  const auto second = plan_faults(targets, 60s, 7);
  ASSERT_FALSE(first.empty());
  ASSERT_EQ(first.size(), second.size());
  EXPECT_EQ(first.back().at, second.back().at);
  EXPECT_EQ(first.back().process, second.back().process);
}

}  // namespace
}  // namespace stoat::tools
