/// Leases of slots at brittle backends, as one router holds them, and its requests that wait for one (see
/// SlotIssuer). Performs no I/O.
///
/// While no leader grants leases, the router falls back to sending one request at a time (see
/// grants_expected).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/admission/slot_issuer.h"
#include "src/common/time.h"
#include "src/fleet/slot_lease.h"

namespace stoat::admission {

/// A caller request's need of a slot at a brittle backend.
struct LeaseRequest {
  uint32_t urgency = 0;
  TimePoint wait_until{0};
  std::vector<std::string> backends;  ///< in order of preference
};

/// What has become of a lease request.
struct LeaseOutcome {
  std::string backend;           ///< where a slot is leased to the request; empty: nowhere yet
  std::optional<Duration> wait;  ///< denied: expected time until a slot is free
};

/// Holds this router's leases, and keeps the leader informed of the slots that it uses.
class SlotLeases {
 public:
  /// Called when the outcome of a lease request is known, or the leader is lost.
  using OutcomeHandler = std::function<void()>;

  /// Adds a lease request and returns its id.
  uint64_t add_request(LeaseRequest request, OutcomeHandler on_outcome);
  /// Returns what has become of a lease request.
  LeaseOutcome outcome(uint64_t id) const;
  /// Removes a lease request: its caller request has been sent, refused or cancelled. The slot of an unused
  /// lease is returned with the next report.
  void remove_request(uint64_t id);
  /// Records that a backend has rejected a request for want of room.
  void note_rejection(const std::string& backend) { rejected_.insert(backend); }
  /// True if the router has anything to report periodically.
  bool active(const std::vector<fleet::SlotUse>& in_use) const {
    return !requests_.empty() || !in_use.empty() || unanswered_since_;
  }
  /// Builds the report to the leader. `in_use`: the slots that requests of this router use. Leased slots are
  /// added to it.
  fleet::SlotReport take_report(std::vector<fleet::SlotUse> in_use, TimePoint now);
  /// Applies the leader's answer. Handlers of requests whose outcome is known are called.
  /// Returns true if a report is due, because the router can't use a slot that was granted.
  bool on_answer(const fleet::SlotAnswer& answer, TimePoint now);
  /// Records that no leader can be asked at present.
  void on_no_leader(TimePoint now);
  /// True if the leader is expected to answer lease requests: it has not stated that it grants nothing, and
  /// answers.
  bool grants_expected(TimePoint now) const;

 private:
  struct PendingRequest {
    LeaseRequest request;
    OutcomeHandler on_outcome;
    std::optional<TimePoint> reported_at;  ///< when it was first reported
    LeaseOutcome outcome;
  };

  /// Calls handlers that were copied, since they may add and remove requests.
  static void call(const std::vector<OutcomeHandler>& handlers);

  std::map<uint64_t, PendingRequest> requests_;
  uint64_t last_id_ = 0;
  uint64_t epoch_ = 0;  ///< of the last answer
  uint64_t last_grant_ = 0;
  std::set<std::string> rejected_;
  TimePoint not_granting_until_{0};
  /// When the oldest report was sent that wants an answer and has none.
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace stoat::admission
