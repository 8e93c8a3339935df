/// Which caches a member follows, at ten thousand back ends: what a look costs follows what has changed.
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
      table_.set(record.id, record);
    }
    for (size_t number = 0; number < kMembers; ++number) {
      members_.push_back({"m" + std::to_string(number), "z" + std::to_string(number % 5)});
    }
  }
  bool look(Duration later = 100ms) {
    now_ += later;
    return duty_.update(table_, stores_, members_, now_);
  }
  TimePoint now_ = 100s;
  AssignedCaches::BackendTable table_;
  AssignedCaches::StoreZones stores_{{"s:1", "z1"}};
  std::vector<control::LiveMember> members_;
  AssignedCaches duty_{"m1", topology::Topology{}};
};

TEST_F(CacheDutyTest, ALookWithoutChangesLooksAtNothing) {
  EXPECT_TRUE(look());
  const uint64_t before = duty_.looked_at();
  EXPECT_EQ(before, kEngines + 1);
  for (int step = 0; step < 100; ++step) {
    EXPECT_FALSE(look());
  }
  EXPECT_EQ(duty_.looked_at(), before);
}

TEST_F(CacheDutyTest, OnlyWhatComesIsLookedAt) {
  look();
  const uint64_t before = duty_.looked_at();
  const fleet::BackendRecord added = engine(kEngines);
  table_.set(added.id, added);
  fleet::BackendRecord changed = engine(3);
  changed.loading = true;
  table_.set(changed.id, changed);
  look();
  EXPECT_EQ(duty_.looked_at(), before + 1);
  EXPECT_TRUE(duty_.knows(added.id));
}

TEST_F(CacheDutyTest, WhatGoesIsToldOnce) {
  look();
  table_.erase("e5");
  look();
  EXPECT_EQ(duty_.take_removed_backends(), std::vector<std::string>{"e5"});
  EXPECT_FALSE(duty_.knows("e5"));
  look();
  EXPECT_TRUE(duty_.take_removed_backends().empty());
}

TEST_F(CacheDutyTest, TheCachesOfAMemberThatIsHeardNoMoreAreDividedAnew) {
  look();
  const size_t before = duty_.mine().size();
  std::erase_if(members_, [](const auto& member) { return member.address == "m6"; });  // of the same zone
  EXPECT_TRUE(look());
  EXPECT_GT(duty_.mine().size(), before);
}

TEST_F(CacheDutyTest, AllAreLookedAtAgainAfterAWhile) {
  look();
  EXPECT_TRUE(look(31s));
}

}  // namespace
}  // namespace stoat
