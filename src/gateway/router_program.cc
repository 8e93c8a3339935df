#include "src/gateway/router_program.h"

namespace stoat::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

RouterProgramSettings read_router_program_settings(SettingsReader& reader) {
  RouterProgramSettings settings;
  settings.gateway = read_gateway_settings(reader);
  settings.ready = read_endpoint(reader, "ready", "127.0.0.1:8081");
  settings.metrics = read_endpoint(reader, "metrics", "127.0.0.1:9464");
  return settings;
}

RouterProgram::RouterProgram(EventLoop& loop, const RouterProgramSettings& settings,
                             const RouterInterface& interface)
    : router_(loop, settings.gateway, interface.headers),
      ready_(loop, settings.ready),
      metrics_(loop, settings.metrics) {
  ready_.route("GET", interface.ready_path, [this](const http::ExchangePtr& exchange) {
    exchange->reply(router_.ready() ? kOk : kUnavailable, "text/plain", "\n");
  });
  metrics_.route("GET", "/metrics", [this](const http::ExchangePtr& exchange) {
    exchange->reply(kOk, "text/plain", router_.metrics().to_text());
  });
  loop.on_terminate([this] { router_.stop(); });
}

}  // namespace stoat::gateway
