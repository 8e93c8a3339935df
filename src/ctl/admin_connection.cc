#include "src/ctl/admin_connection.h"

#include <thread>

namespace stoat::ctl {

namespace {

/// Must exceed 2.5 s: members answer within that time even if they can't reach the leader (kCallTimeout in
/// fleet_calls.cc).
constexpr Duration kCallTimeout = 3s;
constexpr Duration kRetryInterval = 100ms;
constexpr int kUnavailable = 503;

}  // namespace

http::ClientResult AdminConnection::call_member(const Endpoint& member, const std::string& method,
                                                const std::string& path, const std::string& body) {
  http::ClientRequest request;
  request.endpoint = member;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kCallTimeout;
  return http::fetch(request);
}

http::ClientResult AdminConnection::call(const std::string& method, const std::string& path,
                                         const std::string& body) {
  const TimePoint deadline = monotonic_now() + retry_limit_;
  for (;;) {
    http::ClientResult result = call_member(members_[next_member_ % members_.size()], method, path, body);
    const bool retryable = result.status == 0 || result.status == kUnavailable;
    if (!retryable || monotonic_now() >= deadline) {
      return result;
    }
    ++next_member_;
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace stoat::ctl
