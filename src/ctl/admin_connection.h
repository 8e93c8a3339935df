/// The operators' side of the administration interface: asks one control member after another until one does
/// what is asked.
#pragma once

#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/blocking.h"

namespace stoat::ctl {

/// See the head of this file.
class AdminConnection {
 public:
  /// Calls are repeated for up to `limit`.
  AdminConnection(std::vector<Endpoint> members, Duration limit)
      : members_(std::move(members)), limit_(limit) {}

  /// The first answer that is not 503, which says that nothing is known to be done. Each call that this
  /// interface has may be repeated. Status 0: no member answered.
  http::ClientResult call(const std::string& method, const std::string& path, const std::string& body = "");
  /// One member's own answer.
  static http::ClientResult ask(const Endpoint& member, const std::string& method, const std::string& path,
                                const std::string& body = "");
  const std::vector<Endpoint>& members() const { return members_; }

 private:
  std::vector<Endpoint> members_;
  Duration limit_;
  size_t next_member_ = 0;
};

}  // namespace stoat::ctl
