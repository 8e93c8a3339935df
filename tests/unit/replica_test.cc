// Reactions of one follower to single messages: snapshots and votes.
#include "src/consensus/replica.h"

#include <gtest/gtest.h>

#include "src/wire/codec.h"

namespace stoat::consensus {
namespace {

constexpr MemberId kSelf = 1;
constexpr MemberId kLeader = 2;
constexpr MemberId kOther = 3;

MemberList three_members() {
  return MemberList{{{kSelf, "self", "", true}, {kLeader, "leader", "", true}, {kOther, "other", "", true}}};
}

RestoredState bootstrapped_state() {
  RestoredState state;
  state.hard_state.term = 1;
  state.snapshot.index = 1;
  state.snapshot.term = 1;
  state.snapshot.members = three_members();
  return state;
}

Replica make_replica() {
  ReplicaOptions options;
  options.id = kSelf;
  return Replica(options, bootstrapped_state(), 1, TimePoint(0));
}

Message message_from_leader(MessageKind kind, uint64_t term) {
  Message message;
  message.kind = kind;
  message.from = kLeader;
  message.to = kSelf;
  message.term = term;
  return message;
}

Message make_append(uint64_t previous, uint64_t count, uint64_t commit) {
  Message message = message_from_leader(MessageKind::kAppend, 2);
  message.log_index = previous;
  message.log_term = previous == 1 ? 1 : 2;
  message.commit = commit;
  for (uint64_t index = previous + 1; index <= previous + count; ++index) {
    message.entries.push_back({index, 2, EntryKind::kCommand, "entry"});
  }
  return message;
}

TEST(ReplicaTest, OldSnapshotKeepsAcknowledgedEntriesAfterIt) {
  Replica replica = make_replica();
  replica.receive(make_append(1, 5, 2), TimePoint(0));
  replica.persisted(6, 2, TimePoint(0));
  ASSERT_EQ(replica.last_index(), 6U);
  Snapshot snapshot;
  snapshot.index = 4;
  snapshot.term = 2;
  snapshot.members = three_members();
  Message chunk = message_from_leader(MessageKind::kSnapshotChunk, 2);
  chunk.bytes = wire::encode(snapshot);
  chunk.log_index = snapshot.index;
  chunk.last_chunk = true;
  replica.receive(chunk, TimePoint(0));
  EXPECT_EQ(replica.last_index(), 6U) << "acknowledged entries were removed";
  EXPECT_EQ(replica.commit_index(), 4U);
}

TEST(ReplicaTest, ConflictingSnapshotReplacesTheLog) {
  Replica replica = make_replica();
  replica.receive(make_append(1, 5, 1), TimePoint(0));
  Snapshot snapshot;
  snapshot.index = 4;
  snapshot.term = 3;
  snapshot.members = three_members();
  Message chunk = message_from_leader(MessageKind::kSnapshotChunk, 3);
  chunk.bytes = wire::encode(snapshot);
  chunk.log_index = snapshot.index;
  chunk.last_chunk = true;
  replica.receive(chunk, TimePoint(0));
  EXPECT_EQ(replica.last_index(), 4U);
}

TEST(ReplicaTest, VotesOncePerTerm) {
  Replica replica = make_replica();
  Message vote = message_from_leader(MessageKind::kVote, 5);
  vote.log_index = 1;
  vote.log_term = 1;
  replica.receive(vote, TimePoint(0));
  EXPECT_EQ(replica.voted_for(), kLeader);
  vote.from = kOther;
  replica.receive(vote, TimePoint(0));
  EXPECT_EQ(replica.voted_for(), kLeader);
}

TEST(ReplicaTest, VoteIsSentOnlyAfterPersisting) {
  Replica replica = make_replica();
  Message vote = message_from_leader(MessageKind::kVote, 5);
  vote.log_index = 1;
  vote.log_term = 1;
  replica.receive(vote, TimePoint(0));
  const Output output = replica.take_output();
  EXPECT_TRUE(output.send_now.empty());
  ASSERT_EQ(output.send_after_persist.size(), 1U);
  ASSERT_TRUE(output.hard_state.has_value());
  EXPECT_EQ(output.hard_state->voted_for, kLeader);
}

TEST(ReplicaTest, CandidateWithOlderLogGetsNoVote) {
  Replica replica = make_replica();
  replica.receive(make_append(1, 3, 1), TimePoint(0));
  Message vote = message_from_leader(MessageKind::kVote, 9);
  vote.from = kOther;
  vote.log_index = 1;
  vote.log_term = 1;
  vote.granted = true;  // set on a leadership transfer: the check for a live leader is skipped
  replica.receive(vote, TimePoint(0));
  EXPECT_NE(replica.voted_for(), kOther);
}

TEST(ReplicaTest, RejoiningMemberDoesNotDeposeALiveLeader) {
  Replica replica = make_replica();
  replica.receive(make_append(1, 1, 1), TimePoint(0));
  Message vote = message_from_leader(MessageKind::kVote, 9);
  vote.from = kOther;
  vote.log_index = 99;
  vote.log_term = 8;
  replica.receive(vote, TimePoint(0));
  EXPECT_EQ(replica.term(), 2U);
}

}  // namespace
}  // namespace stoat::consensus
