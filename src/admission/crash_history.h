/// Which requests were under way at back ends when these crashed. A back end that crashes names all requests
/// that it had as suspects; the one that crashes whatever runs it is known by being there each time, and by
/// never ending well. Free of I/O.
///
/// Each crash counts once, whoever tells it and however often: it is known by the back end's incarnation. One
/// good end acquits a request of all crashes before it. A broken exchange counts as an unconfirmed crash
/// until the back end is known to have crashed or survived, or kUnconfirmedCrashTimeout has passed, so that a
/// request is held back even when crash detection is slow. The evidence for one incarnation is merged by
/// maximum (see Evidence), so books that exchange their records converge in whatever order the records come.
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

/// From so many crashes on, a request is sent to one back end at a time.
inline constexpr uint32_t kSuspectCrashes = 2;

/// Stands for a request where permits to try it are counted (see BackendLimits).
std::string trial_key(uint64_t request);

/// How long a broken exchange counts as a crash without confirmation. Control reports a silent back end as
/// lost within this time.
inline constexpr Duration kUnconfirmedCrashTimeout = 6s;

/// How requests under which back ends crash are held back.
struct QuarantineOptions {
  uint32_t crashes = 3;   ///< from so many on, the request is not sent for a while
  Duration first = 120s;  ///< for so long after the last crash; doubled with each further one
};

/// What may be done with a request.
enum class RequestStanding : uint8_t {
  kClear,
  kSuspect,     ///< it may be tried, one at a time in the whole fleet
  kQuarantined  ///< it may not be sent
};

/// The standing in words, for the log.
const char* to_text(RequestStanding standing);

/// A request's standing, and why.
struct StandingReason {
  RequestStanding standing = RequestStanding::kClear;
  uint32_t crashes = 0;  ///< that count against it
  Duration left{0};      ///< of the quarantine
};

/// See the head of this file.
class CrashHistory {
 public:
  explicit CrashHistory(const QuarantineOptions& options = {}) : options_(options) {}

  /// Records an exchange that broke off at a back end that may have crashed. Returns true when that is new.
  bool note_broken_exchange(uint64_t request, const std::string& backend, TimePoint now);
  /// Records that a back end did not crash when the request broke off there. Returns true when that is new.
  bool note_survival(uint64_t request, const std::string& backend, TimePoint now);
  /// A back end crashed while the request was under way there. Returns true when that is new.
  bool note_crash(uint64_t request, const std::string& backend, TimePoint now);
  /// The request has ended well. Returns true when a crash counted against it.
  bool clear_crashes(uint64_t request, TimePoint now);
  /// Takes what another process knows. Returns true when that changes anything.
  bool merge(const fleet::CrashRecord& record, TimePoint now);

  StandingReason standing(uint64_t request, TimePoint now) const;
  /// Number of crashes that count against a request, including unconfirmed ones.
  uint32_t crashes(uint64_t request, TimePoint now) const;
  /// What is known of a request.
  fleet::CrashRecord record(uint64_t request, TimePoint now) const;
  /// What has changed by note_crash() and clear_crashes() since the last call.
  std::vector<fleet::CrashRecord> take_changes(TimePoint now);
  bool has_changes() const { return !changed_.empty(); }
  /// All that is known.
  std::vector<fleet::CrashRecord> all(TimePoint now) const;
  /// Fingerprints of the requests that are known.
  std::vector<uint64_t> requests() const;
  /// Forgets requests whose last crash is long ago, and gives their fingerprints.
  std::vector<uint64_t> expire(TimePoint now);
  size_t size() const { return entries_.size(); }

 private:
  /// Outcome of a broken exchange for the back end. Merging keeps the greater value.
  enum class Evidence : uint8_t {
    kUnconfirmed,  ///< the back end may have crashed
    kSurvived,     ///< it answered a later request
    kCrashed,      ///< it crashed during the request
    kAcquitted,    ///< the request has ended well since then
  };
  struct Crash {
    TimePoint at{0};
    Evidence evidence = Evidence::kUnconfirmed;
  };
  struct Entry {
    std::map<std::string, Crash> crashes;  ///< by incarnation of the back end
    TimePoint last{0};                     ///< time of the newest crash
  };
  /// Crashes that count against a request, and the time of the newest of each kind.
  struct Count {
    uint32_t confirmed = 0;
    uint32_t unconfirmed = 0;
    TimePoint last_confirmed{0};
    TimePoint last_unconfirmed{0};
    uint32_t total() const { return confirmed + unconfirmed; }
  };
  static Evidence evidence_of(const fleet::CrashReport& notice);
  /// Adds a crash or merges its evidence with a known one. Returns true when that changes anything.
  static bool put(Entry& entry, const std::string& backend, const Crash& crash);
  static Count count(const Entry& entry, TimePoint now);
  /// Records evidence observed by this process. Returns true when it is new.
  bool note_evidence(uint64_t request, const std::string& backend, const Crash& crash);
  /// The entry of a request, made where there is room; else nullptr.
  Entry* entry_of(uint64_t request, TimePoint now);
  /// Forgets an old entry that is no suspect. False when there is none.
  bool make_room(TimePoint now);

  QuarantineOptions options_;
  std::map<uint64_t, Entry> entries_;  ///< by fingerprint
  std::deque<uint64_t> order_;         ///< of `entries_`, the oldest first; some may be forgotten already
  std::set<uint64_t> changed_;
};

}  // namespace stoat::admission
