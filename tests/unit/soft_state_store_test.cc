/// Soft state on disk: what was written is read back after a restart, whatever happened to the last write.
#include "src/storage/soft_state_store.h"

#include <gtest/gtest.h>

#include "simulation/simulated_disk.h"

namespace stoat::storage {
namespace {

using simulation::SimulatedDisk;

constexpr int64_t kLifetimeMs = 10000;

fleet::StreamRecord make_record_of(uint64_t stream) { return {stream, {"models", "v1"}, 0, kLifetimeMs}; }

std::vector<uint64_t> streams_of(const RestoredSoftState& restored) {
  std::vector<uint64_t> streams;
  for (const fleet::StreamRecord& record : restored.records) {
    streams.push_back(record.stream);
  }
  return streams;
}

class SoftStateStoreTest : public testing::Test {
 protected:
  RestoredSoftState restart() {
    store_ = std::make_unique<SoftStateStore>(disk_);
    auto restored = store_->load(now_);
    EXPECT_TRUE(restored.has_value());
    return *restored;
  }
  bool write(uint64_t stream) { return store_->write_records({make_record_of(stream)}, now_).has_value(); }

  TimePoint now_{1s};
  SimulatedDisk disk_{1};
  std::unique_ptr<SoftStateStore> store_ = std::make_unique<SoftStateStore>(disk_);
};

TEST_F(SoftStateStoreTest, RestartForgetsRecordsAndVersions) {
  ASSERT_TRUE(store_->write_snapshot({{{"models", {"v1", "v2"}}}}));
  ASSERT_TRUE(write(1));
  ASSERT_TRUE(write(2));
  disk_.lose_power();
  const RestoredSoftState restored = restart();
  EXPECT_TRUE(restored.found);
  EXPECT_EQ(streams_of(restored), (std::vector<uint64_t>{1, 2}));
  EXPECT_EQ(restored.records.front().origin.software, "v1");
  EXPECT_EQ(restored.records.front().lifetime_ms, kLifetimeMs);
  EXPECT_EQ(restored.snapshot.software, (std::vector<fleet::ServiceSoftware>{{"models", {"v1", "v2"}}}));
}

// An empty disk was taken for the knowledge that there is nothing.
TEST_F(SoftStateStoreTest, EmptyDiskIsNotFound) {
  EXPECT_FALSE(restart().found);
  ASSERT_TRUE(store_->write_snapshot({}));
  EXPECT_TRUE(restart().found);
}

// What follows a torn write in the file would never be read.
TEST_F(SoftStateStoreTest, RecordsAfterAFailedWriteAreLost) {
  ASSERT_TRUE(write(1));
  disk_.interrupt_next_write();
  EXPECT_FALSE(write(2));
  ASSERT_TRUE(write(2));
  ASSERT_TRUE(write(3));
  EXPECT_EQ(streams_of(restart()), (std::vector<uint64_t>{1, 2, 3}));
}

TEST_F(SoftStateStoreTest, TornTailIsDroppedAndOverwritten) {
  ASSERT_TRUE(write(1));
  disk_.interrupt_next_write();
  EXPECT_FALSE(write(2));
  EXPECT_EQ(streams_of(restart()).front(), 1U);
  ASSERT_TRUE(write(3));
  EXPECT_EQ(streams_of(restart()), (std::vector<uint64_t>{1, 3}));
}

TEST_F(SoftStateStoreTest, FailingDiskIsReportedAndUsableLater) {
  ASSERT_TRUE(write(1));
  disk_.set_failing(true);
  EXPECT_FALSE(write(2));
  EXPECT_FALSE(store_->write_snapshot({}));
  disk_.set_failing(false);
  ASSERT_TRUE(write(2));
  EXPECT_EQ(streams_of(restart()), (std::vector<uint64_t>{1, 2}));
}

TEST_F(SoftStateStoreTest, DamagedSnapshotIsReportedAndNotUsed) {
  ASSERT_TRUE(store_->write_snapshot({{{"models", {"v1"}}}}));
  ASSERT_TRUE(disk_.flip_bit("soft_state", disk_.size_of("soft_state") - 1));
  const RestoredSoftState restored = restart();
  EXPECT_FALSE(restored.found);
  EXPECT_TRUE(restored.snapshot.software.empty());
  ASSERT_EQ(restored.damages.size(), 1U);
  EXPECT_EQ(restored.damages.front().file, "soft_state");
}

TEST_F(SoftStateStoreTest, RecordsBeforeDamageAreRead) {
  for (uint64_t stream = 1; stream <= 4; ++stream) {
    ASSERT_TRUE(write(stream));
  }
  ASSERT_TRUE(disk_.flip_bit("streams-1", disk_.size_of("streams-1") / 2 + 16));
  const RestoredSoftState restored = restart();
  EXPECT_EQ(streams_of(restored), (std::vector<uint64_t>{1, 2}));
  ASSERT_EQ(restored.damages.size(), 1U);
  EXPECT_EQ(restored.damages.front().file, "streams-1");
}

/// A journal with small files, of 40 records or so each.
class StreamJournalTest : public testing::Test {
 protected:
  static constexpr uint64_t kTurnBytes = 1000;
  static constexpr uint64_t kFileBytes = 4000;

  bool write(uint64_t stream) { return journal_.write({make_record_of(stream)}, now_).has_value(); }
  std::vector<fleet::StreamRecord> load() {
    std::vector<FileDamage> damages;
    StreamJournal journal(disk_, {kTurnBytes, kFileBytes});
    auto records = journal.load(now_, damages);
    EXPECT_TRUE(records.has_value());
    EXPECT_TRUE(damages.empty());
    return *records;
  }

  TimePoint now_{1s};
  SimulatedDisk disk_{1};
  StreamJournal journal_{disk_, {kTurnBytes, kFileBytes}};
};

// The journal would fill the disk, or lose records that still matter.
TEST_F(StreamJournalTest, FilesTakeTurnsAndKeepWhatHasNotExpired) {
  constexpr uint64_t kRecords = 2000;
  constexpr Duration kPause = 500ms;  // a lifetime has 20 records
  for (uint64_t stream = 1; stream <= kRecords; ++stream) {
    ASSERT_TRUE(write(stream));
    ASSERT_LE(journal_.bytes(), 2 * kFileBytes);
    now_ += kPause;
  }
  std::set<uint64_t> found;
  for (const fleet::StreamRecord& record : load()) {
    found.insert(record.stream);
  }
  for (uint64_t stream = kRecords - kLifetimeMs / 500 + 1; stream <= kRecords; ++stream) {
    EXPECT_EQ(found.count(stream), 1U) << stream;
  }
}

TEST_F(StreamJournalTest, FullJournalRefusesWritesUntilRecordsExpire) {
  uint64_t written = 0;
  while (write(written + 1)) {
    ASSERT_LT(++written, 1000U);
  }
  EXPECT_GT(written, 100U);
  EXPECT_EQ(load().size(), written);
  now_ += Duration(1000 * kLifetimeMs);
  EXPECT_TRUE(write(written + 1));
}

}  // namespace
}  // namespace stoat::storage
