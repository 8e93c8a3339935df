/// FleetServer: the part of the soft state that is on disk, so that it outlives a restart of all processes.
#include <algorithm>

#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// Bounds the size of the snapshot.
constexpr size_t kMaxStoredSuspects = 2000;

}  // namespace

void FleetServer::restore_soft_state() {
  const TimePoint now = loop_.now();
  const auto restored = soft_state_store_.load(now);
  if (!restored) {
    log_.error("cannot read the soft state",
               {{"file", restored.error().path}, {"error", restored.error().message}});
  } else {
    for (const storage::FileDamage& damage : restored->damages) {
      log_.error("soft state damaged",
                 {{"file", damage.file}, {"offset", damage.offset}, {"error", damage.message}});
    }
    for (const fleet::StreamRecord& record : restored->records) {
      stream_records_.put(record, now);
    }
    restore_snapshot(restored->snapshot);
  }
  const bool found = restored && restored->found;
  const bool is_new_fleet = settings_.first_start && core_->replica().last_index() == 0;
  // After the loss of a disk, the other members tell the versions that are gone, and backends those that
  // serve.
  software_known_at_ = now + (found || is_new_fleet ? Duration(0) : settings_.registry.overdue_after);
  log_.info("soft state restored", {{"found", found},
                                    {"stream_records", stream_records_.size()},
                                    {"suspects", soft_state_.crashes().suspects().size()}});
  soft_state_writer_ =
      std::make_unique<SoftStateWriter>(loop_, soft_state_store_, [this](const storage::FileError& error) {
        metrics_.count("stoat_control_soft_state_failures_total");
        log_.error("cannot write the soft state", {{"file", error.path}, {"error", error.message}});
      });
}

void FleetServer::restore_snapshot(const storage::SoftStateSnapshot& snapshot) {
  const TimePoint now = loop_.now();
  software_history_.restore(snapshot.software, now);
  const int64_t elapsed_ms = std::max<int64_t>(0, wall_clock_ms() - snapshot.written_at_ms);
  std::vector<fleet::CrashRecord> suspects = snapshot.suspects;
  for (fleet::CrashRecord& suspect : suspects) {
    for (fleet::CrashReport& report : suspect.crashes) {
      report.age_ms += elapsed_ms;
    }
  }
  soft_state_.restore_crashes(suspects, now);
}

void FleetServer::store_soft_state() {
  const CrashAggregator& crashes = soft_state_.crashes();
  const uint64_t suspects_revision = crashes.suspects().revision();
  if (stored_software_revision_ == software_history_.revision() &&
      stored_suspects_revision_ == suspects_revision) {
    return;
  }
  stored_software_revision_ = software_history_.revision();
  stored_suspects_revision_ = suspects_revision;
  soft_state_writer_->write_snapshot({software_history_.services(),
                                      crashes.suspect_records(kMaxStoredSuspects, loop_.now()),
                                      wall_clock_ms()});
}

}  // namespace stoat::control
