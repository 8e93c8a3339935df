/// Confirmed and unconfirmed crashes of back ends with the request that was under way, as exchanged between
/// processes.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// A confirmed or unconfirmed crash of one back end.
struct CrashReport {
  std::string backend;       ///< id of its incarnation
  int64_t age_ms = 0;        ///< since the crash, as far as the sender knows
  bool dismissed = false;    ///< the crash does not count against the request
  bool unconfirmed = false;  ///< an exchange broke off, but no crash is known. With `dismissed`, the
                             ///< back end survived; a confirmed crash is dismissed when the request
                             ///< has ended well since then
  MSGPACK_DEFINE_ARRAY(backend, age_ms, dismissed, unconfirmed)
  bool operator==(const CrashReport&) const = default;
};

/// The crashes that a request was under way at.
struct CrashRecord {
  uint64_t request = 0;  ///< its fingerprint (dispatch::request_fingerprint)
  std::vector<CrashReport> crashes;
  MSGPACK_DEFINE_ARRAY(request, crashes)
  bool operator==(const CrashRecord&) const = default;
};

}  // namespace stoat::fleet
