/// The assignment of caches to a member, with 10,000 backends: the cost of an update must depend on what has
/// changed.
#include "src/control/assigned_caches.h"

#include <gtest/gtest.h>

namespace stoat {
namespace {

using control::AssignedCaches;

constexpr size_t kEngines = 10000;
constexpr size_t kMembers = 10;

fleet::BackendRecord engine(size_t number) {
  fleet::BackendRecord record;
  record.id = "e" + std::to_string(number);
  record.address = "10.0.0.1:" + std::to_string(number + 1);
  record.zone = "z" + std::to_string(number % 5);
  record.models = {{"m", 1}};
  return record;
}

class CacheDutyTest : public testing::Test {
 protected:
  CacheDutyTest() {
    for (size_t number = 0; number < kEngines; ++number) {
      const fleet::BackendRecord record = engine(number);
      backends_.set(record.id, record);
    }
    for (size_t number = 0; number < kMembers; ++number) {
      members_.push_back({"m" + std::to_string(number), "z" + std::to_string(number % 5)});
    }
  }
  bool run_update(Duration elapsed = 100ms) {
    now_ += elapsed;
    return assignment_.update(backends_, stores_, members_, now_);
  }
  TimePoint now_ = 100s;
  AssignedCaches::BackendTable backends_;
  AssignedCaches::StoreZones stores_{{"s:1", "z1"}};
  std::vector<control::LiveMember> members_;
  AssignedCaches assignment_{"m1", topology::Topology{}};
};

TEST_F(CacheDutyTest, UpdateWithoutChangesEvaluatesNothing) {
  EXPECT_TRUE(run_update());
  const uint64_t before = assignment_.evaluations();
  EXPECT_EQ(before, kEngines + 1);
  for (int step = 0; step < 100; ++step) {
    EXPECT_FALSE(run_update());
  }
  EXPECT_EQ(assignment_.evaluations(), before);
}

TEST_F(CacheDutyTest, EvaluatesOnlyAddedBackends) {
  run_update();
  const uint64_t before = assignment_.evaluations();
  const fleet::BackendRecord added = engine(kEngines);
  backends_.set(added.id, added);
  fleet::BackendRecord changed = engine(3);
  changed.loading = true;
  backends_.set(changed.id, changed);
  run_update();
  EXPECT_EQ(assignment_.evaluations(), before + 1);
  EXPECT_TRUE(assignment_.contains(added.id));
}

TEST_F(CacheDutyTest, ReportsARemovedBackendOnce) {
  run_update();
  backends_.erase("e5");
  run_update();
  EXPECT_EQ(assignment_.take_removed_backends(), std::vector<std::string>{"e5"});
  EXPECT_FALSE(assignment_.contains("e5"));
  run_update();
  EXPECT_TRUE(assignment_.take_removed_backends().empty());
}

TEST_F(CacheDutyTest, ReassignsTheCachesOfALostMember) {
  run_update();
  const size_t before = assignment_.assigned().size();
  // m6 is in the same zone as m1.
  std::erase_if(members_, [](const auto& member) { return member.address == "m6"; });
  EXPECT_TRUE(run_update());
  EXPECT_GT(assignment_.assigned().size(), before);
}

TEST_F(CacheDutyTest, ReevaluatesAllCachesAfterAnInterval) {
  run_update();
  EXPECT_TRUE(run_update(31s));
}

}  // namespace
}  // namespace stoat
