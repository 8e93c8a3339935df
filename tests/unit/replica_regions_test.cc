// The replicated log across two regions: three members in one, two in the other, 20 ms one-way delay between
// them.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>

#include "src/consensus/replica.h"

namespace stoat::consensus {
namespace {

constexpr Duration kStep = 1ms;
constexpr Duration kInterRegionDelay = 20ms;  ///< one way
constexpr Duration kRetransmitDelay = 250ms;  ///< until a lost packet is retransmitted
constexpr MemberId kLastOfLargerRegion = 3;   ///< members 1 to 3 share a region, 4 and 5 the other
constexpr MemberId kMembers = 5;

bool crosses(MemberId from, MemberId to) {
  return (from <= kLastOfLargerRegion) != (to <= kLastOfLargerRegion);
}

/// Five replicas connected by links that keep messages in order. Disk writes take no time.
class TwoRegionsLogTest : public ::testing::Test {
 protected:
  TwoRegionsLogTest() {
    RestoredState state;
    state.hard_state.term = 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    for (MemberId id = 1; id <= kMembers; ++id) {
      state.snapshot.members.members.push_back({id, std::to_string(id), "", true});
    }
    for (MemberId id = 1; id <= kMembers; ++id) {
      ReplicaOptions options;
      options.id = id;
      options.election_timeout = 250ms;
      options.heartbeat_interval = 50ms;
      replicas_.emplace(id, Replica(options, state, id, now_));
    }
  }

  void run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, replica] : replicas_) {
        if (only_candidate_ == 0 || only_candidate_ == id) {
          replica.tick(now_);
        }
        drive(replica);
      }
      deliver();
    }
  }
  /// Lets only this member start elections, for 2 s. Returns true when it is the leader afterwards.
  bool elect(MemberId id) {
    only_candidate_ = id;
    run(2s);
    only_candidate_ = 0;
    run(500ms);
    return leader_id() == id;
  }
  /// The leader with the highest term; 0: none.
  MemberId leader_id() const {
    MemberId leader = 0;
    for (const auto& [id, replica] : replicas_) {
      if (replica.leads() && (leader == 0 || replica.term() > replicas_.at(leader).term())) {
        leader = id;
      }
    }
    return leader;
  }
  Replica& member(MemberId id) { return replicas_.at(id); }

  TimePoint now_{1s};
  std::set<std::pair<MemberId, MemberId>> cut_links_;  ///< from, to
  std::map<std::pair<MemberId, MemberId>, TimePoint> delayed_until_;

 private:
  struct QueuedMessage {
    TimePoint arrives_at{0};
    Message message;
  };
  void drive(Replica& replica) {
    Output output = replica.take_output();
    send(output.send_now);
    if (output.needs_disk()) {
      replica.persisted(replica.last_index(), replica.term_at(replica.last_index()), now_);
    }
    send(output.send_after_persist);
  }
  void send(const std::vector<Message>& messages) {
    for (const Message& message : messages) {
      const auto link = std::make_pair(message.from, message.to);
      const Duration delay = crosses(message.from, message.to) ? kInterRegionDelay : kStep;
      links_[link].push_back({std::max(now_ + delay, delayed_until_[link]), message});
    }
  }
  void deliver() {
    for (auto& [link, queue] : links_) {
      if (cut_links_.count(link) > 0) {
        queue.clear();
      }
      while (!queue.empty() && queue.front().arrives_at <= now_) {
        const Message message = queue.front().message;
        queue.pop_front();
        replicas_.at(message.to).receive(message, now_);
      }
    }
  }

  MemberId only_candidate_ = 0;
  std::map<MemberId, Replica> replicas_;
  std::map<std::pair<MemberId, MemberId>, std::deque<QueuedMessage>> links_;
};

TEST_F(TwoRegionsLogTest, LeaderInTheSmallerRegionCommitsAfterOneRoundTrip) {
  ASSERT_TRUE(elect(5));
  const uint64_t index = member(5).propose("command", now_);
  run(2 * kInterRegionDelay + 10ms);
  EXPECT_GE(member(5).commit_index(), index);
}

TEST_F(TwoRegionsLogTest, PacketLossBetweenRegionsDoesNotDeposeTheLeader) {
  ASSERT_TRUE(elect(5));
  const uint64_t term = member(5).term();
  for (int round = 0; round < 20; ++round) {
    // One link after the other: messages behind a lost packet wait for its retransmission.
    delayed_until_[{5, 1 + round % kLastOfLargerRegion}] = now_ + kRetransmitDelay + kInterRegionDelay;
    run(500ms);
    EXPECT_TRUE(member(5).leads()) << round;
  }
  EXPECT_EQ(member(5).term(), term);
}

TEST_F(TwoRegionsLogTest, OnlyTheLargerRegionCommitsDuringAPartition) {
  ASSERT_TRUE(elect(5));
  for (MemberId from = 1; from <= kMembers; ++from) {
    for (MemberId to = 1; to <= kMembers; ++to) {
      if (crosses(from, to)) {
        cut_links_.insert({from, to});
      }
    }
  }
  const uint64_t uncommitted = member(5).propose("not confirmed", now_);
  run(1500ms);
  const MemberId leader = leader_id();
  ASSERT_GE(leader, 1U);
  EXPECT_LE(leader, kLastOfLargerRegion);
  EXPECT_FALSE(member(5).leads()) << "it would accept commands that it cannot commit";
  EXPECT_LT(member(5).commit_index(), uncommitted);
  const uint64_t index = member(leader).propose("command", now_);
  run(50ms);
  EXPECT_GE(member(leader).commit_index(), index);
  cut_links_.clear();
  run(1s);
  EXPECT_EQ(leader_id(), leader) << "members that rejoin must not depose the leader";
  EXPECT_GE(member(5).commit_index(), index);
}

TEST_F(TwoRegionsLogTest, OneWayPartitionLeavesOneLeaderThatCommits) {
  ASSERT_TRUE(elect(5));
  for (MemberId from = kLastOfLargerRegion + 1; from <= kMembers; ++from) {
    for (MemberId to = 1; to <= kLastOfLargerRegion; ++to) {
      cut_links_.insert({from, to});
    }
  }
  run(2s);
  const MemberId leader = leader_id();
  ASSERT_GE(leader, 1U);
  EXPECT_LE(leader, kLastOfLargerRegion);
  EXPECT_FALSE(member(5).leads());
  const uint64_t index = member(leader).propose("command", now_);
  run(50ms);
  EXPECT_GE(member(leader).commit_index(), index);
}

}  // namespace
}  // namespace stoat::consensus
