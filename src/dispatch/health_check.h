/// Sends a request to a backend's health path. Any response shows that the backend is alive, whatever its
/// status, except 421 (Misdirected Request), with which another backend at the same address responds.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/dispatch/backend_pool.h"

namespace stoat::dispatch {

/// One health check. Keeps itself alive until it ends.
class HealthCheck : public ExchangeListener, public std::enable_shared_from_this<HealthCheck> {
 public:
  /// Called once when the check ends. `answered` is true if a response began with a status other than 421.
  using EndHandler = std::function<void(bool answered)>;
  /// Sends `head`, the head of a request without a body, on an idle or a new connection. If there is none,
  /// calls `on_end(false)` at once.
  static void start(EventLoop& loop, BackendPool& pool, const BackendPtr& backend, const std::string& head,
                    EndHandler on_end);

  void on_response_head(int status, const http1::Headers& headers) override;
  void on_response_body(std::string_view piece) override;
  void on_response_complete() override;
  void on_exchange_failure(ExchangeFailure failure) override;

 private:
  HealthCheck(BackendPool& pool, BackendPtr backend, EndHandler on_end);
  void end(bool keep_connection);

  BackendPool& pool_;
  BackendPtr backend_;
  EndHandler on_end_;
  std::shared_ptr<BackendConnection> connection_;
  std::shared_ptr<HealthCheck> self_;  ///< set while the check is running
  bool answered_ = false;
  size_t body_bytes_ = 0;  ///< received
};

}  // namespace stoat::dispatch
