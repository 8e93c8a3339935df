/// The pages that every process serves: /metrics, /healthz, /readyz and /status.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "src/common/metrics.h"
#include "src/http/server.h"

namespace stoat::http {

/// What the common pages show. The functions are called for each request.
struct CommonPages {
  const Metrics* metrics = nullptr;
  std::function<bool()> ready;
  std::function<nlohmann::json()> status;
};

/// Adds the common pages to a server.
void add_common_routes(Server& server, const CommonPages& pages);

/// Replies with JSON and a line end.
void reply_json(Exchange& exchange, int status, const nlohmann::json& body,
                const std::vector<Header>& headers = {});

}  // namespace stoat::http
