/// A sidecar as a process: callers over HTTP, routers on channels, the SidecarCore in between.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/common/command_line.h"
#include "src/common/log.h"
#include "src/control/control_client.h"
#include "src/http/common_routes.h"
#include "src/sidecar/caller_answer.h"
#include "src/sidecar/sidecar_core.h"
#include "src/sidecar/trace_recorder.h"
#include "src/wire/channel.h"

namespace stoat::sidecar {

/// Settings of stoat-sidecar.
struct SidecarSettings {
  std::string name;
  SidecarOptions core;
  Endpoint listen;
  http::ServerLimits limits;
  control::ControlClientOptions control;
  std::string trace_file;  ///< empty: no trace
  Duration drain_limit{120s};
};

/// Reads the settings of stoat-sidecar.
SidecarSettings read_sidecar_settings(SettingsReader& reader);

/// See the head of this file.
class SidecarServer {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  SidecarServer(EventLoop& loop, const SidecarSettings& settings);
  ~SidecarServer() { wire::close_all(channels_); }
  SidecarServer(const SidecarServer&) = delete;
  SidecarServer& operator=(const SidecarServer&) = delete;

 private:
  void on_call(const http::ExchangePtr& exchange, AnswerForm form);
  void list_models(const http::ExchangePtr& exchange);
  void perform_actions();
  void perform(SendToRouter& action);
  void perform(DropRouter& action);
  void perform(PieceToCaller& action);
  void perform(EndToCaller& action);
  void tick();
  void start_drain();
  void check_drained();
  nlohmann::json status_json() const;

  EventLoop& loop_;
  SidecarSettings settings_;
  Logger log_{"sidecar"};
  Metrics metrics_;
  SidecarCore core_;
  control::ControlClient control_;
  TraceRecorder recorder_;
  http::Server http_;
  ExchangeId last_exchange_ = 0;
  std::unordered_map<ExchangeId, CallerAnswer> answers_;
  std::map<std::string, std::string> router_endpoints_;
  std::map<std::string, std::shared_ptr<wire::Channel>> channels_;
  bool draining_ = false;
  TimePoint drain_started_{0};
  TimePoint idle_since_{0};
};

}  // namespace stoat::sidecar
