#include "src/ctl/admin_connection.h"

#include <thread>

namespace stoat::ctl {

namespace {

/// Members answer within 2.5 s, also when they can't reach the leader (kCallLimit of fleet_calls.cc).
constexpr Duration kAnswerTimeout = 3s;
constexpr Duration kRetryPause = 100ms;
constexpr int kUnavailable = 503;

}  // namespace

http::ClientResult AdminConnection::ask(const Endpoint& member, const std::string& method,
                                        const std::string& path, const std::string& body) {
  http::ClientRequest request;
  request.endpoint = member;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kAnswerTimeout;
  return http::fetch(request);
}

http::ClientResult AdminConnection::call(const std::string& method, const std::string& path,
                                         const std::string& body) {
  const TimePoint give_up_at = monotonic_now() + limit_;
  for (;;) {
    http::ClientResult result = ask(members_[next_member_ % members_.size()], method, path, body);
    const bool worth_repeating = result.status == 0 || result.status == kUnavailable;
    if (!worth_repeating || monotonic_now() >= give_up_at) {
      return result;
    }
    ++next_member_;
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace stoat::ctl
