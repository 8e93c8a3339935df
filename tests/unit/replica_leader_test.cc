// Messages that a leader sends in response to single messages: snapshots and appends to a lagging member.
#include <gtest/gtest.h>

#include <algorithm>

#include "src/consensus/replica.h"
#include "src/wire/codec.h"

namespace stoat::consensus {
namespace {

constexpr MemberId kSelf = 1;
constexpr MemberId kLagging = 2;
constexpr MemberId kOther = 3;
constexpr uint64_t kTerm = 2;

MemberList three_members() {
  return MemberList{{{kSelf, "self", "", true}, {kLagging, "behind", "", true}, {kOther, "other", "", true}}};
}

/// A replica that has just been elected, with entry 2 of its own term.
class ReplicaLeaderTest : public testing::Test {
 protected:
  ReplicaLeaderTest() : replica_(options(), bootstrapped_state(), 1, now_) {
    now_ += 10s;
    replica_.tick(now_);
    deliver_response(MessageKind::kPreVoteResponse, kOther, true, 0);
    deliver_response(MessageKind::kVoteResponse, kOther, true, 0);
    replica_.take_output();
  }

  static ReplicaOptions options() {
    ReplicaOptions options;
    options.id = kSelf;
    return options;
  }
  static RestoredState bootstrapped_state() {
    RestoredState state;
    state.hard_state.term = kTerm - 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    state.snapshot.members = three_members();
    return state;
  }
  void deliver_response(MessageKind kind, MemberId from, bool granted, uint64_t index,
                        uint64_t answered_index = 0) {
    Message message;
    message.kind = kind;
    message.from = from;
    message.to = kSelf;
    message.term = kTerm;
    message.granted = granted;
    message.log_index = index;
    message.offset = answered_index;
    replica_.receive(message, now_);
  }
  /// Proposes entries that kOther acknowledges, then compacts the log up to `snapshot_index`.
  void fill_and_compact(uint64_t entries, uint64_t snapshot_index) {
    for (uint64_t number = 0; number < entries; ++number) {
      replica_.propose("entry", now_);
    }
    replica_.persisted(replica_.last_index(), kTerm, now_);
    deliver_response(MessageKind::kAppendResponse, kOther, true, replica_.last_index());
    Snapshot snapshot;
    snapshot.index = snapshot_index;
    snapshot.term = kTerm;
    snapshot.members = three_members();
    replica_.compact(std::make_shared<const std::string>(wire::encode(snapshot)), snapshot_index, kTerm,
                     three_members());
    replica_.take_output();
  }
  /// Lets heartbeats pass that kOther answers and kLagging does not. Returns what kLagging was sent
  /// meanwhile.
  std::vector<Message> pass_heartbeats(int count) {
    std::vector<Message> to_lagging;
    for (int number = 0; number < count; ++number) {
      now_ += 100ms;
      deliver_response(MessageKind::kAppendResponse, kOther, true, replica_.last_index());
      replica_.tick(now_);
      for (Message& message : replica_.take_output().send_now) {
        if (message.to == kLagging) {
          to_lagging.push_back(std::move(message));
        }
      }
    }
    return to_lagging;
  }
  /// Entries in messages.
  static size_t count_entries(const std::vector<Message>& messages) {
    size_t count = 0;
    for (const Message& message : messages) {
      count += message.entries.size();
    }
    return count;
  }
  /// Bytes of snapshots in messages.
  static size_t count_snapshot_bytes(const std::vector<Message>& messages) {
    size_t count = 0;
    for (const Message& message : messages) {
      count += message.bytes.size();
    }
    return count;
  }
  /// Number of messages of a kind sent to the lagging member since the last call.
  int64_t sent_to_lagging(MessageKind kind) {
    const std::vector<Message> sent = replica_.take_output().send_now;
    return std::count_if(sent.begin(), sent.end(), [kind](const Message& message) {
      return message.to == kLagging && message.kind == kind;
    });
  }

  TimePoint now_{1s};
  Replica replica_;
};

TEST_F(ReplicaLeaderTest, SendsSnapshotWhenEntriesAreCompacted) {
  ASSERT_TRUE(replica_.leads());
  fill_and_compact(10, 10);
  deliver_response(MessageKind::kAppendResponse, kLagging, false, 1, 2);
  EXPECT_EQ(sent_to_lagging(MessageKind::kSnapshotChunk), 1);
}

TEST_F(ReplicaLeaderTest, ResumesAppendsWhenALateResponseMakesTheSnapshotUnnecessary) {
  ASSERT_TRUE(replica_.leads());
  fill_and_compact(10, 10);
  deliver_response(MessageKind::kAppendResponse, kLagging, false, 1, 2);
  ASSERT_EQ(sent_to_lagging(MessageKind::kSnapshotChunk), 1);
  // A delayed response to an append sent before the snapshot.
  deliver_response(MessageKind::kAppendResponse, kLagging, true, 11);
  replica_.take_output();
  now_ += 200ms;
  deliver_response(MessageKind::kAppendResponse, kOther, true, replica_.last_index());
  replica_.tick(now_);
  EXPECT_EQ(sent_to_lagging(MessageKind::kAppend), 1) << "the lagging member gets no more messages";
}

// A leader sent a large entry again with each heartbeat while it was still under way on a slow link.
TEST_F(ReplicaLeaderTest, EntryIsNotSentAgainWhileItIsUnderWay) {
  ASSERT_TRUE(replica_.leads());
  deliver_response(MessageKind::kAppendResponse, kLagging, true, replica_.last_index());
  replica_.take_output();
  replica_.propose(std::string(1U << 20U, 'x'), now_);
  EXPECT_EQ(sent_to_lagging(MessageKind::kAppend), 1);
  const std::vector<Message> heartbeats = pass_heartbeats(20);
  EXPECT_GE(heartbeats.size(), 10U);
  EXPECT_EQ(count_entries(heartbeats), 0U);
}

TEST_F(ReplicaLeaderTest, LostEntryIsSentAgainOnceTheFollowerLacksIt) {
  ASSERT_TRUE(replica_.leads());
  const uint64_t held = replica_.last_index();
  deliver_response(MessageKind::kAppendResponse, kLagging, true, held);
  const uint64_t lost = replica_.propose("lost", now_);
  const std::vector<Message> heartbeats = pass_heartbeats(5);
  ASSERT_FALSE(heartbeats.empty());
  deliver_response(MessageKind::kAppendResponse, kLagging, false, held, heartbeats.back().log_index);
  const std::vector<Message> probe = replica_.take_output().send_now;
  ASSERT_EQ(probe.size(), 1U);
  EXPECT_EQ(probe[0].log_index, held);
  EXPECT_TRUE(probe[0].entries.empty());
  deliver_response(MessageKind::kAppendResponse, kLagging, true, held);
  const std::vector<Message> resent = replica_.take_output().send_now;
  ASSERT_EQ(resent.size(), 1U);
  ASSERT_EQ(resent[0].entries.size(), 1U);
  EXPECT_EQ(resent[0].entries[0].index, lost);
}

// A leader sent a chunk of a snapshot again with each heartbeat while it was still under way on a slow link.
TEST_F(ReplicaLeaderTest, SnapshotChunkIsNotSentAgainWhileItIsUnderWay) {
  ASSERT_TRUE(replica_.leads());
  fill_and_compact(10, 10);
  deliver_response(MessageKind::kAppendResponse, kLagging, false, 1, 2);
  replica_.take_output();
  const std::vector<Message> heartbeats = pass_heartbeats(20);
  EXPECT_GE(heartbeats.size(), 10U);
  EXPECT_EQ(count_snapshot_bytes(heartbeats), 0U);
}

TEST_F(ReplicaLeaderTest, LostSnapshotChunkIsSentAgainOnceTheFollowerLacksIt) {
  ASSERT_TRUE(replica_.leads());
  fill_and_compact(10, 10);
  deliver_response(MessageKind::kAppendResponse, kLagging, false, 1, 2);
  replica_.take_output();
  const std::vector<Message> heartbeats = pass_heartbeats(5);
  ASSERT_FALSE(heartbeats.empty());
  Message response;
  response.kind = MessageKind::kSnapshotResponse;
  response.from = kLagging;
  response.to = kSelf;
  response.term = kTerm;
  response.round = heartbeats.back().round;
  response.log_index = 1;
  response.log_term = heartbeats.back().log_index;
  replica_.receive(response, now_);
  EXPECT_GT(count_snapshot_bytes(replica_.take_output().send_now), 0U);
  replica_.receive(response, now_);
  EXPECT_EQ(count_snapshot_bytes(replica_.take_output().send_now), 0U) << "a repeated response";
}

}  // namespace
}  // namespace stoat::consensus
