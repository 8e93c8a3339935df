/// What control members learn from the events of KV caches, and how routers use it.
#include "src/control/cache_event_poller.h"

#include <gtest/gtest.h>

#include "src/dispatch/store_set.h"
#include "src/placement/cache_namespace.h"
#include "src/placement/kv_cache_estimate.h"

namespace stoat {
namespace {

using control::CacheEventPoller;
using control::CacheEvents;
using fleet::CachedPart;

/// Records the requests for cache events, for the test to answer.
class FakeEngines : public control::EngineInterface {
 public:
  struct Request {
    std::string address;
    uint64_t since = 0;
    std::function<void(const CacheEvents*)> answer;
  };
  void send(const control::LoadWeightsOrder&, std::function<void(control::OrderAnswer)>) override {}
  void request_report(const std::string&, std::function<void(const control::EngineReport*)>) override {}
  void poll_cache_events(const std::string& address, uint64_t since,
                         std::function<void(const CacheEvents*)> on_events) override {
    requests.push_back({address, since, std::move(on_events)});
  }
  /// Answers the oldest request.
  void answer(const CacheEvents* events) {
    const Request request = requests.front();
    requests.erase(requests.begin());
    request.answer(events);
  }
  std::vector<Request> requests;
};

class CacheWatchTest : public ::testing::Test {
 protected:
  static constexpr uint64_t kPart = 11;
  static constexpr uint64_t kOtherPart = 12;
  CacheWatchTest() { poller_.follow({followed(1)}); }
  static control::FollowedCache followed(uint64_t claim) { return {"e1", "a:1", false, claim, 0, 0}; }
  /// Polls the cache, which answers that it is in `epoch` and reports these changes.
  void poll_and_answer(uint64_t epoch, uint64_t next, std::vector<CachedPart> holdings, bool gap = false) {
    now_ += 2s;
    poller_.poll(now_);
    ASSERT_EQ(engines_.requests.size(), 1U);
    const CacheEvents events{epoch, next, gap, std::move(holdings)};
    engines_.answer(&events);
  }

  FakeEngines engines_;
  CacheEventPoller poller_{engines_};
  TimePoint now_{0};
};

TEST_F(CacheWatchTest, ReportsChangesOnce) {
  poll_and_answer(7, 3, {{kPart, 2, 100}, {kOtherPart, 2, 50}});
  const auto changes = poller_.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].holder, "e1");
  EXPECT_TRUE(changes[0].is_subscribed);
  EXPECT_TRUE(changes[0].is_full_state);
  EXPECT_EQ(changes[0].claim, 1U);
  EXPECT_EQ(changes[0].epoch, 7U);
  EXPECT_EQ(changes[0].next_event, 3U);
  ASSERT_EQ(changes[0].holdings.size(), 2U);
  EXPECT_EQ(changes[0].holdings[0].part, kPart);
  EXPECT_EQ(changes[0].holdings[0].tokens, 100U);
  EXPECT_TRUE(poller_.take_changes().empty());
}

TEST_F(CacheWatchTest, ReportsOnlyTheLastChangeOfAPart) {
  poll_and_answer(7, 3, {});
  poller_.take_changes();
  poll_and_answer(7, 9,
                  {{kPart, 2, 100}, {kOtherPart, 2, 50}, {kPart, 2, 0}, {kPart, 3, 70}, {kOtherPart, 2, 0}});
  const auto changes = poller_.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].holdings, (std::vector<CachedPart>{{kPart, 3, 70}, {kOtherPart, 2, 0}}));
}

TEST_F(CacheWatchTest, DropForOlderWeightsDoesNotReplaceNewerHolding) {
  poll_and_answer(7, 3, {});
  poller_.take_changes();
  poll_and_answer(7, 9, {{kPart, 3, 100}, {kPart, 2, 0}});
  const auto changes = poller_.take_changes();
  EXPECT_EQ(changes.at(0).holdings, (std::vector<CachedPart>{{kPart, 3, 100}, {kPart, 2, 0}}));
}

TEST_F(CacheWatchTest, InitialReadOmitsDroppedParts) {
  poll_and_answer(7, 9, {{kPart, 2, 100}, {kOtherPart, 2, 50}, {kOtherPart, 2, 0}});
  const auto changes = poller_.take_changes();
  ASSERT_TRUE(changes.at(0).is_full_state);
  EXPECT_EQ(changes[0].holdings, (std::vector<CachedPart>{{kPart, 2, 100}}));
}

TEST_F(CacheWatchTest, StartsInitialReadsAFewAtATime) {
  std::vector<control::FollowedCache> caches;
  for (int i = 0; i < 200; ++i) {
    const std::string number = std::to_string(i);
    caches.push_back({"e" + number, "a" + number + ":1", false, 1, 0, 0});
  }
  poller_.follow(caches);
  size_t polls = 0;
  for (; engines_.requests.size() < 200; ++polls) {
    const size_t before = engines_.requests.size();
    poller_.poll(now_ += 30ms);
    EXPECT_LE(engines_.requests.size() - before, 2U);
    ASSERT_LT(polls, 150U);
  }
  // Once all caches have answered, they are polled together.
  const CacheEvents events{7, 3, false, {}};
  while (!engines_.requests.empty()) {
    engines_.answer(&events);
  }
  poller_.poll(now_ += 2s);
  EXPECT_EQ(engines_.requests.size(), 200U);
}

TEST_F(CacheWatchTest, ContinuesFromTheNextEvent) {
  poll_and_answer(7, 3, {});
  poll_and_answer(7, 9, {});
  now_ += 2s;
  poller_.poll(now_);
  EXPECT_EQ(engines_.requests.at(0).since, 9U);
}

TEST_F(CacheWatchTest, NewFollowerContinuesWhereTheLastOneStopped) {
  CacheEventPoller new_follower(engines_);
  new_follower.follow({{"e1", "a:1", false, 5, 7, 40}});
  new_follower.poll(1s);
  ASSERT_EQ(engines_.requests.size(), 1U);
  EXPECT_EQ(engines_.requests[0].since, 40U);
  const CacheEvents events{7, 41, false, {{kPart, 2, 100}}};
  engines_.answer(&events);
  const auto changes = new_follower.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].is_full_state);  // what was reported before is still valid
  EXPECT_EQ(changes[0].claim, 5U);
}

TEST_F(CacheWatchTest, RestartedCacheIsEmptyAndReadFromTheBeginning) {
  poll_and_answer(7, 300, {{kPart, 2, 100}});
  poller_.take_changes();
  poll_and_answer(8, 4, {{kPart, 2, 100}});  // later events of the new epoch, without its first ones
  const auto changes = poller_.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].is_full_state);
  EXPECT_TRUE(changes[0].holdings.empty());
  now_ += 2s;
  poller_.poll(now_);
  EXPECT_EQ(engines_.requests.at(0).since, 0U);
}

TEST_F(CacheWatchTest, GapInvalidatesAllContents) {
  poll_and_answer(7, 300, {{kPart, 2, 100}});
  poller_.take_changes();
  poll_and_answer(7, 9000, {}, true);
  const auto changes = poller_.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].is_full_state);
  EXPECT_TRUE(changes[0].holdings.empty());
}

TEST_F(CacheWatchTest, ReportsAnUnreachableCache) {
  poll_and_answer(7, 300, {{kPart, 2, 100}});
  poller_.take_changes();
  now_ += 2s;
  poller_.poll(now_);
  engines_.answer(nullptr);
  const auto changes = poller_.take_changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].is_subscribed);
}

TEST_F(CacheWatchTest, IgnoresAnAnswerForAnEarlierClaim) {
  poller_.poll(now_);
  poller_.follow({followed(2)});
  const CacheEvents events{7, 3, false, {{kPart, 2, 100}}};
  engines_.answer(&events);
  EXPECT_TRUE(poller_.take_changes().empty());
}

/// The known contents of one cache, and a prompt with two shared parts and one of its own.
class ChainMemoryTest : public ::testing::Test {
 protected:
  static constexpr uint64_t kWeights = 3;
  placement::PromptChain chain_{{{1, 1000}, {2, 500}, {3, 70}}, 1570};
  placement::EventValidity validity_{3600s};
  placement::KvCacheEstimate cache_estimate_;
};

TEST_F(ChainMemoryTest, WithEventsOnlyReportedHoldingsCount) {
  cache_estimate_.note_held({1, 2}, kWeights, 1s);
  cache_estimate_.follow(&validity_);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s + placement::kEventDelay + 1ms), 0U);
  cache_estimate_.set_holding(1, kWeights, 1000);
  cache_estimate_.set_holding(2, kWeights, 500);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 60s), 1500U);
  EXPECT_TRUE(cache_estimate_.certainly_holds(chain_, kWeights, 60s));
}

TEST_F(ChainMemoryTest, PartiallyDroppedPartEndsTheUsablePrefix) {
  cache_estimate_.follow(&validity_);
  cache_estimate_.set_holding(1, kWeights, 1000);
  cache_estimate_.set_holding(2, kWeights, 500);
  cache_estimate_.set_holding(1, kWeights, 640);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s), 640U);
  EXPECT_FALSE(cache_estimate_.certainly_holds(chain_, kWeights, 1s));
}

TEST_F(ChainMemoryTest, DropEventOverridesARecentObservation) {
  cache_estimate_.follow(&validity_);
  cache_estimate_.set_holding(1, kWeights, 1000);
  cache_estimate_.note_held({1}, kWeights, 1s);
  cache_estimate_.set_holding(1, kWeights, 0);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s), 0U);
}

TEST_F(ChainMemoryTest, DropEventForAnUnreportedPartIsIgnored) {
  cache_estimate_.follow(&validity_);
  cache_estimate_.note_held({1}, kWeights, 1s);
  cache_estimate_.drop_holding(1);  // refers to an earlier copy
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s), 1000U);
  cache_estimate_.set_holding(1, kWeights, 1000);
  cache_estimate_.drop_holding(1);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s), 0U);
}

TEST_F(ChainMemoryTest, WithoutEventsObservationsCountUntilTheyExpire) {
  validity_.until = 2s;
  cache_estimate_.follow(&validity_);
  cache_estimate_.set_holding(1, kWeights, 1000);
  cache_estimate_.note_held({2}, kWeights, 1s);
  // No event shows whether the first part is still held.
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 3s), 0U);
  cache_estimate_.note_held({1}, kWeights, 2s);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 3s), 1500U);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 2s + placement::kHoldTime + 1ms), 0U);
}

TEST_F(ChainMemoryTest, NewWeightsInvalidateAllHoldings) {
  cache_estimate_.follow(&validity_);
  cache_estimate_.set_holding(1, kWeights, 1000);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights + 1, 1s), 0U);
  cache_estimate_.set_holding(1, kWeights + 1, 10);
  EXPECT_EQ(cache_estimate_.held_tokens(chain_, kWeights, 1s), 0U);
}

TEST(StoreSet, AssignsEachChainToOneStoreAndUsesAllStores) {
  dispatch::StoreSet stores;
  const auto chain_of = [](uint64_t part) { return placement::PromptChain{{{part, 1000}, {0, 70}}, 1070}; };
  EXPECT_EQ(stores.store_for(chain_of(1)), nullptr);
  for (const char* address : {"s:1", "s:2", "s:3"}) {
    stores.add(address);
  }
  std::map<std::string, int> chains;
  std::map<uint64_t, std::string> store_of;
  for (uint64_t part = 1; part <= 300; ++part) {
    store_of[part] = stores.store_for(chain_of(part))->address;
    ++chains[store_of[part]];
  }
  ASSERT_EQ(chains.size(), 3U);
  EXPECT_GT(std::min({chains["s:1"], chains["s:2"], chains["s:3"]}), 60);
  stores.remove("s:2");  // only the chains of the removed store move
  for (const auto& [part, address] : store_of) {
    EXPECT_TRUE(address == "s:2" || stores.store_for(chain_of(part))->address == address);
  }
}

TEST(StoreSet, StoreIsEmptyWhenAddedAgain) {
  dispatch::StoreSet stores;
  stores.add("s:1").cache_estimate.note_held({1}, 1, 1s);
  const placement::PromptChain chain{{{1, 1000}, {2, 70}}, 1070};
  EXPECT_EQ(stores.store_for(chain)->cache_estimate.held_tokens(chain, 1, 1s), 1000U);
  stores.remove("s:1");
  stores.add("s:1");
  EXPECT_EQ(stores.store_for(chain)->cache_estimate.held_tokens(chain, 1, 1s), 0U);
}

TEST(CacheNamespace, RoundTripsThroughTheSalt) {
  for (const std::string& owner : {placement::shared_owner(), placement::owner_of_tenant("a-v2-b")}) {
    const auto name = placement::read_salt(placement::to_salt({owner, 17}));
    ASSERT_TRUE(name);
    EXPECT_EQ(name->owner, owner);
    EXPECT_EQ(name->weights, 17U);
  }
  EXPECT_NE(placement::shared_owner(), placement::owner_of_tenant(""));
  for (const char* other : {"", "s", "-v3", "s-v", "s-vx", "s-v3x", "s-v99999999999999999999999"}) {
    EXPECT_FALSE(placement::read_salt(other)) << other;
  }
}

}  // namespace
}  // namespace stoat
