/// Client of the administration interface of the control plane.
#pragma once

#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/blocking.h"

namespace stoat::ctl {

/// Sends calls to the control members, trying one after another until one carries out the call.
class AdminConnection {
 public:
  /// Failed calls are retried for up to `retry_limit`.
  AdminConnection(std::vector<Endpoint> members, Duration retry_limit)
      : members_(std::move(members)), retry_limit_(retry_limit) {}

  /// Returns the first answer with a status other than 503. A 503 means that the call is not known to have
  /// been carried out; retrying is safe because all calls of this interface are idempotent. If no answer
  /// other than 503 arrives in time, returns the result of the last attempt; its status is 0 if that member
  /// did not answer.
  http::ClientResult call(const std::string& method, const std::string& path, const std::string& body = "");
  /// Sends a call to one member, without retries. The status is 0 if it did not answer.
  static http::ClientResult call_member(const Endpoint& member, const std::string& method,
                                        const std::string& path, const std::string& body = "");
  const std::vector<Endpoint>& members() const { return members_; }

 private:
  std::vector<Endpoint> members_;
  Duration retry_limit_;
  size_t next_member_ = 0;
};

}  // namespace stoat::ctl
