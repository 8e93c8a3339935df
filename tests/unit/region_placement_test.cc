// What placement makes of regions: moves of KV cache, homes of prompts, and calls without a prompt.
#include <gtest/gtest.h>

#include "src/placement/nearest_placement.h"
#include "src/placement/prompt_placement.h"

namespace stoat::placement {
namespace {

using topology::Distance;

constexpr uint64_t kWeights = 4;
constexpr uint32_t kSlots = 6;

fleet::EngineProfile large_model() {
  fleet::EngineProfile profile;
  profile.kv_bytes_per_token = 327680;
  profile.link_mbps = 550000;
  return profile;
}

TEST(MoveCostsTest, AMoveTakesWhatTheLinkTellsTwiceBetweenZonesTenTimesBetweenRegions) {
  const MoveCosts costs = make_transfer_costs(large_model(), nullptr);
  constexpr double kNearMs = 47.7;  // 10,000 tokens of 327,680 bytes over 550 Gbit/s
  EXPECT_NEAR(costs.engine_ms(10000, Distance::kSameZone), costs.setup_ms + kNearMs, 0.1);
  EXPECT_NEAR(costs.engine_ms(10000, Distance::kSameRegion), costs.setup_ms + 2 * kNearMs, 0.1);
  EXPECT_NEAR(costs.engine_ms(10000, Distance::kOtherRegion), costs.setup_ms + 10 * kNearMs, 0.5);
}

TEST(MoveCostsTest, BetweenRegionsToReadIsShorter) {
  const MoveCosts costs = make_transfer_costs(large_model(), nullptr);
  constexpr double kReadingMs = 0.02;
  EXPECT_TRUE(costs.engine_pays(10000, Distance::kSameRegion, kReadingMs));
  EXPECT_FALSE(costs.engine_pays(10000, Distance::kOtherRegion, kReadingMs));
  EXPECT_FALSE(costs.engine_pays(50, Distance::kSameZone, kReadingMs)) << "the setup alone takes longer";
}

TEST(MoveCostsTest, AStoreCountsWithItsOwnLink) {
  fleet::Service store;
  store.store_link_mbps = 950000;
  const MoveCosts costs = make_transfer_costs(large_model(), &store);
  constexpr double kReadingMs = 0.02;
  EXPECT_TRUE(costs.worth_taking_from_store(10000, Distance::kSameRegion, kReadingMs));
  EXPECT_FALSE(costs.worth_taking_from_store(10000, Distance::kOtherRegion, kReadingMs));
}

TEST(MoveCostsTest, WhereNothingIsToldMovesAreTakenToPay) {
  const MoveCosts costs = make_transfer_costs({}, nullptr);
  EXPECT_DOUBLE_EQ(costs.ms_per_token, MoveCosts{}.ms_per_token);
  EXPECT_TRUE(costs.engine_pays(10000, Distance::kOtherRegion, 0.02));
  EXPECT_TRUE(costs.worth_taking_from_store(10000, Distance::kOtherRegion, 0.02));
}

/// Two regions of four engines each, two to a zone; the router is in the first zone.
class RegionPlacementTest : public ::testing::Test {
 protected:
  static constexpr size_t kEngines = 8;
  static constexpr double kMsPerToken = 1.0 / 38;
  RegionPlacementTest() : memories_(kEngines), engines_(kEngines) {
    for (size_t position = 0; position < kEngines; ++position) {
      EngineView& engine = engines_[position];
      engine.name_hash = position + 1;
      engine.memory = &memories_[position];
      engine.weights = kWeights;
      engine.slots = kSlots;
      engine.ms_per_token = kMsPerToken;
      engine.place = {position / 2 + 1, position / 4 + 1};
      engine.distance = topology::distance(engines_[0].place, engine.place);
    }
    costs_.moves = make_transfer_costs(large_model(), nullptr);
  }
  static bool near(size_t position) { return position < kEngines / 2; }
  static PromptChain prompt(uint64_t part, uint32_t shared, uint32_t own) {
    return {{{part, shared}, {1000 + part, own}}, shared + own};
  }
  Placement place(const PromptChain& chain) const {
    return placement::place(chain, engines_, nullptr, costs_, 1s);
  }
  void allow_only(size_t target) {
    for (size_t position = 0; position < kEngines; ++position) {
      engines_[position].candidate = position == target;
    }
  }
  /// A part whose home in the whole fleet lies in the other region.
  uint64_t far_part(uint32_t shared) const {
    uint64_t part = 1;
    while (near(place(prompt(part, shared, 500)).target)) {
      ++part;
    }
    return part;
  }

  std::vector<KvCacheEstimate> memories_;
  std::vector<EngineView> engines_;
  PlacementCosts costs_;
};

TEST_F(RegionPlacementTest, AShortPromptIsServedInTheRegionOfItsRouter) {
  for (uint64_t part = 1; part < 50; ++part) {
    EXPECT_TRUE(near(place(prompt(part, 92, 291)).target)) << part;
  }
  memories_[6].note_held({7}, kWeights, 1s);
  EXPECT_TRUE(near(place(prompt(7, 92, 291)).target)) << "what is held there is read sooner here";
}

TEST_F(RegionPlacementTest, ALongPromptHasOneHomeInTheFleet) {
  const uint64_t part = far_part(13000);
  const size_t home = place(prompt(part, 13000, 3700)).target;
  memories_[home].note_held({part}, kWeights, 1s);
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, home);
}

TEST_F(RegionPlacementTest, ALongPromptThatIsHeldInBothRegionsIsServedInThatOfItsRouter) {
  const uint64_t part = far_part(13000);
  memories_[6].note_held({part}, kWeights, 1s);
  memories_[2].note_held({part}, kWeights, 1s);
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, 2U);
  // Until the wait here is longer than the way.
  constexpr double kWaitMs = 100000 * kMsPerToken;
  for (size_t position = 0; near(position); ++position) {
    engines_[position].wait_ms = kWaitMs;
  }
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, 6U);
}

TEST_F(RegionPlacementTest, ASourceInTheOtherRegionIsNotNamed) {
  allow_only(0);
  memories_[6].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(prompt(1, 13000, 500)).source, std::nullopt);
  EXPECT_EQ(place(prompt(1, 13000, 500)).missing_tokens, 13500U);
  memories_[3].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(prompt(1, 13000, 500)).source, std::optional<size_t>(3));
}

TEST_F(RegionPlacementTest, AShorterBeginningNearbyIsABetterSourceThanALongOneFarAway) {
  allow_only(0);
  const PromptChain chain{{{1, 6000}, {2, 1000}, {3, 500}}, 7500};
  memories_[6].note_held({1, 2}, kWeights, 1s);
  memories_[3].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(chain).source, std::optional<size_t>(3));
}

TEST_F(RegionPlacementTest, AStoreInTheOtherRegionIsNotNamed) {
  allow_only(0);
  fleet::Service service;
  service.store_link_mbps = 950000;
  costs_.moves = make_transfer_costs(large_model(), &service);
  KvCacheEstimate held;
  held.note_held({1}, kWeights, 1s);
  const StoreView far{&held, engines_[6].place};
  const StoreView close{&held, engines_[3].place};
  const PromptChain chain = prompt(1, 13000, 500);
  EXPECT_FALSE(placement::place(chain, engines_, &far, costs_, 1s).worth_taking_from_store);
  EXPECT_FALSE(placement::place(chain, engines_, &far, costs_, 1s).from_store);
  EXPECT_TRUE(placement::place(chain, engines_, &close, costs_, 1s).worth_taking_from_store);
  EXPECT_TRUE(placement::place(chain, engines_, &close, costs_, 1s).from_store);
}

TEST_F(RegionPlacementTest, ACallGoesToTheNearestEngineThatHasASlot) {
  constexpr double kWorkMs = 60;
  const auto choose = [&](uint64_t random) { return choose_nearest(engines_, kWorkMs, costs_.ways, random); };
  for (uint64_t random = 0; random < 2 * kEngines; ++random) {
    EXPECT_LT(choose(random), 2U) << "an engine of its zone";
  }
  engines_[0].outstanding = engines_[1].outstanding = kSlots;
  EXPECT_TRUE(choose(5) == 2 || choose(5) == 3) << "another zone rather than wait";
  engines_[2].outstanding = engines_[3].outstanding = kSlots + 3;
  engines_[0].outstanding = engines_[1].outstanding = kSlots + 3;
  EXPECT_TRUE(near(choose(5))) << "to wait some 40 ms is shorter than the way to the other region";
  for (size_t position = 0; position < kEngines / 2; ++position) {
    engines_[position].outstanding = 3 * kSlots;
  }
  EXPECT_FALSE(near(choose(5)));
}

TEST_F(RegionPlacementTest, WithAllEnginesOfTheRegionDarkCallsAndPromptsGoToTheOther) {
  for (size_t position = 0; position < kEngines / 2; ++position) {
    engines_[position].candidate = false;
  }
  EXPECT_FALSE(near(choose_nearest(engines_, 60, costs_.ways, 0)));
  EXPECT_FALSE(near(place(prompt(1, 92, 291)).target));
  EXPECT_FALSE(near(place(prompt(1, 13000, 500)).target));
}

TEST(CallDurationTest, FollowsTheAnswers) {
  CallDuration work;
  for (int answer = 0; answer < 200; ++answer) {
    work.observe(200);
  }
  EXPECT_NEAR(work.ms(), 200, 1);
}

}  // namespace
}  // namespace stoat::placement
