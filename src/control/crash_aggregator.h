/// Requests that were in progress at backends when the backends crashed, as reported to a control member by
/// its own routers and by the other members. Requests that were present at more than one crash are reported
/// to the routers. Performs no I/O.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "src/admission/crash_history.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// Merges the crash records of routers and members, and publishes the suspect requests.
class CrashAggregator {
 public:
  /// Merges the records that a router of this member reports.
  void on_router(const std::vector<fleet::CrashRecord>& records, TimePoint now) {
    for (const fleet::CrashRecord& record : records) {
      if (merge_record(record, now)) {
        changed_.insert(record.request);
      }
    }
  }
  /// Merges the records that another member reports.
  void on_peer(const std::vector<fleet::CrashRecord>& records, TimePoint now) {
    for (const fleet::CrashRecord& record : records) {
      merge_record(record, now);
    }
  }
  /// Forgets requests whose last crash is long ago.
  void expire(TimePoint now) {
    for (const uint64_t request : crash_history_.expire(now)) {
      suspects_.erase(request);
      changed_.erase(request);
    }
  }
  /// Records changed by this member's routers since the last call, to be sent to the other members.
  std::vector<fleet::CrashRecord> take_changes(TimePoint now) {
    std::vector<fleet::CrashRecord> list;
    for (const uint64_t request : std::exchange(changed_, {})) {
      list.push_back(crash_history_.record(request, now));
    }
    return list;
  }
  std::vector<fleet::CrashRecord> all(TimePoint now) const { return crash_history_.all(now); }
  /// What is known of one request.
  fleet::CrashRecord record(uint64_t request, TimePoint now) const {
    return crash_history_.record(request, now);
  }
  /// What is known of the requests that are reported to routers, those with the most crashes first; at most
  /// `limit`.
  std::vector<fleet::CrashRecord> suspect_records(size_t limit, TimePoint now) const {
    std::vector<fleet::CrashRecord> records;
    suspects_.visit_all([&](uint64_t request, const std::vector<fleet::CrashReport>&) {
      records.push_back(crash_history_.record(request, now));
    });
    std::stable_sort(records.begin(), records.end(), [](const auto& left, const auto& right) {
      return left.crashes.size() > right.crashes.size();
    });
    records.resize(std::min(records.size(), limit));
    return records;
  }
  /// The requests that are reported to routers, by fingerprint, with the known crashes of each; their ages
  /// are zero.
  const fleet::RevisionTable<uint64_t, std::vector<fleet::CrashReport>>& suspects() const {
    return suspects_;
  }

 private:
  bool merge_record(const fleet::CrashRecord& record, TimePoint now) {
    if (!crash_history_.merge(record, now)) {
      return false;
    }
    std::vector<fleet::CrashReport> reports = crash_history_.record(record.request, now).crashes;
    if (reports.size() >= admission::kSuspectCrashes) {
      for (fleet::CrashReport& report : reports) {
        report.age_ms = 0;  // a change of the age alone must not create a new revision
      }
      suspects_.set(record.request, reports);
    }
    return true;
  }

  admission::CrashHistory crash_history_;
  fleet::RevisionTable<uint64_t, std::vector<fleet::CrashReport>> suspects_;
  std::set<uint64_t> changed_;
};

}  // namespace stoat::control
