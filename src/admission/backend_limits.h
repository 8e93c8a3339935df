/// The limits that overloaded back ends have named, as one router knows them, the permits that it holds for
/// them, and what it has sent there. Back ends that name no limit are not in here, and may be sent to. Free
/// of I/O.
///
/// A limit holds for all routers together, so a router without a permit sends nothing to a limited back end,
/// also while no control member answers. A new incarnation of a back end has no limit until it names one.
///
/// A request that is tried at one back end at a time is limited in the same way, under a key of its own
/// (trial_key() of crash_history.h) in place of a back end's id.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_limit.h"

namespace stoat::admission {

/// A limit that was named, has changed, or has ended. In requests a second from all routers together; 0:
/// none.
struct LimitChange {
  std::string backend;
  double per_second = 0;
  double before = 0;
};

/// What this router has sent to a back end with a limit since it was last asked.
struct LimitUsage {
  std::string backend;
  double per_second = 0;
  uint64_t sent = 0;
};

/// See the head of this file.
class BackendLimits {
 public:
  /// A back end has named its limit. Gives the change, if it is one.
  std::optional<LimitChange> record_reported_limit(const std::string& backend, double per_second,
                                                   TimePoint now);
  /// A back end has answered a request of `sent_at` without naming a limit. One that was heard since then
  /// still holds: answers on different connections overtake one another.
  std::optional<LimitChange> record_response_without_limit(const std::string& backend, TimePoint sent_at);
  /// Control tells what another router has heard; 0: the back end names no limit any more.
  std::optional<LimitChange> apply_shared_limit(const fleet::BackendLimit& told, TimePoint now);
  /// A back end is known no more.
  void forget(const std::string& backend) { limited_.erase(backend); }
  /// The limit of a back end; 0: it has none.
  double per_second(const std::string& backend) const;

  /// True when a request may go to a back end now.
  bool may_send(const std::string& backend, TimePoint now) const;
  /// Uses a permit up where one is needed. False when the request may not be sent.
  bool spend(const std::string& backend, TimePoint now);
  /// Returns the permit of a request that was sent at `sent_at` but did not reach the back end. Does nothing
  /// if the permit has expired or belongs to an earlier grant.
  void give_back(const std::string& backend, TimePoint sent_at, TimePoint now);
  /// A request would go to a back end if there was a permit. Returns true when control is to be asked.
  bool want(const std::string& backend, TimePoint now);
  /// The earliest moment at which a back end without a permit may be sent to; nullopt: control has not
  /// answered yet.
  std::optional<TimePoint> earliest_send_time(const std::string& backend, TimePoint now) const;
  /// What control is to be asked now.
  fleet::PermitRequest take_permit_request(TimePoint now);
  /// Takes control's answer. One to a question that is not open any more is dropped.
  void on_answer(const fleet::PermitResponse& answer, TimePoint now);

  /// True when there are changes that control has not been told.
  bool has_unreported() const { return !untold_.empty(); }
  /// The limits that this router has heard, or that have ended, since the last call; all of them for a member
  /// that has been told nothing (`anew`).
  std::vector<fleet::BackendLimit> take_unreported(bool anew);
  /// What was sent to each limited back end since the last call; those that got nothing are left out.
  std::vector<LimitUsage> take_usage();
  size_t size() const { return limited_.size(); }

 private:
  struct Limited {
    double per_second = 0;
    TimePoint heard{0};        ///< when it was last named in an answer to this router, or told
    bool heard_here = false;   ///< in an answer to this router
    uint64_t sent = 0;         ///< since take_usage()
    uint32_t permits = 0;      ///< that are left of the last grant
    TimePoint usable_from{0};  ///< of the permits
    TimePoint usable_until{0};
    uint32_t wanted = 0;     ///< requests that found no permit since the last question
    uint64_t question = 0;   ///< number of the open one; 0: none is open
    TimePoint asked{0};      ///< when the last question was sent
    TimePoint ask_again{0};  ///< none is sent before
    bool denied = false;     ///< the last answer granted nothing
  };
  /// As many permits as this router would use within their life, by what was wanted since the last question.
  static uint32_t usable_permits(const Limited& limited, TimePoint now);
  bool question_due(const Limited& limited, TimePoint now) const;
  void take_terms(Limited& limited, const fleet::GrantedPermits& terms, TimePoint now);

  std::map<std::string, Limited> limited_;  ///< by id of the back end
  std::map<std::string, double> untold_;    ///< changes that control is to be told, by back end
  uint64_t last_number_ = 0;
};

}  // namespace stoat::admission
