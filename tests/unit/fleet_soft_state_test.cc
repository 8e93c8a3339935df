/// What control members know of the running fleet, and how they and their routers come to know the same.
#include "src/control/fleet_soft_state.h"

#include <gtest/gtest.h>

#include "src/control/leader_confirmation_tracker.h"

namespace stoat {
namespace {

using control::FeedCursor;
using control::FleetKnowledge;
using fleet::BackendLoad;
using fleet::FleetFeedUpdate;
using fleet::PeerUpdate;

constexpr size_t kEnough = 1000;

fleet::BackendRecord engine(const std::string& id, uint64_t sequence = 1, const std::string& zone = "z1") {
  fleet::BackendRecord record;
  record.id = id;
  record.service = "models";
  record.address = id + ":1";
  record.zone = zone;
  record.sequence = sequence;
  record.models = {{"m", 1}};
  return record;
}

fleet::RouterRecord router(const std::string& name, const std::string& zone = "z1") {
  return {name, name + ":80", zone, "r", true};
}

/// A router as far as the feed concerns it.
struct Follower {
  FeedCursor cursor;
  std::map<std::string, fleet::BackendRecord> backends;
  std::map<std::string, BackendLoad> loads;
  std::map<std::string, std::map<uint64_t, uint32_t>> parts;  ///< by holder
  size_t messages = 0;
  void update(const FleetKnowledge& knowledge) {
    for (;;) {
      const FleetFeedUpdate news = knowledge.next_news(cursor, TimePoint(0));
      if (news.empty()) {
        return;
      }
      ++messages;
      apply(news);
      if (news.complete) {
        return;
      }
    }
  }
  void apply(const FleetFeedUpdate& news) {
    for (const fleet::BackendRecord& record : news.backends) {
      backends[record.id] = record;
    }
    for (const std::string& id : news.gone) {
      backends.erase(id);
    }
    for (const BackendLoad& load : news.loads) {
      loads[load.backend] = load;
    }
    for (const fleet::CacheChanges& changes : news.caches) {
      for (const fleet::CachedPart& holding : changes.holdings) {
        parts[changes.holder][holding.part] = holding.tokens;
      }
    }
  }
};

/// Two members, each the other's only peer.
class FleetKnowledgeTest : public ::testing::Test {
 protected:
  /// Lets both tell each other what is new, and the whole where one asks for it.
  void exchange() {
    now_ += 50ms;
    send(first_, second_, true);
    send(second_, first_, false);
    answer(first_, second_, true);
    answer(second_, first_, false);
  }
  void send(FleetKnowledge& from, FleetKnowledge& to, bool leads) {
    to.on_peer_news(from.take_peer_news(4, leads, now_), now_);
  }
  void answer(FleetKnowledge& from, FleetKnowledge& to, bool leads) {
    for (const std::string& asking : from.take_whole_requests()) {
      EXPECT_FALSE(asking.empty());
      to.on_peer_news(from.whole_for_peer(4, leads, {}, now_), now_);
    }
  }
  static fleet::CacheChanges held(const std::string& holder, uint64_t claim, uint64_t part) {
    fleet::CacheChanges changes;
    changes.holder = holder;
    changes.followed = true;
    changes.claim = claim;
    changes.epoch = 9;
    changes.next_event = 17;
    changes.holdings = {{part, 1, 100}};
    return changes;
  }

  FleetKnowledge first_{{"10.0.0.1:7", "z1", {}}};
  FleetKnowledge second_{{"10.0.0.2:7", "z2", {}}};
  TimePoint now_ = 100s;
};

TEST_F(FleetKnowledgeTest, AHeartbeatReachesTheRoutersOfBothMembers) {
  first_.on_heartbeat(engine("e1"), now_);
  exchange();
  Follower near;
  Follower far;
  near.update(first_);
  far.update(second_);
  EXPECT_EQ(near.backends.count("e1"), 1U);
  EXPECT_EQ(far.backends.count("e1"), 1U);
}

TEST_F(FleetKnowledgeTest, ARouterIsToldTheDifferencesOnly) {
  for (int i = 0; i < 250; ++i) {
    first_.on_heartbeat(engine("e" + std::to_string(i)), now_);
  }
  Follower follower;
  follower.update(first_);
  EXPECT_EQ(follower.backends.size(), 250U);
  EXPECT_GE(follower.messages, 3U);  // the whole comes in pieces
  first_.set_loading("e7", true);
  const FleetFeedUpdate news = first_.next_news(follower.cursor, now_);
  EXPECT_FALSE(news.anew);
  ASSERT_EQ(news.backends.size(), 1U);
  EXPECT_TRUE(news.backends[0].loading);
  EXPECT_TRUE(first_.next_news(follower.cursor, now_).empty());
}

TEST_F(FleetKnowledgeTest, RoutersThatKnowTheSameAreAtTheSameCursor) {
  first_.on_heartbeat(engine("e1"), now_);
  Follower one;
  Follower other;
  one.update(first_);
  first_.on_heartbeat(engine("e2"), now_);
  one.update(first_);
  other.update(first_);
  EXPECT_EQ(one.cursor, other.cursor);
}

TEST_F(FleetKnowledgeTest, LoadsOfAllRoutersAreAddedUpOnBothMembers) {
  first_.on_router(router("r1"), true, now_);
  second_.on_router(router("r2"), true, now_);
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  second_.on_router_loads({"r2", {{"e1", 3, 0}, {"e2", 1, 0}}, {}, {}}, now_);
  exchange();
  exchange();
  for (const FleetKnowledge* member : {&first_, &second_}) {
    const BackendLoad* load = member->loads().totals().find("e1");
    ASSERT_NE(load, nullptr);
    EXPECT_EQ(load->outstanding, 5U);
    EXPECT_EQ(load->prefill_tokens, 500U);
  }
  second_.forget_router("r2");
  exchange();
  EXPECT_EQ(first_.loads().totals().find("e1")->outstanding, 2U);
  EXPECT_EQ(first_.loads().totals().find("e2"), nullptr);
}

TEST_F(FleetKnowledgeTest, WhatALostMessageToldIsAskedForAgain) {
  first_.on_router(router("r1"), true, now_);
  exchange();
  exchange();
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  first_.take_peer_news(4, true, now_);  // lost on its way
  exchange();
  exchange();
  ASSERT_NE(second_.loads().totals().find("e1"), nullptr);
  EXPECT_EQ(second_.loads().totals().find("e1")->outstanding, 2U);
}

// Members that started together never asked each other for the whole, and never counted what the others'
// routers spent: each let its tenants spend the whole quota.
TEST_F(FleetKnowledgeTest, MembersThatStartTogetherCountWhatTheOthersRoutersSpend) {
  fleet::Tenant tenant;
  tenant.name = "t";
  tenant.quota = {1000, 1000, fleet::QuotaUnit::kTokens, 0};
  for (FleetKnowledge* member : {&first_, &second_}) {
    member->configure_quotas({tenant}, now_);
  }
  exchange();
  first_.on_router_loads({"r1", {}, {}, {{"t", 700}}}, now_);
  exchange();
  constexpr int64_t kRefilledAtMost = 200;
  for (const FleetKnowledge* member : {&first_, &second_}) {
    EXPECT_LE(member->quotas().windows(now_).front().bucket, 300 + kRefilledAtMost);
  }
}

TEST_F(FleetKnowledgeTest, ASilentMembersLoadsCountNoMore) {
  first_.on_router(router("r1"), true, now_);
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  exchange();
  exchange();
  ASSERT_NE(second_.loads().totals().find("e1"), nullptr);
  second_.expire(now_ + 2s);
  EXPECT_EQ(second_.loads().totals().find("e1"), nullptr);
  exchange();  // it is heard again, and asked for the whole
  exchange();
  EXPECT_NE(second_.loads().totals().find("e1"), nullptr);
}

TEST_F(FleetKnowledgeTest, ABackEndThatIsOverdueAndThatRoutersCannotReachIsLostSoon) {
  // Found on the large fleets: a quarter of the engines went dark, and each of 295 routers had to find out
  // about each of them by a request of its own.
  first_.on_heartbeat(engine("dark"), now_);
  first_.on_heartbeat(engine("cut off from two routers"), now_);
  first_.on_router(router("r1"), true, now_);
  first_.on_router(router("r2"), true, now_);
  const TimePoint later = now_ + 1500ms;
  first_.on_heartbeat(engine("cut off from two routers", 2), later);
  first_.on_router_loads({"r1", {}, {"dark", "cut off from two routers"}}, later);
  first_.expire(later);
  EXPECT_FALSE(first_.registry().find("dark")->lost);  // one router may be cut off itself
  first_.on_router_loads({"r2", {}, {"dark", "cut off from two routers"}}, later);
  first_.expire(later);
  EXPECT_TRUE(first_.registry().find("dark")->lost);
  EXPECT_FALSE(first_.registry().find("cut off from two routers")->lost);  // its heartbeats come
  first_.expire(later + 3s);
  EXPECT_TRUE(first_.registry().find("dark")->lost);  // nobody asks it any more
  first_.on_heartbeat(engine("dark", 2), later + 3s);
  EXPECT_FALSE(first_.registry().find("dark")->lost);
}

TEST_F(FleetKnowledgeTest, FollowersKnowWhatTheLeaderLoads) {
  first_.on_heartbeat(engine("e1"), now_);
  exchange();
  first_.set_loading("e1", true);
  exchange();
  EXPECT_TRUE(second_.registry().find("e1")->loading);
  first_.set_version("e1", "m", 2);
  first_.set_loading("e1", false);
  exchange();
  EXPECT_FALSE(second_.registry().find("e1")->loading);
  EXPECT_EQ(second_.registry().find("e1")->version_of("m"), 2U);
}

TEST_F(FleetKnowledgeTest, EachCacheIsFollowedByOneMemberOfItsZone) {
  for (FleetKnowledge* member : {&first_, &second_}) {
    member->on_heartbeat(engine("e1", 1, "z1"), now_);
    member->on_heartbeat(engine("e2", 1, "z2"), now_);
  }
  exchange();
  const auto followed = first_.choose_caches({{"s:1", "z2"}}, now_);
  ASSERT_EQ(followed.size(), 1U);
  EXPECT_EQ(followed[0].holder, "e1");
  EXPECT_EQ(second_.choose_caches({{"s:1", "z2"}}, now_).size(), 2U);
}

TEST_F(FleetKnowledgeTest, HeartbeatsBelongToTheNearestMember) {
  const topology::Topology topology({{"z1", "a"}, {"z2", "b"}, {"z3", "b"}});
  FleetKnowledge near{{"10.0.0.3:7", "z2", {}, {}, 1, now_, topology}};
  FleetKnowledge far{{"10.0.0.4:7", "z1", {}, {}, 2, now_, topology}};
  EXPECT_TRUE(near.is_home(engine("e1", 1, "z2"), now_));
  EXPECT_FALSE(far.is_home(engine("e1", 1, "z2"), now_));  // it does not know yet who else is there
  now_ += 10s;
  for (FleetKnowledge* member : {&near, &far}) {
    member->expire(now_);
  }
  send(near, far, false);
  send(far, near, false);
  EXPECT_TRUE(near.is_home(engine("e2", 1, "z3"), now_));  // no member in its zone, but in its region
  EXPECT_FALSE(far.is_home(engine("e2", 1, "z3"), now_));
  EXPECT_TRUE(far.is_home(engine("e2", 1, "z3"), now_ + 5s));  // the near one is silent
}

TEST_F(FleetKnowledgeTest, AnotherMemberGoesOnFollowingWhereASilentOneStopped) {
  first_.on_heartbeat(engine("e1"), now_);
  exchange();
  const auto before = first_.choose_caches({}, now_);
  ASSERT_EQ(before.size(), 1U);
  first_.on_placements({{"e1", 1, {11}}});
  first_.on_cache_changes({held("e1", before[0].claim, 11)});
  exchange();
  const TimePoint later = now_ + 2s;
  second_.on_heartbeat(engine("e1", 2), later);
  second_.expire(later);
  EXPECT_FALSE(second_.caches().find("e1")->followed);
  const auto after = second_.choose_caches({}, later);
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after[0].epoch, 9U);
  EXPECT_EQ(after[0].next_event, 17U);
  EXPECT_GT(after[0].claim, before[0].claim);
  Follower follower;
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);  // its routers know what was told before
  // What the first one tells under its old claim counts no more.
  EXPECT_FALSE(second_.caches().find("e1")->parts.count(12));
  PeerUpdate late;
  late.sender = "10.0.0.1:7";
  late.caches = {held("e1", before[0].claim, 12)};
  second_.on_peer_news(late, later);
  EXPECT_FALSE(second_.caches().find("e1")->parts.count(12));
}

TEST_F(FleetKnowledgeTest, RoutersAreToldOfSharedPartsOnly) {
  first_.on_heartbeat(engine("e1"), now_);
  const auto followed = first_.choose_caches({}, now_);
  first_.on_cache_changes({held("e1", followed[0].claim, 11)});
  Follower follower;
  follower.update(first_);
  EXPECT_TRUE(follower.parts["e1"].empty());
  first_.on_placements({{"e2", 1, {11}}});  // seen elsewhere as a part of prompts
  follower.update(first_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);
  fleet::CacheChanges drop = held("e1", followed[0].claim, 11);
  drop.holdings = {{11, 1, 0}};
  first_.on_cache_changes({drop});
  follower.update(first_);
  EXPECT_EQ(follower.parts["e1"][11], 0U);
}

TEST_F(FleetKnowledgeTest, MembersTellOneAnotherOfSharedPartsOnly) {
  first_.on_heartbeat(engine("e1"), now_);
  exchange();
  const auto followed = first_.choose_caches({}, now_);
  fleet::CacheChanges changes = held("e1", followed[0].claim, 11);
  changes.holdings.push_back({12, 1, 70});
  first_.on_cache_changes({changes});
  exchange();
  ASSERT_NE(second_.caches().find("e1"), nullptr);
  EXPECT_TRUE(second_.caches().find("e1")->followed);
  EXPECT_TRUE(second_.caches().find("e1")->parts.empty());
  // A router of the other member sees part 11 as a part of prompts: then all are told who holds it.
  second_.on_placements({{"e2", 1, {11}}});
  exchange();
  exchange();
  Follower follower;
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);
  EXPECT_EQ(follower.parts["e1"].count(12), 0U);
  fleet::CacheChanges drop = held("e1", followed[0].claim, 11);
  drop.holdings = {{11, 1, 0}};
  first_.on_cache_changes({drop});
  exchange();
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 0U);
}

TEST_F(FleetKnowledgeTest, AHeartbeatThatTellsNothingNewIsAMark) {
  first_.on_heartbeat(engine("e1"), now_);
  exchange();
  first_.on_heartbeat(engine("e1", 2), now_);
  const PeerUpdate news = first_.take_peer_news(4, true, now_);
  EXPECT_TRUE(news.heartbeats.empty());
  ASSERT_EQ(news.marks.size(), 1U);
  const TimePoint later = now_ + 5s;
  second_.on_peer_news(news, later);
  second_.expire(later);
  EXPECT_FALSE(second_.registry().find("e1")->lost);
  EXPECT_EQ(second_.registry().find("e1")->sequence, 2U);
  second_.on_peer_news(news, later + 5s);  // a late one is no sign of life
  second_.expire(later + 5s);
  EXPECT_TRUE(second_.registry().find("e1")->lost);
  first_.on_heartbeat(engine("e1", 3), later + 5s);
  second_.on_peer_news(first_.take_peer_news(4, true, now_), later + 5s);
  EXPECT_FALSE(second_.registry().find("e1")->lost);  // heard again
}

TEST_F(FleetKnowledgeTest, ABackEndOfWhichOnlyMarksCameIsAskedFor) {
  first_.on_heartbeat(engine("e1"), now_);
  first_.on_heartbeat(engine("e2"), now_);
  exchange();
  // The second one forgets both, after half a minute without a word of them.
  now_ += 31s;
  second_.expire(now_);
  ASSERT_EQ(second_.registry().find("e1"), nullptr);
  exchange();
  exchange();
  first_.on_heartbeat(engine("e1", 2), now_);
  exchange();
  exchange();
  EXPECT_NE(second_.registry().find("e1"), nullptr);
  EXPECT_EQ(second_.registry().find("e2"), nullptr);
}

TEST_F(FleetKnowledgeTest, AMemberThatHasJustStartedDoesNotTellRoutersToForgetWhatItHasNotHeardYet) {
  FleetKnowledge started{{"10.0.0.3:7", "z1", {}, {}, 1, now_}};
  started.on_heartbeat(engine("e1"), now_ + 500ms);
  started.expire(now_ + 500ms);
  Follower follower;
  FleetFeedUpdate news = started.next_news(follower.cursor, now_);
  EXPECT_TRUE(news.anew);
  EXPECT_EQ(news.backends.size(), 1U);
  EXPECT_FALSE(news.complete);
  started.on_heartbeat(engine("e2"), now_ + 5s);
  started.expire(now_ + 5s);  // all that live have been heard by now
  EXPECT_TRUE(started.next_news(follower.cursor, now_).complete);
}

TEST_F(FleetKnowledgeTest, WhatEventsHaveToldIsNotPassedOnAsAPlacement) {
  first_.on_heartbeat(engine("e1"), now_);
  const auto followed = first_.choose_caches({}, now_);
  first_.on_placements({{"e1", 1, {11}}});
  EXPECT_EQ(first_.take_peer_news(1, true, now_).placements.size(), 1U);
  first_.on_cache_changes({held("e1", followed[0].claim, 11)});
  first_.on_placements({{"e1", 1, {11}}});
  EXPECT_TRUE(first_.take_peer_news(1, true, now_).placements.empty());
}

TEST(CacheIndex, PartsOfOldWeightsDontHideThoseOfNewOnes) {
  control::CacheIndex mirror;
  fleet::CacheChanges changes;
  changes.holder = "s:1";
  changes.claim = 1;
  changes.holdings = {{11, 2, 100}, {11, 1, 0}};  // a store drops the old ones long after
  mirror.apply("a", changes);
  EXPECT_EQ(mirror.whole("s:1").holdings.at(0).tokens, 100U);
}

TEST(CacheIndex, OfTwoFollowersWithOneClaimOneCounts) {
  control::CacheIndex mirror;
  fleet::CacheChanges changes;
  changes.holder = "e1";
  changes.claim = 3;
  EXPECT_TRUE(mirror.apply("b", changes));
  EXPECT_FALSE(mirror.apply("a", changes));
  changes.claim = 4;
  EXPECT_TRUE(mirror.apply("a", changes));
}

TEST(RouterDirectory, ARouterThatItsMemberNoLongerHearsIsNotNamed) {
  control::RouterDirectory directory;
  directory.on_notice("m", {router("r1"), true}, 1s);
  EXPECT_EQ(directory.select_for_callers("z1", kEnough, 1s).size(), 1U);
  directory.on_notice("m", {router("r1"), false}, 2s);
  EXPECT_TRUE(directory.select_for_callers("z1", kEnough, 2s).empty());
  directory.on_status(router("r1"), 3s);
  EXPECT_EQ(directory.ready_count(4s), 1U);
  EXPECT_EQ(directory.ready_count(20s), 0U);
}

TEST(LeaderConfirmationTracker, AgeCountsFromTheQuestion) {
  control::LeaderConfirmationTracker questions;
  const auto question = questions.ask(10s);
  questions.on_answer({question.number, 40, 7});
  ASSERT_TRUE(questions.newest());
  EXPECT_EQ(questions.newest()->at, 10s - 40ms);
  EXPECT_EQ(questions.newest()->version, 7U);
  questions.on_answer({question.number, 0, 8});  // the same again
  EXPECT_EQ(questions.newest()->version, 7U);
  questions.on_answer({questions.ask(11s).number, -1, 9});  // it does not lead
  EXPECT_EQ(questions.newest()->at, 10s - 40ms);
}

}  // namespace
}  // namespace stoat
