/// Rate limits reported by overloaded backends, as known to one router, together with the permits that this
/// router holds for them and the requests it has sent. Backends without a limit are not tracked and may be
/// sent to freely. Performs no I/O.
///
/// A limit applies to all routers together. A router without a permit therefore sends nothing to a limited
/// backend, even while no control-plane member responds. A new incarnation of a backend has no limit until it
/// reports one.
///
/// Requests that may be tried at only one backend at a time are limited in the same way, under a key of their
/// own (trial_key() in crash_history.h) instead of a backend ID.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_limit.h"

namespace stoat::admission {

/// A limit that was reported, has changed or was removed. Values are requests per second from all routers
/// together; 0 means no limit.
struct LimitChange {
  std::string backend;
  double per_second = 0;
  double before = 0;
};

/// Requests that this router has sent to a limited backend since the previous call of take_usage().
struct LimitUsage {
  std::string backend;
  double per_second = 0;
  uint64_t sent = 0;
};

/// Holds the rate limits that backends have reported, decides when a request may be sent to a limited
/// backend, and requests permits for it from the control plane.
class BackendLimits {
 public:
  /// Records a limit that a backend reported in a response. Returns the change, if there is one.
  std::optional<LimitChange> record_reported_limit(const std::string& backend, double per_second,
                                                   TimePoint now);
  /// Records that a backend answered a request sent at `sent_at` without reporting a limit. A limit reported
  /// after `sent_at` stays in force, since responses on different connections can overtake one another.
  std::optional<LimitChange> record_response_without_limit(const std::string& backend, TimePoint sent_at);
  /// Applies a limit that another router learned and the control plane passed on; 0 means the limit was
  /// removed.
  std::optional<LimitChange> apply_shared_limit(const fleet::BackendLimit& reported, TimePoint now);
  /// Drops a backend that no longer exists.
  void forget(const std::string& backend) { limited_backends_.erase(backend); }
  /// Returns the limit of a backend in requests per second; 0 if it has none.
  double per_second(const std::string& backend) const;

  /// Returns whether a request may be sent to a backend now.
  bool may_send(const std::string& backend, TimePoint now) const;
  /// Consumes a permit if the backend needs one. Returns false if the request may not be sent.
  bool consume_permit(const std::string& backend, TimePoint now);
  /// Returns the permit of a request that was sent at `sent_at` but did not reach the backend. Does nothing
  /// if the permit has expired or belongs to an earlier grant.
  void return_permit(const std::string& backend, TimePoint sent_at, TimePoint now);
  /// Records that a request could not be sent for lack of a permit. Returns true if permits should be
  /// requested from the control plane now.
  bool note_unmet_request(const std::string& backend, TimePoint now);
  /// Returns the earliest time at which a request may be sent to a backend; nullopt if this depends on an
  /// answer from the control plane that has not arrived yet.
  std::optional<TimePoint> earliest_send_time(const std::string& backend, TimePoint now) const;
  /// Builds the permit request to send to the control plane now. It lists no backends if no permits are
  /// needed.
  fleet::PermitRequest take_permit_request(TimePoint now);
  /// Applies the answer to a permit request. Answers to requests that are no longer pending are ignored.
  void on_permit_answer(const fleet::PermitResponse& answer, TimePoint now);

  /// Returns whether there are limit changes that the control plane has not been sent.
  bool has_unreported() const { return !unreported_.empty(); }
  /// Returns the limits that this router learned from responses, or saw removed, since the previous call.
  /// With `include_all`, returns all limits learned from responses, for a member that has received none yet.
  std::vector<fleet::BackendLimit> take_unreported(bool include_all);
  /// Returns the number of requests sent to each limited backend since the previous call, leaving out
  /// backends that received none.
  std::vector<LimitUsage> take_usage();
  size_t size() const { return limited_backends_.size(); }

 private:
  struct LimitedBackend {
    double per_second = 0;
    /// Time of the last response that reported the limit, or of the last update from the control plane.
    TimePoint limit_updated_at{0};
    bool from_response = false;  ///< true if the limit comes from a response to this router
    uint64_t sent = 0;           ///< requests since take_usage()
    uint32_t permits = 0;        ///< remaining from the last grant
    TimePoint usable_from{0};    ///< start of the permits' validity
    TimePoint usable_until{0};
    uint32_t unmet_requests = 0;   ///< requests that found no permit since the last permit request
    uint64_t pending_request = 0;  ///< number of the pending permit request; 0 if there is none
    TimePoint requested_at{0};     ///< when the last permit request was sent
    TimePoint retry_at{0};         ///< no permit request is sent before this time
    bool denied = false;           ///< true if the last answer granted nothing
  };
  /// Returns how many permits this router would use during their lifetime, estimated from the unmet demand
  /// since the last permit request.
  static uint32_t usable_permits(const LimitedBackend& limited, TimePoint now);
  bool permit_request_due(const LimitedBackend& limited, TimePoint now) const;
  void apply_grant(LimitedBackend& limited, const fleet::GrantedPermits& grant, TimePoint now);

  std::map<std::string, LimitedBackend> limited_backends_;  ///< by backend ID
  std::map<std::string, double> unreported_;  ///< changes not yet sent to the control plane, by backend
  uint64_t last_request_number_ = 0;
};

}  // namespace stoat::admission
