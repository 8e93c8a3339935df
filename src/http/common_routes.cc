#include "src/http/common_routes.h"

namespace stoat::http {

void reply_json(Exchange& exchange, int status, const nlohmann::json& body,
                const std::vector<Header>& headers) {
  const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  exchange.reply(status, "application/json", text + "\n", headers);
}

void add_common_routes(Server& server, const CommonPages& pages) {
  server.route("GET", "/healthz",
               [](const ExchangePtr& exchange) { exchange->reply(200, "text/plain", "ok\n"); });
  server.route("GET", "/readyz", [pages](const ExchangePtr& exchange) {
    const bool ready = pages.ready();
    exchange->reply(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
  });
  server.route("GET", "/metrics", [pages](const ExchangePtr& exchange) {
    exchange->reply(200, "text/plain; version=0.0.4", pages.metrics->to_text());
  });
  server.route("GET", "/status",
               [pages](const ExchangePtr& exchange) { reply_json(*exchange, 200, pages.status()); });
}

}  // namespace stoat::http
