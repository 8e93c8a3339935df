/// Five control members with thousands of back ends and hundreds of routers, in one process: what they tell
/// one another, by count of messages and of bytes.
#include <gtest/gtest.h>

#include <deque>

#include "src/common/hash.h"
#include "src/control/fleet_soft_state.h"
#include "src/control/peer_flow_control.h"
#include "src/wire/channel.h"

namespace stoat {
namespace {

using control::FeedCursor;
using control::FleetKnowledge;
using control::PeerFlowControl;

constexpr size_t kMembers = 5;
constexpr size_t kEngines = 3000;
constexpr size_t kRouters = 300;
constexpr Duration kStep = 50ms;
constexpr size_t kStepsPerHeartbeat = 24;  ///< 1.2 s
/// What a connection between two members takes in a step: 1 MB a second.
constexpr size_t kBytesPerStep = 50000;

std::string address_of(size_t member) { return "10.0.0." + std::to_string(member) + ":7340"; }

fleet::BackendRecord engine(size_t number, uint64_t sequence) {
  fleet::BackendRecord record;
  record.id = "i-" + to_hex(hash_pair(number, 1)).substr(0, 10);
  record.service = "models";
  record.address = "10." + std::to_string(number / 250) + ".64." + std::to_string(number % 250) + ":8064";
  record.zone = "zone-" + std::to_string(number % kMembers);
  record.slots = 12;
  record.sequence = sequence;
  record.models = {{"m0", 1}};
  return record;
}

/// A connection that takes so many bytes in a step.
struct Connection {
  std::deque<std::pair<size_t, fleet::PeerUpdate>> queue;
  size_t unsent = 0;
  void send(size_t bytes, const fleet::PeerUpdate& news) {
    unsent += bytes;
    queue.emplace_back(bytes, news);
  }
};

struct Member {
  explicit Member(size_t number, TimePoint now)
      : knowledge({address_of(number), "zone-" + std::to_string(number), {}, {}, number + 1, now}) {}
  FleetKnowledge knowledge;
  PeerFlowControl feeds;
  std::map<size_t, Connection> connections;  ///< by receiver
};

class LargeFleetTest : public ::testing::Test {
 protected:
  LargeFleetTest() {
    for (size_t number = 0; number < kMembers; ++number) {
      members_.push_back(std::make_unique<Member>(number, now_));
    }
  }
  /// The engines whose turn it is, each at some member.
  void hear_engines() {
    for (size_t number = step_ % kStepsPerHeartbeat; number < kEngines; number += kStepsPerHeartbeat) {
      const uint64_t sequence = step_ / kStepsPerHeartbeat + 1;
      members_[hash_pair(number, sequence) % kMembers]->knowledge.on_heartbeat(engine(number, sequence),
                                                                               now_);
    }
  }
  void exchange(Member& member) {
    const fleet::PeerUpdate news = member.knowledge.take_peer_news(1, false, now_);
    const size_t bytes = wire::make_frame(news).bytes.size();
    for (size_t to = 0; to < kMembers; ++to) {
      if (members_[to].get() == &member) {
        continue;
      }
      Connection& connection = member.connections[to];
      const bool lost = std::exchange(lose_next_, false);
      if (member.feeds.accepts_update(address_of(to), connection.unsent) && !lost) {
        connection.send(bytes, news);
        sent_bytes_ += bytes;
      }
    }
    for (const std::string& asking : member.knowledge.take_whole_requests()) {
      member.feeds.on_request(asking, now_);
    }
    for (size_t to = 0; to < kMembers; ++to) {
      Connection& connection = member.connections[to];
      if (member.feeds.full_state_due(address_of(to), connection.unsent, now_)) {
        const fleet::PeerUpdate whole = member.knowledge.whole_for_peer(1, false, {}, now_);
        whole_bytes_ = wire::make_frame(whole).bytes.size();
        connection.send(whole_bytes_, whole);
        member.feeds.on_full_state_sent(address_of(to), whole_bytes_, now_);
        sent_bytes_ += whole_bytes_;
        ++wholes_;
      }
    }
  }
  void deliver(Connection& connection, Member& receiver) const {
    size_t room = kBytesPerStep;
    while (!connection.queue.empty() && room > 0) {
      auto& [left, news] = connection.queue.front();
      const size_t taken = std::min(room, left);
      left -= taken;
      room -= taken;
      connection.unsent -= taken;
      if (left == 0) {
        receiver.knowledge.on_peer_news(news, now_);
        connection.queue.pop_front();
      }
    }
  }
  void run(size_t steps) {
    for (size_t i = 0; i < steps; ++i) {
      now_ += kStep;
      hear_engines();
      for (const auto& member : members_) {
        exchange(*member);
      }
      for (const auto& member : members_) {
        for (auto& [to, connection] : member->connections) {
          deliver(connection, *members_[to]);
        }
        member->knowledge.expire(now_);
      }
      ++step_;
    }
  }

  std::vector<std::unique_ptr<Member>> members_;
  TimePoint now_ = 100s;
  size_t step_ = 0;
  size_t sent_bytes_ = 0;
  size_t wholes_ = 0;
  size_t whole_bytes_ = 0;
  bool lose_next_ = false;
};

TEST_F(LargeFleetTest, FromNothingToAllKnownEachRecordIsSentOnce) {
  size_t record_bytes = 0;
  for (size_t number = 0; number < kEngines; ++number) {
    record_bytes += wire::encode(engine(number, 1)).size();
  }
  std::vector<FeedCursor> routers(kRouters);
  std::vector<size_t> told(kRouters);
  std::vector<size_t> told_bytes(kRouters);
  for (size_t i = 0; i < kStepsPerHeartbeat + 4; ++i) {
    run(1);
    for (size_t router = 0; router < kRouters; ++router) {
      fleet::FleetFeedUpdate news;
      do {
        news = members_[router % kMembers]->knowledge.next_news(routers[router], now_);
        told[router] += news.backends.size();
        told_bytes[router] += wire::encode(news).size();
      } while (!news.empty());
    }
  }
  for (const auto& member : members_) {
    EXPECT_EQ(member->knowledge.registry().table().size(), kEngines);
  }
  EXPECT_EQ(wholes_, 0U);
  EXPECT_LT(sent_bytes_, record_bytes * (kMembers - 1) * 13 / 10);
  for (size_t router = 0; router < kRouters; ++router) {
    ASSERT_EQ(told[router], kEngines);
    ASSERT_LT(told_bytes[router], record_bytes * 13 / 10);
  }
}

TEST_F(LargeFleetTest, HeartbeatsOfAKnownFleetTakeAFewBytesEach) {
  run(3 * kStepsPerHeartbeat);
  sent_bytes_ = 0;
  run(kStepsPerHeartbeat);
  constexpr size_t kBytesPerHeartbeat = 20;
  EXPECT_LT(sent_bytes_, kEngines * (kMembers - 1) * kBytesPerHeartbeat);
  run(5 * kStepsPerHeartbeat);  // longer than until a silent one counts as lost
  for (const auto& member : members_) {
    for (const fleet::BackendRecord& record : member->knowledge.registry().records()) {
      ASSERT_FALSE(record.lost) << record.id;
    }
  }
}

TEST_F(LargeFleetTest, ALostMessageCostsOneWholeAlsoOverASlowConnection) {
  run(2 * kStepsPerHeartbeat);
  ASSERT_EQ(wholes_, 0U);
  sent_bytes_ = 0;
  lose_next_ = true;
  run(1);
  run(3 * kStepsPerHeartbeat);
  EXPECT_EQ(wholes_, 1U);
  EXPECT_GT(whole_bytes_, 3 * kBytesPerStep);  // it takes several questions' time to arrive
  for (const auto& member : members_) {
    for (const auto& [to, connection] : member->connections) {
      EXPECT_EQ(connection.unsent, 0U);
    }
    EXPECT_TRUE(member->knowledge.take_peer_news(1, false, now_).incomplete.empty());
  }
}

TEST_F(LargeFleetTest, AMemberThatStartsAnewKnowsAllAfterOneWholeOfEach) {
  run(2 * kStepsPerHeartbeat);
  members_[4] = std::make_unique<Member>(4, now_);
  for (size_t from = 0; from < 4; ++from) {
    members_[from]->connections[4] = {};
  }
  run(kStepsPerHeartbeat);
  EXPECT_EQ(members_[4]->knowledge.registry().table().size(), kEngines);
  EXPECT_LE(wholes_, 2 * (kMembers - 1));  // of each to the new one, and of it to each
}

}  // namespace
}  // namespace stoat
