/// The operators' side of the administration API: finds the leading member and resends after lost answers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/common/settings.h"
#include "src/http/blocking.h"

namespace stoat::ctl {

/// Why a call gave no result.
struct AdminError {
  int http_status = 0;  ///< 0: no member answered
  std::string code;
  std::string message;
};

/// See the head of this file.
class AdminConnection {
 public:
  AdminConnection(std::vector<Endpoint> members, std::string operator_key, Duration limit);

  tl::expected<nlohmann::json, AdminError> get(const std::string& path) { return call("GET", path, ""); }
  tl::expected<nlohmann::json, AdminError> post(const std::string& path, const nlohmann::json& body) {
    return call("POST", path, body.dump());
  }
  /// One member's own page, whoever leads.
  nlohmann::json get_from(const Endpoint& member, const std::string& path);
  const std::vector<Endpoint>& members() const { return members_; }

 private:
  tl::expected<nlohmann::json, AdminError> call(const std::string& method, const std::string& path,
                                                const std::string& body);
  http::ClientResult send(const Endpoint& member, const std::string& method, const std::string& path,
                          const std::string& body) const;

  std::vector<Endpoint> members_;
  std::string operator_key_;
  Duration limit_;
  size_t next_member_ = 0;
};

}  // namespace stoat::ctl
