/// Limits that back ends name for all routers together, and permits under them, as processes tell each other.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// The requests a second that a back end takes from all routers together.
struct BackendLimit {
  std::string backend;
  double per_second = 0;  ///< 0: it names no limit any more
  MSGPACK_DEFINE_ARRAY(backend, per_second)
  bool operator==(const BackendLimit&) const = default;
};

/// Limits by id of the back end, as a list.
inline std::vector<BackendLimit> to_list(const std::map<std::string, double>& limits) {
  std::vector<BackendLimit> list;
  list.reserve(limits.size());
  for (const auto& [backend, per_second] : limits) {
    list.push_back({backend, per_second});
  }
  return list;
}

/// A router would send this many requests to a back end with a limit.
struct PermitRequestItem {
  std::string backend;
  double per_second = 0;  ///< its limit as the router knows it
  uint32_t count = 0;
  MSGPACK_DEFINE_ARRAY(backend, per_second, count)
};

/// Router to the leader.
struct PermitRequest {
  uint64_t number = 0;  ///< echoed by the answer
  std::vector<PermitRequestItem> wishes;
  MSGPACK_DEFINE_ARRAY(number, wishes)
};

/// What is granted of one wish.
struct GrantedPermits {
  std::string backend;
  uint32_t count = 0;   ///< requests that may be sent
  int64_t wait_ms = 0;  ///< until they may be sent; without any: until it is of use to ask again
  MSGPACK_DEFINE_ARRAY(backend, count, wait_ms)
};

/// Control member to router: the answer to a PermitRequest. A member that does not lead grants nothing.
struct PermitResponse {
  uint64_t number = 0;
  std::vector<GrantedPermits> terms;
  MSGPACK_DEFINE_ARRAY(number, terms)
};

}  // namespace stoat::fleet
