/// A router as a process: sidecars and other routers on channels, back ends over HTTP, the RouterCore in
/// between.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "src/common/command_line.h"
#include "src/common/log.h"
#include "src/control/control_client.h"
#include "src/http/client.h"
#include "src/http/common_routes.h"
#include "src/router/engine_protocol.h"
#include "src/router/router_core.h"
#include "src/wire/channel.h"

namespace stoat::router {

/// Settings of stoat-router.
struct RouterSettings {
  RouterOptions core;
  Endpoint listen;     ///< sidecars and routers
  Endpoint advertise;  ///< where sidecars and routers reach `listen`
  Endpoint http;       ///< metrics and status
  control::ControlClientOptions control;
  Duration backend_silence{5s};  ///< a back end that sends nothing for so long counts as lost
  Duration drain_limit{120s};    ///< longest wait for open requests at a planned stop
};

/// Reads the settings of stoat-router.
RouterSettings read_router_settings(SettingsReader& reader);

/// See the head of this file.
class RouterServer {
 public:
  /// Throws std::runtime_error when an address can't be bound.
  RouterServer(EventLoop& loop, const RouterSettings& settings);
  ~RouterServer() { wire::close_all(router_channels_); }
  RouterServer(const RouterServer&) = delete;
  RouterServer& operator=(const RouterServer&) = delete;

 private:
  /// A call to a back end under way.
  struct OpenCall {
    CallKind kind = CallKind::kComplete;
    Endpoint endpoint;
    uint64_t request_id = 0;
    uint32_t engine_attempt = 0;
    uint64_t http_call = 0;
    StreamParser parser;
    StreamEvent last_event;
    bool malformed = false;
  };

  void on_message(const std::shared_ptr<wire::Channel>& channel, wire::Message message);
  void on_closed(const std::shared_ptr<wire::Channel>& channel);
  void perform_actions();
  void perform(SendToSidecar& action);
  void perform(SendToRouter& action);
  void perform(CallControl& action);
  void perform(StartCall& action);
  void perform(StopCall& action);
  void perform(PollFeed& action);
  void perform(FetchSnapshot& action);
  /// GETs a page of an engine; `take` reads the body and tells whether it could. Else the feed has failed.
  void fetch_from_engine(const std::string& backend, const std::string& endpoint, const std::string& path,
                         std::function<bool(const std::string& body)> take);
  void on_bytes(CallId call_id, const std::string& bytes);
  void on_done(CallId call_id, const http::ClientResult& result);
  void tick();
  void start_drain();
  void check_drained();
  void publish_metrics();
  nlohmann::json status_json() const;

  EventLoop& loop_;
  RouterSettings settings_;
  Logger log_{"router"};
  Metrics metrics_;
  RouterCore core_;
  control::ControlClient control_;
  http::Client client_;
  std::unique_ptr<wire::ChannelServer> channels_;
  http::Server http_;
  std::unordered_map<SidecarId, std::shared_ptr<wire::Channel>> sidecars_;
  std::map<std::string, std::string> router_endpoints_;
  std::map<std::string, std::shared_ptr<wire::Channel>> router_channels_;
  std::unordered_map<CallId, OpenCall> calls_;
  TimePoint drain_started_{0};
  TimePoint idle_since_{0};
};

}  // namespace stoat::router
