/// Five control members with 3000 backends and 300 routers in one process: bounds on the messages and bytes
/// that they exchange.
#include <gtest/gtest.h>

#include <deque>

#include "src/common/hash.h"
#include "src/control/fleet_soft_state.h"
#include "src/control/peer_flow_control.h"
#include "src/wire/channel.h"

namespace stoat {
namespace {

using control::FeedCursor;
using control::FleetSoftState;
using control::PeerFlowControl;

constexpr size_t kMembers = 5;
constexpr size_t kEngines = 3000;
constexpr size_t kRouters = 300;
constexpr Duration kStep = 50ms;
constexpr size_t kStepsPerHeartbeat = 24;  ///< 1.2 s
/// Capacity of a connection between two members per step: 1 MB/s.
constexpr size_t kBytesPerStep = 50000;

std::string member_address(size_t member) { return "10.0.0." + std::to_string(member) + ":7340"; }

fleet::BackendRecord engine_record(size_t number, uint64_t sequence) {
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

/// A connection with limited capacity, which delivers updates in order.
struct Connection {
  std::deque<std::pair<size_t, fleet::PeerUpdate>> queue;
  size_t unsent = 0;
  void send(size_t bytes, const fleet::PeerUpdate& peer_update) {
    unsent += bytes;
    queue.emplace_back(bytes, peer_update);
  }
};

struct Member {
  explicit Member(size_t number, TimePoint now)
      : soft_state({member_address(number), "zone-" + std::to_string(number), {}, {}, number + 1, now}) {}
  FleetSoftState soft_state;
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
  /// Delivers the heartbeats due in this step, each to one member.
  void deliver_heartbeats() {
    for (size_t number = step_ % kStepsPerHeartbeat; number < kEngines; number += kStepsPerHeartbeat) {
      const uint64_t sequence = step_ / kStepsPerHeartbeat + 1;
      members_[hash_pair(number, sequence) % kMembers]->soft_state.on_heartbeat(
          engine_record(number, sequence), now_);
    }
  }
  void exchange(Member& member) {
    const fleet::PeerUpdate peer_update = member.soft_state.take_peer_update(1, false, now_);
    const size_t bytes = wire::make_frame(peer_update).bytes.size();
    for (size_t to = 0; to < kMembers; ++to) {
      if (members_[to].get() == &member) {
        continue;
      }
      Connection& connection = member.connections[to];
      const bool lost = std::exchange(lose_next_, false);
      if (member.feeds.accepts_update(member_address(to), connection.unsent) && !lost) {
        connection.send(bytes, peer_update);
        sent_bytes_ += bytes;
      }
    }
    for (const std::string& requester : member.soft_state.take_full_state_requests()) {
      member.feeds.on_full_state_request(requester, now_);
    }
    for (size_t to = 0; to < kMembers; ++to) {
      Connection& connection = member.connections[to];
      if (member.feeds.full_state_due(member_address(to), connection.unsent, now_)) {
        const fleet::PeerUpdate full_state = member.soft_state.full_state_for_peer(1, false, {}, now_);
        full_state_bytes_ = wire::make_frame(full_state).bytes.size();
        connection.send(full_state_bytes_, full_state);
        member.feeds.on_full_state_sent(member_address(to), full_state_bytes_, now_);
        sent_bytes_ += full_state_bytes_;
        ++full_states_sent_;
      }
    }
  }
  void deliver(Connection& connection, Member& receiver) const {
    size_t room = kBytesPerStep;
    while (!connection.queue.empty() && room > 0) {
      auto& [remaining, peer_update] = connection.queue.front();
      const size_t taken = std::min(room, remaining);
      remaining -= taken;
      room -= taken;
      connection.unsent -= taken;
      if (remaining == 0) {
        receiver.soft_state.on_peer_update(peer_update, now_);
        connection.queue.pop_front();
      }
    }
  }
  void run(size_t steps) {
    for (size_t i = 0; i < steps; ++i) {
      now_ += kStep;
      deliver_heartbeats();
      for (const auto& member : members_) {
        exchange(*member);
      }
      for (const auto& member : members_) {
        for (auto& [to, connection] : member->connections) {
          deliver(connection, *members_[to]);
        }
        member->soft_state.expire(now_);
      }
      ++step_;
    }
  }

  std::vector<std::unique_ptr<Member>> members_;
  TimePoint now_ = 100s;
  size_t step_ = 0;
  size_t sent_bytes_ = 0;
  size_t full_states_sent_ = 0;
  size_t full_state_bytes_ = 0;
  bool lose_next_ = false;
};

TEST_F(LargeFleetTest, EachRecordIsSentOnceFromAnEmptyStart) {
  size_t record_bytes = 0;
  for (size_t number = 0; number < kEngines; ++number) {
    record_bytes += wire::encode(engine_record(number, 1)).size();
  }
  std::vector<FeedCursor> routers(kRouters);
  std::vector<size_t> records_received(kRouters);
  std::vector<size_t> bytes_received(kRouters);
  for (size_t i = 0; i < kStepsPerHeartbeat + 4; ++i) {
    run(1);
    for (size_t router = 0; router < kRouters; ++router) {
      fleet::FleetFeedUpdate message;
      do {
        message = members_[router % kMembers]->soft_state.next_feed_message(routers[router], now_);
        records_received[router] += message.backends.size();
        bytes_received[router] += wire::encode(message).size();
      } while (!message.empty());
    }
  }
  for (const auto& member : members_) {
    EXPECT_EQ(member->soft_state.registry().table().size(), kEngines);
  }
  EXPECT_EQ(full_states_sent_, 0U);
  EXPECT_LT(sent_bytes_, record_bytes * (kMembers - 1) * 13 / 10);
  for (size_t router = 0; router < kRouters; ++router) {
    ASSERT_EQ(records_received[router], kEngines);
    ASSERT_LT(bytes_received[router], record_bytes * 13 / 10);
  }
}

TEST_F(LargeFleetTest, HeartbeatsWithoutChangesTakeFewBytes) {
  run(3 * kStepsPerHeartbeat);
  sent_bytes_ = 0;
  run(kStepsPerHeartbeat);
  constexpr size_t kBytesPerHeartbeat = 20;
  EXPECT_LT(sent_bytes_, kEngines * (kMembers - 1) * kBytesPerHeartbeat);
  run(5 * kStepsPerHeartbeat);  // longer than the silence after which a backend counts as lost
  for (const auto& member : members_) {
    for (const fleet::BackendRecord& record : member->soft_state.registry().records()) {
      ASSERT_FALSE(record.lost) << record.id;
    }
  }
}

TEST_F(LargeFleetTest, LostMessageCostsOneFullStateOnASlowConnection) {
  run(2 * kStepsPerHeartbeat);
  ASSERT_EQ(full_states_sent_, 0U);
  sent_bytes_ = 0;
  lose_next_ = true;
  run(1);
  run(3 * kStepsPerHeartbeat);
  EXPECT_EQ(full_states_sent_, 1U);
  EXPECT_GT(full_state_bytes_, 3 * kBytesPerStep);  // the state takes several request intervals to arrive
  for (const auto& member : members_) {
    for (const auto& [to, connection] : member->connections) {
      EXPECT_EQ(connection.unsent, 0U);
    }
    EXPECT_TRUE(member->soft_state.take_peer_update(1, false, now_).incomplete.empty());
  }
}

TEST_F(LargeFleetTest, RestartedMemberCatchesUpWithOneFullStateFromEach) {
  run(2 * kStepsPerHeartbeat);
  members_[4] = std::make_unique<Member>(4, now_);
  for (size_t from = 0; from < 4; ++from) {
    members_[from]->connections[4] = {};
  }
  run(kStepsPerHeartbeat);
  EXPECT_EQ(members_[4]->soft_state.registry().table().size(), kEngines);
  EXPECT_LE(full_states_sent_,
            2 * (kMembers - 1));  // from each member to the new one, and from it to each member
}

}  // namespace
}  // namespace stoat
