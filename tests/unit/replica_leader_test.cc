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

}  // namespace
}  // namespace stoat::consensus
