/// When a control member requests to join.
#include "src/control/control_core.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

constexpr consensus::MemberId kOwnId = 7;

consensus::RestoredState restored_with(const std::vector<consensus::Member>& members) {
  consensus::RestoredState restored;
  restored.snapshot.index = 1;
  restored.snapshot.term = 1;
  restored.snapshot.members.members = members;
  restored.snapshot.state = StateMachine().save();
  restored.hard_state.term = 1;
  return restored;
}

ControlCore core_with(const std::vector<consensus::Member>& members) {
  ControlOptions options;
  options.replica.id = kOwnId;
  return ControlCore(options, restored_with(members), 1, TimePoint(1s));
}

TEST(ControlCore, UnlistedMemberRequestsToJoin) {
  EXPECT_TRUE(core_with({{1, "a", "a", true}}).wants_to_join());
}

TEST(ControlCore, ListedVoterWithoutALeaderRequestsToJoin) {
  // The other members may have removed it, or may never have committed the list in which it is a voter.
  EXPECT_TRUE(core_with({{1, "a", "a", true}, {kOwnId, "b", "b", true}}).wants_to_join());
}

TEST(ControlCore, ListedMemberWithALeaderDoesNotRequestToJoin) {
  ControlCore core = core_with({{1, "a", "a", true}, {kOwnId, "b", "b", true}});
  consensus::Message append;
  append.kind = consensus::MessageKind::kAppend;
  append.from = 1;
  append.to = kOwnId;
  append.term = 1;
  append.log_index = 1;
  append.log_term = 1;
  core.on_peer_message(append, TimePoint(1s));
  EXPECT_FALSE(core.wants_to_join());
}

// A member passed over entries of another build and went on with a state that lacked them.
TEST(ControlCore, AMemberGoesNoFurtherThanAnEntryItCannotRead) {
  ControlCore core = core_with({{kOwnId, "b", "b", true}});
  consensus::Output output;
  const std::string unknown_command("\x92\x63\x91\x01", 4);  // tag 99
  const std::string known_command = wire::encode(Command(fleet::SetTargetWeights{"m", 3}));
  output.committed.push_back({2, 1, consensus::EntryKind::kCommand, unknown_command});
  output.committed.push_back({3, 1, consensus::EntryKind::kCommand, known_command});
  core.on_persisted(output, TimePoint(1s));
  ASSERT_TRUE(core.unreadable_record().has_value());
  EXPECT_EQ(core.unreadable_record()->index, 2U);
  EXPECT_EQ(core.unreadable_record()->tag, 99U);
  EXPECT_EQ(core.applied_index(), 1U);
  EXPECT_TRUE(core.state().fleet().weights().empty());
}

// A member with an unreadable snapshot started with an empty state.
TEST(ControlCore, AnUnreadableSnapshotIsReported) {
  consensus::RestoredState restored = restored_with({{kOwnId, "b", "b", true}});
  restored.snapshot.state = "\x90";
  ControlOptions options;
  options.replica.id = kOwnId;
  const ControlCore core(options, restored, 1, TimePoint(1s));
  EXPECT_TRUE(core.unreadable_record().has_value());
}

/// Processes all outputs of a core that is the only member, as if its disk were instant.
void drain(ControlCore& core, TimePoint now) {
  for (consensus::Output output = core.take_output(); output.needs_disk() || !output.committed.empty();
       output = core.take_output()) {
    core.on_persisted(output, now);
  }
}

// The log was compacted by the number of its entries alone, and large ones filled the disk.
TEST(ControlCore, ALogOfLargeEntriesIsCompactedByItsBytes) {
  constexpr size_t kDocumentBytes = 1U << 20U;
  constexpr uint64_t kVersions = 60;
  constexpr size_t kMaxEntries = 16;
  ControlCore core = core_with({{kOwnId, "b", "b", true}});
  TimePoint now(1s);
  for (int tick = 0; tick < 100 && !core.replica().leads(); ++tick) {
    now += 50ms;
    core.tick(now);
    drain(core, now);
  }
  ASSERT_TRUE(core.replica().leads());
  size_t snapshots = 0;
  size_t most_entries = 0;
  for (uint64_t version = 1; version <= kVersions; ++version) {
    fleet::PutConfiguration command;
    command.configuration.version = version;
    command.source = std::string(kDocumentBytes, 'x');
    core.propose_command(version, command, now);
    drain(core, now);
    most_entries = std::max(most_entries, core.entries_after(core.replica().snapshot_index()).size());
    if (const auto due = core.due_snapshot()) {
      core.compact(std::make_shared<const std::string>(wire::encode(due->snapshot)), due->snapshot);
      ++snapshots;
      EXPECT_FALSE(core.due_snapshot().has_value());
    }
  }
  EXPECT_EQ(core.state().fleet().configuration().version, kVersions);
  EXPECT_LT(most_entries, kMaxEntries);
  EXPECT_GT(snapshots, kVersions / kMaxEntries);
}

}  // namespace
}  // namespace stoat::control
