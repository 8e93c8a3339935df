// What it costs a member that prompt parts become shared, in a fleet with many caches.
#include <gtest/gtest.h>

#include "src/common/hash.h"
#include "src/control/fleet_soft_state.h"

namespace stoat {
namespace {

constexpr size_t kCaches = 12000;
constexpr size_t kPartsPerCache = 8;
constexpr size_t kMembers = 10;
constexpr size_t kUpdates = 40;
constexpr size_t kPlacementsPerUpdate = 25;

std::string member_address(size_t number) { return "10.0.0." + std::to_string(number) + ":7340"; }
std::string holder_of(size_t cache) { return "i-" + to_hex(hash_pair(cache, 1)).substr(0, 10); }
uint64_t part_of(size_t cache, size_t number) { return hash_pair(hash_pair(cache, number), 2); }

/// A member that follows every tenth of the caches; the others follow the rest.
class SharedPartCostTest : public ::testing::Test {
 protected:
  SharedPartCostTest() : soft_state_({member_address(0), "zone-0", {}, {}, 1, now_}) {
    std::vector<fleet::CacheChanges> own;
    std::vector<fleet::PeerUpdate> others(kMembers);
    for (size_t cache = 0; cache < kCaches; ++cache) {
      fleet::CacheChanges changes{holder_of(cache), false, true, true, 1, 1, 1, {}};
      for (size_t number = 0; number < kPartsPerCache; ++number) {
        changes.holdings.push_back({part_of(cache, number), 1, 500});
      }
      if (cache % kMembers == 0) {
        own.push_back(changes);
      } else {
        others[cache % kMembers].caches.push_back(changes);
      }
    }
    soft_state_.on_cache_changes(own);
    for (size_t member = 1; member < kMembers; ++member) {
      send(others[member], member);
    }
    soft_state_.take_peer_update(1, false, now_);
  }
  void send(fleet::PeerUpdate update, size_t member) {
    update.sender = member_address(member);
    update.number = ++numbers_[member];
    soft_state_.on_peer_update(update, now_);
  }
  /// Another member announces prompts whose first parts were not known as shared.
  Duration announce(size_t member, size_t first_cache) {
    fleet::PeerUpdate update;
    for (size_t number = 0; number < kPlacementsPerUpdate; ++number) {
      const size_t cache = (first_cache + number * kMembers) % kCaches;
      update.placements.push_back({holder_of(cache), 1, {part_of(cache, 0), part_of(cache, 1)}});
    }
    const TimePoint begin = monotonic_now();
    send(update, member);
    return monotonic_now() - begin;
  }

  TimePoint now_ = 100s;
  control::FleetSoftState soft_state_;
  std::map<size_t, uint64_t> numbers_;
};

// A member looked through all caches of the fleet for each prompt whose parts became shared, and was busy
// with it while the heartbeats of the log waited.
TEST_F(SharedPartCostTest, PartThatBecomesSharedIsNotSearchedForInAllCaches) {
  Duration taken{0};
  for (size_t update = 0; update < kUpdates; ++update) {
    taken += announce(1 + update % (kMembers - 1), update * kPlacementsPerUpdate * kMembers);
  }
  // Two seconds of a fleet with 500 new prompts a second.
  EXPECT_LT(to_milliseconds(taken), 100);
  size_t announced = 0;
  for (const fleet::CacheChanges& changes : soft_state_.take_peer_update(1, false, now_).caches) {
    announced += changes.holdings.size();
    EXPECT_EQ(soft_state_.caches().find(changes.holder)->follower, member_address(0));
  }
  EXPECT_EQ(announced, 2 * kUpdates * kPlacementsPerUpdate);
}

}  // namespace
}  // namespace stoat
