#include "src/dispatch/health_check.h"

#include <utility>

namespace stoat::dispatch {

namespace {

/// A health check whose response is not complete within this time ends, and its connection is discarded.
constexpr Duration kHealthCheckTimeout = 1s;
/// A health check whose response has a longer body ends likewise.
constexpr size_t kMaxBodyBytes = 64U << 10U;

}  // namespace

HealthCheck::HealthCheck(BackendPool& pool, BackendPtr backend, EndHandler on_end)
    : pool_(pool), backend_(std::move(backend)), on_end_(std::move(on_end)) {}

void HealthCheck::start(EventLoop& loop, BackendPool& pool, const BackendPtr& backend,
                        const std::string& head, EndHandler on_end) {
  const std::shared_ptr<HealthCheck> check(new HealthCheck(pool, backend, std::move(on_end)));
  check->connection_ = pool.take_connection(backend);
  if (check->connection_ == nullptr) {
    check->on_end_(false);
    return;
  }
  check->self_ = check;
  check->connection_->send(head, "", check.get(), [](int, const http1::Headers&) { return true; });
  loop.after(kHealthCheckTimeout, [weak = std::weak_ptr<HealthCheck>(check)] {
    if (const auto running = weak.lock()) {
      running->end(false);
    }
  });
}

void HealthCheck::on_response_head(int status, const http1::Headers&) { answered_ = status != kMisdirected; }

void HealthCheck::on_response_body(std::string_view piece) {
  body_bytes_ += piece.size();
  if (body_bytes_ > kMaxBodyBytes) {
    end(false);
  }
}

void HealthCheck::on_response_complete() { end(true); }

void HealthCheck::on_exchange_failure(ExchangeFailure) { end(false); }

void HealthCheck::end(bool keep_connection) {
  const auto keep = std::exchange(self_, nullptr);
  if (keep == nullptr) {
    return;
  }
  if (keep_connection) {
    pool_.release(backend_, connection_);
  } else {
    pool_.discard(backend_, connection_);
  }
  connection_ = nullptr;
  on_end_(answered_);
}

}  // namespace stoat::dispatch
