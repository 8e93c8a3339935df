#include "src/ctl/admin_connection.h"

#include <thread>

namespace stoat::ctl {

namespace {

using nlohmann::json;

constexpr Duration kAnswerTimeout = 2s;
constexpr Duration kRetryPause = 100ms;

}  // namespace

AdminConnection::AdminConnection(std::vector<Endpoint> members, std::string operator_key, Duration limit)
    : members_(std::move(members)), operator_key_(std::move(operator_key)), limit_(limit) {}

http::ClientResult AdminConnection::send(const Endpoint& member, const std::string& method,
                                         const std::string& path, const std::string& body) const {
  http::ClientRequest request;
  request.endpoint = member;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kAnswerTimeout;
  if (!operator_key_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + operator_key_});
  }
  return http::fetch(request);
}

json AdminConnection::get_from(const Endpoint& member, const std::string& path) {
  const json body = json::parse(send(member, "GET", path, "").body, nullptr, false);
  return body.is_discarded() ? json() : body;
}

tl::expected<json, AdminError> AdminConnection::call(const std::string& method, const std::string& path,
                                                     const std::string& body) {
  const TimePoint give_up_at = monotonic_now() + limit_;
  AdminError last{0, "no_control_member", "no control member answered"};
  while (true) {
    const Endpoint& member = members_[next_member_ % members_.size()];
    const http::ClientResult result = send(member, method, path, body);
    json parsed = json::parse(result.body, nullptr, false);
    if (result.status >= 200 && result.status < 300 && !parsed.is_discarded()) {
      return parsed;
    }
    if (result.status != 0) {
      last.http_status = result.status;
      last.code = parsed.is_object() ? parsed.value("/error/code"_json_pointer, "") : "";
      last.message =
          parsed.is_object() ? parsed.value("/error/message"_json_pointer, result.body) : result.body;
      if (last.code.empty() && parsed.is_object()) {
        last.code = parsed.value("code", "refused");
        last.message = parsed.value("message", "");
      }
    }
    // A resend is safe: each change carries its operator request id.
    const bool worth_retrying = result.status == 0 || result.status == 503;
    if (!worth_retrying || monotonic_now() >= give_up_at) {
      return tl::unexpected(last);
    }
    ++next_member_;
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace stoat::ctl
