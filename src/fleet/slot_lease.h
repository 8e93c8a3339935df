/// Messages about brittle backends, which fall over when they have to reject more than a few requests in a
/// second, and about the leases of slots under which routers send to them.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// A backend announced in a response that it is brittle, or no longer does.
struct BrittleBackend {
  std::string backend;
  double rejections_per_second = 0;  ///< that it bears; 0: the announcement was withdrawn
  MSGPACK_DEFINE_ARRAY(backend, rejections_per_second)
  bool operator==(const BrittleBackend&) const = default;
};

/// The slots of one brittle backend that a router uses or has leased.
struct SlotUse {
  std::string backend;
  uint32_t slots = 0;
  MSGPACK_DEFINE_ARRAY(backend, slots)
  bool operator==(const SlotUse&) const = default;
};

/// Asks for a slot for one request, at any one of these backends.
struct SlotRequest {
  uint64_t id = 0;                    ///< unique within the router process
  uint32_t urgency = 0;               ///< 0 is the most urgent
  int64_t max_wait_ms = 0;            ///< how long the request can wait
  std::vector<std::string> backends;  ///< in order of preference
  MSGPACK_DEFINE_ARRAY(id, urgency, max_wait_ms, backends)
};

/// Router to leader, on each change and periodically: the complete state of its slots and waiting requests.
struct SlotReport {
  std::string router;
  uint64_t start_id = 0;              ///< identifies the router process; new at each start
  uint64_t epoch = 0;                 ///< SlotAnswer::epoch of the last answer
  uint64_t last_grant = 0;            ///< number of the last grant received in that epoch
  std::vector<SlotUse> in_use;        ///< backends that are not listed have none
  std::vector<SlotRequest> waiting;   ///< requests without a slot
  std::vector<std::string> rejected;  ///< backends that have rejected a request since the previous report
  bool answer_wanted = false;         ///< the report is to be answered even if nothing waits
  MSGPACK_DEFINE_ARRAY(router, start_id, epoch, last_grant, in_use, waiting, rejected, answer_wanted)
};

/// One slot of a backend is leased to the router for a request. The lease ends when a later SlotReport no
/// longer counts it.
struct SlotGrant {
  uint64_t number = 0;  ///< increases with each grant to the router
  uint64_t request = 0;
  std::string backend;
  MSGPACK_DEFINE_ARRAY(number, request, backend)
};

/// No slot is expected to be free for a request within its longest wait.
struct SlotDenial {
  uint64_t request = 0;
  int64_t wait_ms = 0;  ///< expected time until there would be one
  MSGPACK_DEFINE_ARRAY(request, wait_ms)
};

/// Control member to router: the answer to a SlotReport, or unsolicited when a slot becomes free.
struct SlotAnswer {
  bool granting = false;  ///< the sender is the leader and may grant leases now
  uint64_t epoch = 0;     ///< identifies the term of the leader; grants are numbered anew in each
  uint64_t start_id = 0;  ///< SlotReport::start_id of the router process that the answer is for
  std::vector<SlotGrant> grants;
  std::vector<SlotDenial> denials;
  MSGPACK_DEFINE_ARRAY(granting, epoch, start_id, grants, denials)
};

}  // namespace stoat::fleet
