/// Placement across regions: KV cache transfers, home engines of prompts, and calls without a prompt.
#include <gtest/gtest.h>

#include "src/placement/nearest_placement.h"
#include "src/placement/prompt_placement.h"

namespace stoat::placement {
namespace {

using topology::Distance;

constexpr uint64_t kWeights = 4;
constexpr uint32_t kSlots = 6;

fleet::EngineProfile large_model_profile() {
  fleet::EngineProfile profile;
  profile.kv_bytes_per_token = 327680;
  profile.link_mbps = 550000;
  return profile;
}

TEST(TransferCostsTest, TransferTimeDoublesAcrossZonesAndIsTenfoldAcrossRegions) {
  const TransferCosts costs = make_transfer_costs(large_model_profile(), nullptr);
  constexpr double kSameZoneMs = 47.7;  // 10,000 tokens of 327,680 bytes over 550 Gbit/s
  EXPECT_NEAR(costs.engine_transfer_ms(10000, Distance::kSameZone), costs.setup_ms + kSameZoneMs, 0.1);
  EXPECT_NEAR(costs.engine_transfer_ms(10000, Distance::kSameRegion), costs.setup_ms + 2 * kSameZoneMs, 0.1);
  EXPECT_NEAR(costs.engine_transfer_ms(10000, Distance::kOtherRegion), costs.setup_ms + 10 * kSameZoneMs,
              0.5);
}

TEST(TransferCostsTest, ComputingIsFasterThanTransferAcrossRegions) {
  const TransferCosts costs = make_transfer_costs(large_model_profile(), nullptr);
  constexpr double kPrefillMsPerToken = 0.02;
  EXPECT_TRUE(costs.engine_transfer_pays(10000, Distance::kSameRegion, kPrefillMsPerToken));
  EXPECT_FALSE(costs.engine_transfer_pays(10000, Distance::kOtherRegion, kPrefillMsPerToken));
  EXPECT_FALSE(costs.engine_transfer_pays(50, Distance::kSameZone, kPrefillMsPerToken))
      << "the setup alone takes longer than computing the tokens";
}

TEST(TransferCostsTest, StoreTransfersUseTheStoresLink) {
  fleet::Service store;
  store.store_link_mbps = 950000;
  const TransferCosts costs = make_transfer_costs(large_model_profile(), &store);
  constexpr double kPrefillMsPerToken = 0.02;
  EXPECT_TRUE(costs.store_transfer_pays(10000, Distance::kSameRegion, kPrefillMsPerToken));
  EXPECT_FALSE(costs.store_transfer_pays(10000, Distance::kOtherRegion, kPrefillMsPerToken));
}

TEST(TransferCostsTest, UnknownLinksAreAssumedWorthwhile) {
  const TransferCosts costs = make_transfer_costs({}, nullptr);
  EXPECT_DOUBLE_EQ(costs.ms_per_token, TransferCosts{}.ms_per_token);
  EXPECT_TRUE(costs.engine_transfer_pays(10000, Distance::kOtherRegion, 0.02));
  EXPECT_TRUE(costs.store_transfer_pays(10000, Distance::kOtherRegion, 0.02));
}

/// Two regions of four engines each, with two engines per zone. The router is in the first zone.
class RegionPlacementTest : public ::testing::Test {
 protected:
  static constexpr size_t kEngines = 8;
  static constexpr double kMsPerToken = 1.0 / 38;
  RegionPlacementTest() : cache_estimates_(kEngines), engines_(kEngines) {
    for (size_t position = 0; position < kEngines; ++position) {
      EngineView& engine = engines_[position];
      engine.name_hash = position + 1;
      engine.cache_estimate = &cache_estimates_[position];
      engine.weights = kWeights;
      engine.slots = kSlots;
      engine.ms_per_token = kMsPerToken;
      engine.place = {position / 2 + 1, position / 4 + 1};
      engine.distance = topology::distance(engines_[0].place, engine.place);
    }
    costs_.transfers = make_transfer_costs(large_model_profile(), nullptr);
  }
  static bool in_router_region(size_t position) { return position < kEngines / 2; }
  static PromptChain prompt(uint64_t part, uint32_t shared, uint32_t own) {
    return {{{part, shared}, {1000 + part, own}}, shared + own};
  }
  Placement place(const PromptChain& chain) const {
    return placement::choose_placement(chain, engines_, nullptr, costs_, 1s);
  }
  void make_only_candidate(size_t target) {
    for (size_t position = 0; position < kEngines; ++position) {
      engines_[position].candidate = position == target;
    }
  }
  /// Returns a part whose home in the whole fleet is in the other region.
  uint64_t part_with_remote_home(uint32_t shared) const {
    uint64_t part = 1;
    while (in_router_region(place(prompt(part, shared, 500)).target)) {
      ++part;
    }
    return part;
  }

  std::vector<KvCacheEstimate> cache_estimates_;
  std::vector<EngineView> engines_;
  PlacementCosts costs_;
};

TEST_F(RegionPlacementTest, ShortPromptIsServedInTheRoutersRegion) {
  for (uint64_t part = 1; part < 50; ++part) {
    EXPECT_TRUE(in_router_region(place(prompt(part, 92, 291)).target)) << part;
  }
  cache_estimates_[6].note_held({7}, kWeights, 1s);
  EXPECT_TRUE(in_router_region(place(prompt(7, 92, 291)).target))
      << "computing it locally is faster than sending it to the holder";
}

TEST_F(RegionPlacementTest, LongPromptHasOneHomeInTheFleet) {
  const uint64_t part = part_with_remote_home(13000);
  const size_t home = place(prompt(part, 13000, 3700)).target;
  cache_estimates_[home].note_held({part}, kWeights, 1s);
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, home);
}

TEST_F(RegionPlacementTest, LongPromptHeldInBothRegionsIsServedInTheRoutersRegion) {
  const uint64_t part = part_with_remote_home(13000);
  cache_estimates_[6].note_held({part}, kWeights, 1s);
  cache_estimates_[2].note_held({part}, kWeights, 1s);
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, 2U);
  // This holds until the local wait exceeds the cost of the distance.
  constexpr double kWaitMs = 100000 * kMsPerToken;
  for (size_t position = 0; in_router_region(position); ++position) {
    engines_[position].wait_ms = kWaitMs;
  }
  EXPECT_EQ(place(prompt(part, 13000, 3700)).target, 6U);
}

TEST_F(RegionPlacementTest, SourceInTheOtherRegionIsNotUsed) {
  make_only_candidate(0);
  cache_estimates_[6].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(prompt(1, 13000, 500)).source, std::nullopt);
  EXPECT_EQ(place(prompt(1, 13000, 500)).missing_tokens, 13500U);
  cache_estimates_[3].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(prompt(1, 13000, 500)).source, std::optional<size_t>(3));
}

TEST_F(RegionPlacementTest, ShorterPrefixNearbyIsPreferredOverLongerOneInTheOtherRegion) {
  make_only_candidate(0);
  const PromptChain chain{{{1, 6000}, {2, 1000}, {3, 500}}, 7500};
  cache_estimates_[6].note_held({1, 2}, kWeights, 1s);
  cache_estimates_[3].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(chain).source, std::optional<size_t>(3));
}

TEST_F(RegionPlacementTest, StoreInTheOtherRegionIsNotUsed) {
  make_only_candidate(0);
  fleet::Service service;
  service.store_link_mbps = 950000;
  costs_.transfers = make_transfer_costs(large_model_profile(), &service);
  KvCacheEstimate held;
  held.note_held({1}, kWeights, 1s);
  const StoreView far{&held, engines_[6].place};
  const StoreView close{&held, engines_[3].place};
  const PromptChain chain = prompt(1, 13000, 500);
  EXPECT_FALSE(placement::choose_placement(chain, engines_, &far, costs_, 1s).worth_taking_from_store);
  EXPECT_FALSE(placement::choose_placement(chain, engines_, &far, costs_, 1s).from_store);
  EXPECT_TRUE(placement::choose_placement(chain, engines_, &close, costs_, 1s).worth_taking_from_store);
  EXPECT_TRUE(placement::choose_placement(chain, engines_, &close, costs_, 1s).from_store);
}

TEST_F(RegionPlacementTest, CallGoesToTheNearestEngineWithAFreeSlot) {
  constexpr double kWorkMs = 60;
  const auto choose = [&](uint64_t random) {
    return choose_nearest(engines_, kWorkMs, costs_.distance_costs, random);
  };
  for (uint64_t random = 0; random < 2 * kEngines; ++random) {
    EXPECT_LT(choose(random), 2U) << "an engine in the router's zone";
  }
  engines_[0].outstanding = engines_[1].outstanding = kSlots;
  EXPECT_TRUE(choose(5) == 2 || choose(5) == 3) << "an engine in another zone rather than waiting";
  engines_[2].outstanding = engines_[3].outstanding = kSlots + 3;
  engines_[0].outstanding = engines_[1].outstanding = kSlots + 3;
  EXPECT_TRUE(in_router_region(choose(5))) << "waiting about 40 ms costs less than going to the other region";
  for (size_t position = 0; position < kEngines / 2; ++position) {
    engines_[position].outstanding = 3 * kSlots;
  }
  EXPECT_FALSE(in_router_region(choose(5)));
}

TEST_F(RegionPlacementTest, OtherRegionIsUsedWhenNoLocalEngineIsAvailable) {
  for (size_t position = 0; position < kEngines / 2; ++position) {
    engines_[position].candidate = false;
  }
  EXPECT_FALSE(in_router_region(choose_nearest(engines_, 60, costs_.distance_costs, 0)));
  EXPECT_FALSE(in_router_region(place(prompt(1, 92, 291)).target));
  EXPECT_FALSE(in_router_region(place(prompt(1, 13000, 500)).target));
}

TEST(CallDurationTest, FollowsObservedDurations) {
  CallDuration work;
  for (int answer = 0; answer < 200; ++answer) {
    work.observe(200);
  }
  EXPECT_NEAR(work.ms(), 200, 1);
}

}  // namespace
}  // namespace stoat::placement
