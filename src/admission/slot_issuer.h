/// Leases of the slots of brittle backends. A brittle backend falls over when it has to reject more than a
/// few requests in a second, so no router may send it a request without a lease of one of its slots. A single
/// process, the leader of the control plane, grants the leases, so that all routers together never send more
/// than there is room for, regardless of their number. Performs no I/O.
///
/// Routers report all slots that they use, leased or not, so a leader that has just been elected learns of
/// requests that its predecessor admitted. The slots that a backend names are an upper bound of its room,
/// since memory may run out earlier. Its room therefore starts at half of them and grows by one slot at a
/// time while nothing is rejected. A rejection lowers it to what was in use, and stops grants for
/// kPauseAfterRejection.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/slot_lease.h"

namespace stoat::admission {

/// Routers that use slots report at least this often.
inline constexpr Duration kSlotReportInterval = 400ms;
/// A router's slots count as free after this time without a report.
inline constexpr Duration kSlotReportTimeout = 1500ms;
/// A grant may be used for this long after its request was reported for the first time.
inline constexpr Duration kSlotGrantLifetime = 1s;
/// How long no slot is granted at a backend that has rejected a request.
inline constexpr Duration kPauseAfterRejection = 1s;

/// Grants leases at the leader of the control plane.
class SlotIssuer {
 public:
  /// What the control plane knows of a backend.
  struct BackendInfo {
    uint32_t slots = 0;  ///< 0: unknown
    std::string service;
  };
  using BackendLookup = std::function<BackendInfo(const std::string&)>;

  explicit SlotIssuer(BackendLookup lookup) : lookup_(std::move(lookup)) {}
  /// Called when this member becomes the leader. Grants start once the leases of the previous leader have
  /// been used and reported.
  void start_leading(TimePoint now);
  /// Applies a router's report and grants what is free.
  void on_report(const fleet::SlotReport& report, TimePoint now);
  /// Drops routers without a recent report and expired requests, and grants what becomes free.
  void expire(TimePoint now);
  /// True if leases are granted at this time, provided that this member may grant any.
  bool granting(TimePoint now) const { return now >= grants_from_; }
  /// Returns the answers with the grants and denials since the previous call, by router, and in any case one
  /// to `waiting_router` if it is not empty.
  std::map<std::string, fleet::SlotAnswer> take_answers(const std::string& waiting_router, TimePoint now);

  size_t waiting() const { return waiting_.size(); }

 private:
  struct Grant {
    uint64_t number = 0;
    uint64_t request = 0;
    std::string backend;
  };
  struct Router {
    uint64_t start_id = 0;
    TimePoint reported_at{0};
    uint64_t last_grant = 0;                 ///< number of the last grant to it
    std::map<std::string, uint32_t> in_use;  ///< as last reported
    std::deque<Grant> unacknowledged;        ///< grants that its last report does not include
    /// Slots by backend, with the unacknowledged grants.
    std::map<std::string, uint32_t> total_use() const;
  };
  struct Backend {
    uint32_t in_use = 0;  ///< by all routers, with unacknowledged grants
    uint32_t room = 0;
    TimePoint paused_until{0};
    TimePoint room_changed_at{0};
    bool has_rejected = false;
    std::string service;
  };
  struct Service {
    uint32_t waiting = 0;
    double grants_per_second = 0;  ///< moving average
    TimePoint last_grant_at{0};
  };
  /// More urgent requests come first, then earlier ones.
  using WaitKey = std::pair<uint32_t, uint64_t>;
  struct Waiter {
    std::string router;
    uint64_t request = 0;
    TimePoint deadline{0};
    std::string service;
    std::vector<std::string> backends;
  };
  using RequestKey = std::pair<std::string, uint64_t>;

  Backend& backend_of(const std::string& id);
  /// Lets the room of a full backend grow by one slot if that is due.
  void grow_room(const std::string& id, Backend& backend, TimePoint now);
  bool has_room(const std::string& id, TimePoint now);
  /// Replaces the slots that a router uses; `last_grant`: number of the last grant that they include.
  void set_use(Router& router, std::map<std::string, uint32_t> in_use, uint64_t last_grant);
  /// Frees all slots of a router.
  void release(Router& router) { set_use(router, {}, router.last_grant); }
  void note_rejection(const std::string& id, TimePoint now);
  void update_waiting(const fleet::SlotReport& report, TimePoint now);
  /// Removes the waiting requests of a router that are not in `retained`.
  void remove_waiters(const std::string& router, const std::set<uint64_t>& retained);
  void add_waiter(const std::string& router, const fleet::SlotRequest& request, TimePoint now);
  std::map<WaitKey, Waiter>::iterator remove_waiter(std::map<WaitKey, Waiter>::iterator waiter);
  /// Time until a slot of the service is expected to be free for one more request.
  Duration expected_wait(const std::string& service, TimePoint now) const;
  void grant(const Waiter& waiter, const std::string& backend, TimePoint now);
  /// Grants free slots to waiting requests, the most urgent first.
  void assign(TimePoint now);

  BackendLookup lookup_;
  TimePoint grants_from_{0};
  uint64_t epoch_ = 0;
  std::map<std::string, Router> routers_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, Service> services_;
  std::map<WaitKey, Waiter> waiting_;
  std::map<RequestKey, WaitKey> wait_keys_;
  uint64_t arrivals_ = 0;
  bool capacity_freed_ = false;  ///< since the last assign()
  std::map<std::string, fleet::SlotAnswer> answers_;
};

}  // namespace stoat::admission
