/// Requests that were under way at back ends when these crashed, at a control member: as its own routers and
/// the other members tell them. Routers are told of those that were at more than one crash. Free of I/O.
#pragma once

#include <utility>
#include <vector>

#include "src/admission/crash_history.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// See the head of this file.
class CrashAggregator {
 public:
  /// A router of this member tells what it has seen.
  void on_router(const std::vector<fleet::CrashRecord>& records, TimePoint now) {
    for (const fleet::CrashRecord& record : records) {
      if (take(record, now)) {
        untold_.insert(record.request);
      }
    }
  }
  /// Another member tells what has changed.
  void on_peer(const std::vector<fleet::CrashRecord>& records, TimePoint now) {
    for (const fleet::CrashRecord& record : records) {
      take(record, now);
    }
  }
  /// Forgets what is long ago.
  void expire(TimePoint now) {
    for (const uint64_t request : book_.expire(now)) {
      told_.erase(request);
      untold_.erase(request);
    }
  }
  /// What this member's routers have changed since the last call, for the other members.
  std::vector<fleet::CrashRecord> take_changes(TimePoint now) {
    std::vector<fleet::CrashRecord> list;
    for (const uint64_t request : std::exchange(untold_, {})) {
      list.push_back(book_.record(request, now));
    }
    return list;
  }
  std::vector<fleet::CrashRecord> all(TimePoint now) const { return book_.all(now); }
  /// What is known of a request now.
  fleet::CrashRecord record(uint64_t request, TimePoint now) const { return book_.record(request, now); }
  /// Requests that routers are told of, by fingerprint, with the known crashes of each; the ages are zero.
  const fleet::RevisionTable<uint64_t, std::vector<fleet::CrashReport>>& told() const { return told_; }

 private:
  bool take(const fleet::CrashRecord& record, TimePoint now) {
    if (!book_.merge(record, now)) {
      return false;
    }
    std::vector<fleet::CrashReport> notices = book_.record(record.request, now).crashes;
    if (notices.size() >= admission::kSuspectCrashes) {
      for (fleet::CrashReport& notice : notices) {
        notice.age_ms = 0;  // a change of age alone is not a new revision
      }
      told_.set(record.request, notices);
    }
    return true;
  }

  admission::CrashHistory book_;
  fleet::RevisionTable<uint64_t, std::vector<fleet::CrashReport>> told_;
  std::set<uint64_t> untold_;
};

}  // namespace stoat::control
