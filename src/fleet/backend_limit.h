/// Messages about fleet-wide rate limits that backends announce, and about the permits to send under them.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// The rate limit that a backend announced for all routers together.
struct BackendLimit {
  std::string backend;
  double per_second = 0;  ///< requests per second; 0: the limit was withdrawn
  MSGPACK_DEFINE_ARRAY(backend, per_second)
  bool operator==(const BackendLimit&) const = default;
};

/// Converts numbers by backend id to a list of messages of an id and a number, such as BackendLimit.
template <typename Announcement>
std::vector<Announcement> to_list(const std::map<std::string, double>& numbers) {
  std::vector<Announcement> list;
  list.reserve(numbers.size());
  for (const auto& [backend, number] : numbers) {
    list.push_back({backend, number});
  }
  return list;
}

/// Asks for permits to send requests to one rate-limited backend.
struct PermitRequestItem {
  std::string backend;
  double per_second = 0;  ///< the backend's limit as the router knows it
  uint32_t count = 0;     ///< permits wanted
  MSGPACK_DEFINE_ARRAY(backend, per_second, count)
};

/// Router to leader: requests permits.
struct PermitRequest {
  uint64_t number = 0;  ///< echoed in the answer
  std::vector<PermitRequestItem> items;
  MSGPACK_DEFINE_ARRAY(number, items)
};

/// The permits granted for one PermitRequestItem.
struct GrantedPermits {
  std::string backend;
  uint32_t count = 0;   ///< requests that may be sent
  int64_t wait_ms = 0;  ///< delay before sending; when count is 0: delay before asking again
  MSGPACK_DEFINE_ARRAY(backend, count, wait_ms)
};

/// Control member to router: the answer to a PermitRequest. Members other than the leader grant nothing.
struct PermitResponse {
  uint64_t number = 0;
  std::vector<GrantedPermits> grants;
  MSGPACK_DEFINE_ARRAY(number, grants)
};

}  // namespace stoat::fleet
