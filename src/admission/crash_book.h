/// Which requests were under way at back ends when these crashed. A back end that crashes names all requests
/// that it had as suspects; the one that crashes whatever runs it is known by being there each time, and by
/// never ending well. Free of I/O.
///
/// Each crash counts once, whoever tells it and however often: it is known by the back end's incarnation. One
/// good end acquits a request of all crashes before it. So books that tell one another their records agree
/// in the end, in whatever order the records come.
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
class CrashBook {
 public:
  explicit CrashBook(const QuarantineOptions& options = {}) : options_(options) {}

  /// A back end crashed while the request was under way there. Returns true when that is new.
  bool note_crash(uint64_t request, const std::string& backend, TimePoint now);
  /// The request has ended well. Returns true when a crash counted against it.
  bool acquit(uint64_t request);
  /// Takes what another process knows. Returns true when that changes anything.
  bool merge(const fleet::CrashRecord& record, TimePoint now);

  StandingReason standing(uint64_t request, TimePoint now) const;
  /// Crashes that count against a request.
  uint32_t crashes(uint64_t request) const;
  /// What is known of a request.
  fleet::CrashRecord record(uint64_t request, TimePoint now) const;
  /// What has changed by note_crash() and acquit() since the last call.
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
  struct Crash {
    TimePoint at{0};
    bool acquitted = false;
  };
  struct Entry {
    std::map<std::string, Crash> crashes;  ///< by incarnation of the back end
    TimePoint last{0};
  };
  /// Adds a crash, or takes that it was acquitted of. Returns true when that changes anything.
  static bool put(Entry& entry, const std::string& backend, const Crash& crash);
  static uint32_t count(const Entry& entry);
  /// The entry of a request, made where there is room; else nullptr.
  Entry* entry_of(uint64_t request);
  /// Forgets an old entry that is no suspect. False when there is none.
  bool make_room();

  QuarantineOptions options_;
  std::map<uint64_t, Entry> entries_;  ///< by fingerprint
  std::deque<uint64_t> order_;         ///< of `entries_`, the oldest first; some may be forgotten already
  std::set<uint64_t> changed_;
};

}  // namespace stoat::admission
