/// The limits that back ends in need have named, as one router knows them, and what it has sent there.
/// Back ends that name none are not in here. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/time.h"

namespace stoat::admission {

/// A limit that was named, has changed, or has ended. In requests a second from all routers together; 0:
/// none.
struct LimitChange {
  std::string backend;
  double per_second = 0;
  double before = 0;
};

/// What this router has sent to a back end with a limit since it was last asked.
struct LimitUse {
  std::string backend;
  double per_second = 0;
  uint64_t sent = 0;
};

/// See the head of this file.
class BackendLimits {
 public:
  /// A back end has named its limit. Gives the change, if it is one.
  std::optional<LimitChange> note_named(const std::string& backend, double per_second, TimePoint now);
  /// A back end has answered a request of `sent_at` without naming a limit. One that was heard since then
  /// still holds: answers on different connections overtake one another.
  std::optional<LimitChange> note_unnamed(const std::string& backend, TimePoint sent_at);
  /// The limit of a back end; 0: it has none.
  double per_second(const std::string& backend) const;
  /// A back end is known no more.
  void forget(const std::string& backend) { limited_.erase(backend); }
  /// A request goes to a back end. Returns true when that has a limit.
  bool count_send(const std::string& backend);
  /// What was sent to each limited back end since the last call; those that got nothing are left out.
  std::vector<LimitUse> take_use();
  size_t size() const { return limited_.size(); }

 private:
  struct Limited {
    double per_second = 0;
    TimePoint heard{0};  ///< when it was last named
    uint64_t sent = 0;   ///< since take_use()
  };
  std::map<std::string, Limited> limited_;  ///< by id of the back end
};

}  // namespace stoat::admission
