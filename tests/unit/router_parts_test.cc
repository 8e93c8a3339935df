// Small parts of the router and of delivery.
#include <gtest/gtest.h>

#include "src/delivery/stream_assembler.h"
#include "src/router/engine_homes.h"

namespace stoat {
namespace {

std::vector<std::string> numbered(const std::string& prefix, size_t count) {
  std::vector<std::string> names;
  for (size_t number = 0; number < count; ++number) {
    names.push_back(prefix + std::to_string(number));
  }
  return names;
}

TEST(EngineHomesTest, NoRouterFollowsMoreThanTheAverageRoundedUp) {
  const auto homes = router::assign_engine_homes(numbered("engine-", 200), numbered("router-", 123));
  ASSERT_EQ(homes.size(), 200U);
  std::map<std::string, size_t> count;
  for (const auto& [engine, home] : homes) {
    EXPECT_LE(++count[home], 2U) << home;
  }
}

TEST(EngineHomesTest, MostEnginesStayWhereTheyAreWhenARouterGoes) {
  const auto before = router::assign_engine_homes(numbered("engine-", 60), numbered("router-", 12));
  std::vector<std::string> routers = numbered("router-", 12);
  routers.pop_back();
  const auto after = router::assign_engine_homes(numbered("engine-", 60), routers);
  size_t moved = 0;
  for (const auto& [engine, home] : before) {
    moved += after.at(engine) != home;
  }
  EXPECT_LE(moved, 20U);
}

TEST(EngineHomesTest, WithoutRoutersThereAreNoHomes) {
  EXPECT_TRUE(router::assign_engine_homes(numbered("engine-", 3), {}).empty());
}

TEST(StreamAssemblerTest, PassesEachPieceOnOnceAndNoticesAGap) {
  delivery::StreamAssembler assembler;
  EXPECT_EQ(assembler.accept(0), delivery::PieceVerdict::kDeliver);
  EXPECT_EQ(assembler.accept(0), delivery::PieceVerdict::kDuplicate);
  EXPECT_EQ(assembler.accept(2), delivery::PieceVerdict::kGap);
  EXPECT_EQ(assembler.accept(1), delivery::PieceVerdict::kDeliver);
  EXPECT_EQ(assembler.next_index(), 2U);
}

}  // namespace
}  // namespace stoat
