/// GatewayServer: the planned end of the process, from SIGTERM on.
#include <utility>

#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

constexpr Duration kShutdownCheckInterval = 50ms;
/// Time for the last answers to reach their callers.
constexpr Duration kFinalAnswerTime = 200ms;

}  // namespace

void GatewayServer::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_started_at_ = loop_.now();
  log_.info("stopping", {{"requests", active_requests_.size()}});
  edge_.start_draining();
  if (relay_server_ != nullptr) {
    relay_server_->start_draining();
  }
  control_link_.send_status_to_all();
  loop_.every(kShutdownCheckInterval, [this] { check_shutdown(); });
}

void GatewayServer::check_shutdown() {
  const Duration elapsed = loop_.now() - stop_started_at_;
  if (elapsed >= settings_.stop_listening_after) {
    if (!closing()) {
      begin_closing();
    }
    const bool relaying = relay_server_ != nullptr && relay_server_->size() > 0;
    if (edge_.busy_count() == 0 && !relaying) {
      log_.info("stopped");
      loop_.stop();
      return;
    }
  }
  if (elapsed >= settings_.shutdown_timeout && !std::exchange(open_requests_ended_, true)) {
    log_.warning("stopped with open requests", {{"requests", active_requests_.size()}});
    for_each_request([](dispatch::ActiveRequest& request) { request.end_with_router(); });
  }
  if (elapsed >= settings_.shutdown_timeout + kFinalAnswerTime) {
    loop_.stop();
  }
}

bool GatewayServer::closing() const { return context_.router_ends_at != TimePoint::max(); }

void GatewayServer::begin_closing() {
  edge_.stop_listening();
  context_.router_ends_at = stop_started_at_ + settings_.shutdown_timeout;
  for_each_request([](dispatch::ActiveRequest& request) { request.refuse_if_too_late(); });
  for (StartupQueue* queue : {&startup_queue_, &configuration_queue_}) {
    for (WaitingRequest& waiting : queue->take_all()) {
      serve(std::move(waiting.request), waiting.response, waiting.arrived);
    }
  }
}

}  // namespace stoat::gateway
