/// The soft state of control members, its exchange between members and its feed to routers.
#include "src/control/fleet_soft_state.h"

#include <gtest/gtest.h>

#include "src/control/leader_confirmation_tracker.h"

namespace stoat {
namespace {

using control::FeedCursor;
using control::FleetSoftState;
using fleet::BackendLoad;
using fleet::FleetFeedUpdate;
using fleet::PeerUpdate;

constexpr size_t kMaxRouters = 1000;

fleet::BackendRecord engine_record(const std::string& id, uint64_t sequence = 1,
                                   const std::string& zone = "z1") {
  fleet::BackendRecord record;
  record.id = id;
  record.service = "models";
  record.address = id + ":1";
  record.zone = zone;
  record.sequence = sequence;
  record.models = {{"m", 1}};
  return record;
}

fleet::RouterRecord router_record(const std::string& name, const std::string& zone = "z1") {
  return {name, name + ":80", zone, "r", true};
}

/// A router that applies the messages of a feed.
struct FeedReceiver {
  FeedCursor cursor;
  std::map<std::string, fleet::BackendRecord> backends;
  std::map<std::string, BackendLoad> loads;
  std::map<std::string, std::map<uint64_t, uint32_t>> parts;  ///< by holder
  size_t messages = 0;
  void update(const FleetSoftState& soft_state) {
    for (;;) {
      const FleetFeedUpdate message = soft_state.next_feed_message(cursor, TimePoint(0));
      if (message.empty()) {
        return;
      }
      ++messages;
      apply(message);
      if (message.complete) {
        return;
      }
    }
  }
  void apply(const FleetFeedUpdate& message) {
    for (const fleet::BackendRecord& record : message.backends) {
      backends[record.id] = record;
    }
    for (const std::string& id : message.gone) {
      backends.erase(id);
    }
    for (const BackendLoad& load : message.loads) {
      loads[load.backend] = load;
    }
    for (const fleet::CacheChanges& changes : message.caches) {
      for (const fleet::CachedPart& holding : changes.holdings) {
        parts[changes.holder][holding.part] = holding.tokens;
      }
    }
  }
};

/// Two members that exchange updates with each other.
class FleetSoftStateTest : public ::testing::Test {
 protected:
  /// Delivers the updates of both members, then the full state to each member that requests it.
  void exchange() {
    now_ += 50ms;
    send(first_, second_, true);
    send(second_, first_, false);
    send_requested_full_states(first_, second_, true);
    send_requested_full_states(second_, first_, false);
  }
  void send(FleetSoftState& from, FleetSoftState& to, bool leads) {
    to.on_peer_update(from.take_peer_update(4, leads, now_), now_);
  }
  void send_requested_full_states(FleetSoftState& from, FleetSoftState& to, bool leads) {
    for (const std::string& requester : from.take_full_state_requests()) {
      EXPECT_FALSE(requester.empty());
      to.on_peer_update(from.full_state_for_peer(4, leads, {}, now_), now_);
    }
  }
  static fleet::CacheChanges cache_changes(const std::string& holder, uint64_t claim, uint64_t part) {
    fleet::CacheChanges changes;
    changes.holder = holder;
    changes.is_subscribed = true;
    changes.claim = claim;
    changes.epoch = 9;
    changes.next_event = 17;
    changes.holdings = {{part, 1, 100}};
    return changes;
  }

  FleetSoftState first_{{"10.0.0.1:7", "z1", {}}};
  FleetSoftState second_{{"10.0.0.2:7", "z2", {}}};
  TimePoint now_ = 100s;
};

TEST_F(FleetSoftStateTest, HeartbeatReachesRoutersOfBothMembers) {
  first_.on_heartbeat(engine_record("e1"), now_);
  exchange();
  FeedReceiver near;
  FeedReceiver far;
  near.update(first_);
  far.update(second_);
  EXPECT_EQ(near.backends.count("e1"), 1U);
  EXPECT_EQ(far.backends.count("e1"), 1U);
}

TEST_F(FleetSoftStateTest, RouterReceivesOnlyDifferences) {
  for (int i = 0; i < 250; ++i) {
    first_.on_heartbeat(engine_record("e" + std::to_string(i)), now_);
  }
  FeedReceiver follower;
  follower.update(first_);
  EXPECT_EQ(follower.backends.size(), 250U);
  EXPECT_GE(follower.messages, 3U);  // the full state is split into several messages
  first_.set_loading("e7", true);
  const FleetFeedUpdate message = first_.next_feed_message(follower.cursor, now_);
  EXPECT_FALSE(message.starts_full_state);
  ASSERT_EQ(message.backends.size(), 1U);
  EXPECT_TRUE(message.backends[0].loading);
  EXPECT_TRUE(first_.next_feed_message(follower.cursor, now_).empty());
}

TEST_F(FleetSoftStateTest, RoutersWithTheSameStateHaveTheSameCursor) {
  first_.on_heartbeat(engine_record("e1"), now_);
  FeedReceiver one;
  FeedReceiver other;
  one.update(first_);
  first_.on_heartbeat(engine_record("e2"), now_);
  one.update(first_);
  other.update(first_);
  EXPECT_EQ(one.cursor, other.cursor);
}

TEST_F(FleetSoftStateTest, LoadsOfAllRoutersAreSummedOnBothMembers) {
  first_.on_router(router_record("r1"), true, now_);
  second_.on_router(router_record("r2"), true, now_);
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  second_.on_router_loads({"r2", {{"e1", 3, 0}, {"e2", 1, 0}}, {}, {}}, now_);
  exchange();
  exchange();
  for (const FleetSoftState* member : {&first_, &second_}) {
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

TEST_F(FleetSoftStateTest, FullStateIsRequestedAfterALostMessage) {
  first_.on_router(router_record("r1"), true, now_);
  exchange();
  exchange();
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  first_.take_peer_update(4, true, now_);  // lost in transit
  exchange();
  exchange();
  ASSERT_NE(second_.loads().totals().find("e1"), nullptr);
  EXPECT_EQ(second_.loads().totals().find("e1")->outstanding, 2U);
}

// Regression test: members that started together never requested each other's full state and therefore did
// not count the spending of each other's routers. Each one let its tenants spend the whole quota.
TEST_F(FleetSoftStateTest, MembersThatStartTogetherCountSpendingOfAllRouters) {
  fleet::Tenant tenant;
  tenant.name = "t";
  tenant.quota = {1000, 1000, fleet::QuotaUnit::kTokens, 0};
  for (FleetSoftState* member : {&first_, &second_}) {
    member->configure_quotas({tenant}, now_);
  }
  exchange();
  first_.on_router_loads({"r1", {}, {}, {{"t", 700}}}, now_);
  exchange();
  constexpr int64_t kMaxRefill = 200;
  for (const FleetSoftState* member : {&first_, &second_}) {
    EXPECT_LE(member->quotas().windows(now_).front().bucket, 300 + kMaxRefill);
  }
}

TEST_F(FleetSoftStateTest, LoadsOfASilentMemberAreDropped) {
  first_.on_router(router_record("r1"), true, now_);
  first_.on_router_loads({"r1", {{"e1", 2, 500}}, {}, {}}, now_);
  exchange();
  exchange();
  ASSERT_NE(second_.loads().totals().find("e1"), nullptr);
  second_.expire(now_ + 2s);
  EXPECT_EQ(second_.loads().totals().find("e1"), nullptr);
  exchange();  // the member's updates arrive again, and its full state is requested
  exchange();
  EXPECT_NE(second_.loads().totals().find("e1"), nullptr);
}

TEST_F(FleetSoftStateTest, OverdueBackendUnreachableFromTwoRoutersIsLostEarly) {
  // Regression test from runs with large fleets: when a quarter of the engines became unreachable, each of
  // 295 routers had to discover every one of them with a request of its own.
  first_.on_heartbeat(engine_record("dark"), now_);
  first_.on_heartbeat(engine_record("cut off from two routers"), now_);
  first_.on_router(router_record("r1"), true, now_);
  first_.on_router(router_record("r2"), true, now_);
  const TimePoint later = now_ + 1500ms;
  first_.on_heartbeat(engine_record("cut off from two routers", 2), later);
  first_.on_router_loads({"r1", {}, {"dark", "cut off from two routers"}}, later);
  first_.expire(later);
  EXPECT_FALSE(first_.registry().find("dark")->lost);  // the router may itself be cut off
  first_.on_router_loads({"r2", {}, {"dark", "cut off from two routers"}}, later);
  first_.expire(later);
  EXPECT_TRUE(first_.registry().find("dark")->lost);
  EXPECT_FALSE(first_.registry().find("cut off from two routers")->lost);  // its heartbeats still arrive
  first_.expire(later + 3s);
  EXPECT_TRUE(first_.registry().find("dark")->lost);  // routers no longer try to reach it
  first_.on_heartbeat(engine_record("dark", 2), later + 3s);
  EXPECT_FALSE(first_.registry().find("dark")->lost);
}

TEST_F(FleetSoftStateTest, FollowersLearnWhichEnginesAreLoading) {
  first_.on_heartbeat(engine_record("e1"), now_);
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

TEST_F(FleetSoftStateTest, EachCacheIsFollowedByOneMemberOfItsZone) {
  for (FleetSoftState* member : {&first_, &second_}) {
    member->on_heartbeat(engine_record("e1", 1, "z1"), now_);
    member->on_heartbeat(engine_record("e2", 1, "z2"), now_);
  }
  exchange();
  const auto followed = first_.choose_caches({{"s:1", "z2"}}, now_);
  ASSERT_EQ(followed.size(), 1U);
  EXPECT_EQ(followed[0].holder, "e1");
  EXPECT_EQ(second_.choose_caches({{"s:1", "z2"}}, now_).size(), 2U);
}

TEST_F(FleetSoftStateTest, HeartbeatsGoToTheNearestMember) {
  const topology::Topology topology({{"z1", "a"}, {"z2", "b"}, {"z3", "b"}});
  FleetSoftState near{{"10.0.0.3:7", "z2", {}, {}, 1, now_, topology}};
  FleetSoftState far{{"10.0.0.4:7", "z1", {}, {}, 2, now_, topology}};
  EXPECT_TRUE(near.is_home_member(engine_record("e1", 1, "z2"), now_));
  EXPECT_FALSE(far.is_home_member(engine_record("e1", 1, "z2"), now_));  // it knows no other member yet
  now_ += 10s;
  for (FleetSoftState* member : {&near, &far}) {
    member->expire(now_);
  }
  send(near, far, false);
  send(far, near, false);
  // No member is in zone z3, but one is in its region.
  EXPECT_TRUE(near.is_home_member(engine_record("e2", 1, "z3"), now_));
  EXPECT_FALSE(far.is_home_member(engine_record("e2", 1, "z3"), now_));
  EXPECT_TRUE(far.is_home_member(engine_record("e2", 1, "z3"), now_ + 5s));  // the nearer member is silent
}

TEST_F(FleetSoftStateTest, AnotherMemberResumesFollowingTheCacheOfASilentOne) {
  first_.on_heartbeat(engine_record("e1"), now_);
  exchange();
  const auto before = first_.choose_caches({}, now_);
  ASSERT_EQ(before.size(), 1U);
  first_.on_placements({{"e1", 1, {11}}});
  first_.on_cache_changes({cache_changes("e1", before[0].claim, 11)});
  exchange();
  const TimePoint later = now_ + 2s;
  second_.on_heartbeat(engine_record("e1", 2), later);
  second_.expire(later);
  EXPECT_FALSE(second_.caches().find("e1")->followed);
  const auto after = second_.choose_caches({}, later);
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after[0].epoch, 9U);
  EXPECT_EQ(after[0].next_event, 17U);
  EXPECT_GT(after[0].claim, before[0].claim);
  FeedReceiver follower;
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);  // the earlier cache contents were replicated
  // Changes that the first member sends under its old claim are ignored.
  EXPECT_FALSE(second_.caches().find("e1")->parts.count(12));
  PeerUpdate late;
  late.sender = "10.0.0.1:7";
  late.caches = {cache_changes("e1", before[0].claim, 12)};
  second_.on_peer_update(late, later);
  EXPECT_FALSE(second_.caches().find("e1")->parts.count(12));
}

TEST_F(FleetSoftStateTest, RoutersReceiveOnlySharedParts) {
  first_.on_heartbeat(engine_record("e1"), now_);
  const auto followed = first_.choose_caches({}, now_);
  first_.on_cache_changes({cache_changes("e1", followed[0].claim, 11)});
  FeedReceiver follower;
  follower.update(first_);
  EXPECT_TRUE(follower.parts["e1"].empty());
  first_.on_placements({{"e2", 1, {11}}});  // the part is also seen in a prompt on another engine
  follower.update(first_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);
  fleet::CacheChanges drop = cache_changes("e1", followed[0].claim, 11);
  drop.holdings = {{11, 1, 0}};
  first_.on_cache_changes({drop});
  follower.update(first_);
  EXPECT_EQ(follower.parts["e1"][11], 0U);
}

TEST_F(FleetSoftStateTest, MembersExchangeOnlySharedParts) {
  first_.on_heartbeat(engine_record("e1"), now_);
  exchange();
  const auto followed = first_.choose_caches({}, now_);
  fleet::CacheChanges changes = cache_changes("e1", followed[0].claim, 11);
  changes.holdings.push_back({12, 1, 70});
  first_.on_cache_changes({changes});
  exchange();
  ASSERT_NE(second_.caches().find("e1"), nullptr);
  EXPECT_TRUE(second_.caches().find("e1")->followed);
  EXPECT_TRUE(second_.caches().find("e1")->parts.empty());
  // Once a router of the other member reports part 11 in a prompt, its holders are sent to all members.
  second_.on_placements({{"e2", 1, {11}}});
  exchange();
  exchange();
  FeedReceiver follower;
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 100U);
  EXPECT_EQ(follower.parts["e1"].count(12), 0U);
  fleet::CacheChanges drop = cache_changes("e1", followed[0].claim, 11);
  drop.holdings = {{11, 1, 0}};
  first_.on_cache_changes({drop});
  exchange();
  follower.update(second_);
  EXPECT_EQ(follower.parts["e1"][11], 0U);
}

TEST_F(FleetSoftStateTest, UnchangedHeartbeatIsSentAsAMark) {
  first_.on_heartbeat(engine_record("e1"), now_);
  exchange();
  first_.on_heartbeat(engine_record("e1", 2), now_);
  const PeerUpdate peer_update = first_.take_peer_update(4, true, now_);
  EXPECT_TRUE(peer_update.heartbeats.empty());
  ASSERT_EQ(peer_update.compact_heartbeats.size(), 1U);
  const TimePoint later = now_ + 5s;
  second_.on_peer_update(peer_update, later);
  second_.expire(later);
  EXPECT_FALSE(second_.registry().find("e1")->lost);
  EXPECT_EQ(second_.registry().find("e1")->sequence, 2U);
  second_.on_peer_update(peer_update, later + 5s);  // an old mark does not show that e1 is alive
  second_.expire(later + 5s);
  EXPECT_TRUE(second_.registry().find("e1")->lost);
  first_.on_heartbeat(engine_record("e1", 3), later + 5s);
  second_.on_peer_update(first_.take_peer_update(4, true, now_), later + 5s);
  EXPECT_FALSE(second_.registry().find("e1")->lost);  // its heartbeats arrive again
}

TEST_F(FleetSoftStateTest, RecordOfABackendKnownOnlyByMarksIsRequested) {
  first_.on_heartbeat(engine_record("e1"), now_);
  first_.on_heartbeat(engine_record("e2"), now_);
  exchange();
  // The second member forgets both backends after 30 s without a heartbeat.
  now_ += 31s;
  second_.expire(now_);
  ASSERT_EQ(second_.registry().find("e1"), nullptr);
  exchange();
  exchange();
  first_.on_heartbeat(engine_record("e1", 2), now_);
  exchange();
  exchange();
  EXPECT_NE(second_.registry().find("e1"), nullptr);
  EXPECT_EQ(second_.registry().find("e2"), nullptr);
}

TEST_F(FleetSoftStateTest, FeedIsIncompleteUntilAStartedMemberHasHeardAllBackends) {
  FleetSoftState started{{"10.0.0.3:7", "z1", {}, {}, 1, now_}};
  started.on_heartbeat(engine_record("e1"), now_ + 500ms);
  started.expire(now_ + 500ms);
  FeedReceiver follower;
  FleetFeedUpdate message = started.next_feed_message(follower.cursor, now_);
  EXPECT_TRUE(message.starts_full_state);
  EXPECT_EQ(message.backends.size(), 1U);
  EXPECT_FALSE(message.complete);
  started.on_heartbeat(engine_record("e2"), now_ + 5s);
  started.expire(now_ + 5s);  // every live backend has sent a heartbeat by now
  EXPECT_TRUE(started.next_feed_message(follower.cursor, now_).complete);
}

TEST_F(FleetSoftStateTest, PlacementsKnownFromCacheEventsAreNotForwarded) {
  first_.on_heartbeat(engine_record("e1"), now_);
  const auto followed = first_.choose_caches({}, now_);
  first_.on_placements({{"e1", 1, {11}}});
  EXPECT_EQ(first_.take_peer_update(1, true, now_).placements.size(), 1U);
  first_.on_cache_changes({cache_changes("e1", followed[0].claim, 11)});
  first_.on_placements({{"e1", 1, {11}}});
  EXPECT_TRUE(first_.take_peer_update(1, true, now_).placements.empty());
}

TEST(CacheIndex, RemovingPartsOfOldWeightsKeepsThoseOfNewOnes) {
  control::CacheIndex mirror;
  fleet::CacheChanges changes;
  changes.holder = "s:1";
  changes.claim = 1;
  changes.holdings = {{11, 2, 100}, {11, 1, 0}};  // a KV store drops parts of old weights late
  mirror.apply("a", changes);
  EXPECT_EQ(mirror.full_contents("s:1").holdings.at(0).tokens, 100U);
}

TEST(CacheIndex, OneOfTwoFollowersWithEqualClaimsWins) {
  control::CacheIndex mirror;
  fleet::CacheChanges changes;
  changes.holder = "e1";
  changes.claim = 3;
  EXPECT_TRUE(mirror.apply("b", changes));
  EXPECT_FALSE(mirror.apply("a", changes));
  changes.claim = 4;
  EXPECT_TRUE(mirror.apply("a", changes));
}

TEST(RouterDirectory, RouterThatItsMemberNoLongerHearsIsNotListed) {
  control::RouterDirectory directory;
  directory.on_notice("m", {router_record("r1"), true}, 1s);
  EXPECT_EQ(directory.select_for_callers("z1", kMaxRouters, 1s).size(), 1U);
  directory.on_notice("m", {router_record("r1"), false}, 2s);
  EXPECT_TRUE(directory.select_for_callers("z1", kMaxRouters, 2s).empty());
  directory.on_status(router_record("r1"), 3s);
  EXPECT_EQ(directory.ready_count(4s), 1U);
  EXPECT_EQ(directory.ready_count(20s), 0U);
}

TEST(LeaderConfirmationTracker, ConfirmationAgeIsCountedFromTheRequest) {
  control::LeaderConfirmationTracker confirmation_tracker;
  const auto request = confirmation_tracker.make_request(10s);
  confirmation_tracker.on_answer({request.number, 40, 7});
  ASSERT_TRUE(confirmation_tracker.newest());
  EXPECT_EQ(confirmation_tracker.newest()->at, 10s - 40ms);
  EXPECT_EQ(confirmation_tracker.newest()->version, 7U);
  confirmation_tracker.on_answer({request.number, 0, 8});  // a duplicate answer is ignored
  EXPECT_EQ(confirmation_tracker.newest()->version, 7U);
  confirmation_tracker.on_answer(
      {confirmation_tracker.make_request(11s).number, -1, 9});  // the answering member is not the leader
  EXPECT_EQ(confirmation_tracker.newest()->at, 10s - 40ms);
}

// A member of a build that knows no compact heartbeats lost all back ends that it did not hear itself.
TEST_F(FleetSoftStateTest, BackendsStayKnownAtAMemberThatReadsNoCompactHeartbeats) {
  FleetSoftState member{{"a:1", "z1", {}}};
  PeerUpdate from_earlier_build;
  from_earlier_build.sender = "b:1";
  from_earlier_build.number = 1;
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    const TimePoint now(Duration(std::chrono::milliseconds(200 * sequence)));
    member.on_peer_update(from_earlier_build, now);
    ++from_earlier_build.number;
    ASSERT_TRUE(member.on_heartbeat(engine_record("e", sequence), now));
    const PeerUpdate update = member.take_peer_update(1, false, now);
    ASSERT_EQ(update.heartbeats.size(), 1U) << "heartbeat " << sequence;
    EXPECT_EQ(update.heartbeats[0].sequence, sequence);
  }
}

}  // namespace
}  // namespace stoat
