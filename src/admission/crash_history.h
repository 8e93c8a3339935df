/// Tracks which requests were in flight at backends when those crashed. A crash counts against every
/// request that the backend was processing. A request that itself causes crashes stands out by being involved
/// each time and never completing successfully. Performs no I/O.
///
/// The cause may also be a part of the prompt that requests share although they are never alike. What is
/// tracked are therefore features: the fingerprint of a whole request, and each shared part of its prompt
/// (dispatch::part_features). A feature is cleared by every successful completion of a request that has it,
/// so parts that sound requests share are cleared again and again.
///
/// A crash is identified by the incarnation of the backend, so it counts once regardless of who reports it
/// and how often. One successful completion clears a request of all its earlier crashes. An exchange that
/// broke off counts as an unconfirmed crash until the backend is known to have crashed or survived, or until
/// kUnconfirmedCrashTimeout has passed. This holds a request back even when crash detection is slow. Evidence
/// about one incarnation is merged by taking the maximum (see Evidence), so instances that exchange their
/// records converge regardless of the order in which records arrive.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/crash_record.h"

namespace stoat::admission {

/// Crashes of one part of prompts that are observed within this time count as one: an event outside the
/// requests, such as a power loss, takes many backends at once.
inline constexpr Duration kSimultaneousCrashWindow = 300ms;

/// Number of crashes from which a request is sent to only one backend at a time.
inline constexpr uint32_t kSuspectCrashes = 2;

/// Key under which permits to try requests with a suspect feature are counted (see BackendLimits).
std::string trial_key(uint64_t feature);

/// How long an exchange that broke off counts as a crash without confirmation. The control plane reports a
/// silent backend as lost within this time.
inline constexpr Duration kUnconfirmedCrashTimeout = 6s;

/// When and for how long requests are quarantined. For a part of prompts these apply from the fifth crash on,
/// after shorter quarantines, since an innocent part is found at crashes more easily than an innocent
/// request.
struct QuarantineOptions {
  uint32_t crashes = 3;   ///< number of crashes from which a request is quarantined
  Duration first = 120s;  ///< duration after the last crash; doubles with each further crash
};

/// Whether a request may be sent, judged by the crashes it was involved in.
enum class RequestStanding : uint8_t {
  kClear,
  kSuspect,     ///< may be tried, at one backend of the whole fleet at a time
  kQuarantined  ///< may not be sent
};

/// Returns the name of the standing for log output.
const char* to_text(RequestStanding standing);

/// The standing of a request and the reasons for it.
struct StandingReason {
  RequestStanding standing = RequestStanding::kClear;
  uint32_t crashes = 0;  ///< number that count against the request
  Duration left{0};      ///< remaining duration of the quarantine
};

/// Counts, for each request, the backend crashes during its execution, and decides whether the request must
/// be held back.
class CrashHistory {
 public:
  explicit CrashHistory(const QuarantineOptions& options = {}) : options_(options) {}

  /// Records that an exchange broke off at a backend that may have crashed. Returns true if this is new.
  bool note_broken_exchange(uint64_t feature, const std::string& backend, TimePoint now);
  /// Records that a backend did not crash when the request broke off there. Returns true if this is new.
  bool note_survival(uint64_t feature, const std::string& backend, TimePoint now);
  /// Records that a backend crashed while the request was in flight there. Returns true if this is new.
  bool note_crash(uint64_t feature, const std::string& backend, TimePoint now);
  /// Records that the request completed successfully. Returns true if any crash counted against it.
  bool clear_crashes(uint64_t feature, TimePoint now);
  /// Merges a record from another process. Returns true if this changes anything.
  bool merge(const fleet::CrashRecord& record, TimePoint now);

  StandingReason standing(uint64_t feature, TimePoint now) const;
  /// Returns the number of crashes that count against a feature, including unconfirmed ones.
  uint32_t crashes(uint64_t feature, TimePoint now) const;
  /// Returns everything known about a feature.
  fleet::CrashRecord record(uint64_t feature, TimePoint now) const;
  /// Returns the records that local observations have changed since the previous call.
  std::vector<fleet::CrashRecord> take_changes(TimePoint now);
  bool has_changes() const { return !changed_.empty(); }
  /// Returns all records.
  std::vector<fleet::CrashRecord> all(TimePoint now) const;
  /// Returns all known features.
  std::vector<uint64_t> features() const;
  /// Drops features whose last crash is too long ago, and returns them.
  std::vector<uint64_t> expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  /// What is known about a backend at which an exchange broke off. Merging keeps the greater value.
  enum class Evidence : uint8_t {
    kUnconfirmed,  ///< the backend may have crashed
    kSurvived,     ///< the backend answered a later request
    kCrashed,      ///< the backend crashed during the request
    kCleared,      ///< the request has completed successfully since the crash
  };
  struct Crash {
    TimePoint observed_at{0};
    Evidence evidence = Evidence::kUnconfirmed;
  };
  struct Entry {
    std::map<std::string, Crash> crashes;  ///< by incarnation of the backend
    TimePoint last_crash_at{0};            ///< time of the newest crash
  };
  /// Number of crashes that count against a feature, and the time of the newest one of each kind.
  struct CrashCount {
    uint32_t confirmed = 0;
    uint32_t unconfirmed = 0;
    TimePoint last_confirmed{0};
    TimePoint last_unconfirmed{0};
    uint32_t total() const { return confirmed + unconfirmed; }
  };
  static Evidence evidence_of(const fleet::CrashReport& notice);
  /// Adds a crash, or merges its evidence into a known one. Returns true if this changes anything.
  static bool merge_crash(Entry& entry, const std::string& backend, const Crash& crash);
  static CrashCount count_crashes(const Entry& entry, TimePoint now);
  /// Like count_crashes() for a part of prompts: only confirmed crashes, and simultaneous ones once.
  static CrashCount count_part_crashes(const Entry& entry);
  static CrashCount count_crashes(uint64_t feature, const Entry& entry, TimePoint now);
  /// Duration of the quarantine after this number of confirmed crashes.
  Duration quarantine(uint64_t feature, uint32_t crashes) const;
  /// Records evidence observed by this process. Returns true if it is new.
  bool note_evidence(uint64_t feature, const std::string& backend, const Crash& crash);
  /// Returns the entry of a feature, creating it if there is room; nullptr if there is none.
  Entry* find_or_create_entry(uint64_t feature, TimePoint now);
  /// Drops an old entry that is not a suspect. Returns false if none is found.
  bool make_room(TimePoint now);

  QuarantineOptions options_;
  std::map<uint64_t, Entry> entries_;  ///< by feature
  /// Keys of `entries_`, oldest first; may contain keys of dropped entries.
  std::deque<uint64_t> insertion_order_;
  std::set<uint64_t> changed_;
};

}  // namespace stoat::admission
