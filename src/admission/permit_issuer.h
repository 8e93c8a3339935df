/// Permits for requests to back ends that name limits for all routers together. One process, the leader of
/// the control members, grants them, so that the sum over the routers keeps to the limit however many there
/// are. Free of I/O.
///
/// Permits of a back end are spaced by its limit (a generic cell rate algorithm). Each can be used for
/// kPermitLife from its start, which lies at most kPermitHorizon ahead. In a window w a limit r therefore
/// lets at most r (w + kPermitLife + kPermitLump) + 1 requests through.
///
/// Routers that get none are given turns, also spaced by the limit, at which to ask again. So the questions
/// grow with the limits, and not with the routers that would send. A turn holds nothing: who asks first gets
/// the next permit.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::admission {

/// How long a permit can be used. A router of a small fleet has a few requests in it; what is not used is
/// lost.
inline constexpr Duration kPermitLife = 1500ms;
/// A permit is granted at most so long before its start.
inline constexpr Duration kPermitHorizon = 500ms;
/// So much time's permits are granted at once where limits are high.
inline constexpr Duration kPermitLump = 200ms;
/// A leader that can't be confirmed by a quorum grants for so long yet.
inline constexpr Duration kPermitLease = 400ms;
/// From when a member leads until it grants: the permits of its predecessor have ended by then.
inline constexpr Duration kPermitTakeover = kPermitLease + kPermitHorizon + kPermitLife;

/// A router that gets none is asked to wait at most so long until it asks again.
inline constexpr Duration kLongestPermitWait = 10s;

/// An answer to the wish for permits.
struct PermitGrant {
  uint32_t count = 0;  ///< requests that may be sent
  Duration wait{0};    ///< until they may be sent; without any: until it is of use to ask again
};

/// See the head of this file. What it holds are the back ends that got permits within the last moments.
class PermitIssuer {
 public:
  /// The member leads from now on: it has granted nothing yet, its predecessor may have.
  void begin(TimePoint now);
  /// Grants up to `count` permits of a back end that takes `per_second` requests.
  PermitGrant ask(const std::string& backend, double per_second, uint32_t count, TimePoint now);
  /// Forgets back ends whose next permit could start at once.
  void expire(TimePoint now);
  size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    TimePoint next_start{0};  ///< of the next permit
    TimePoint next_turn{0};   ///< of the next router that is denied one
  };
  static Duration deny(Account& account, double per_second, TimePoint now);

  TimePoint begins_{0};
  std::map<std::string, Account> accounts_;  ///< by back end
};

}  // namespace stoat::admission
