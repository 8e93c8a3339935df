#include "src/admission/row_limiter.h"

namespace stoat::admission {

void RowLimiter::configure(const control::PolicyRow& row, size_t router_count, TimePoint now) {
  if (row == row_ && router_count == router_count_ && lease_until_ > now) {
    return;
  }
  row_ = row;
  router_count_ = router_count;
  lease_until_ = TimePoint(0);
  part_ = unleased_part(row_, router_count_);
  requests_.set_rate(part_.requests_per_second, now);
  tokens_.set_rate(part_.tokens_per_second, now);
}

void RowLimiter::on_grant(const wire::QuotaGrant& grant, TimePoint now) {
  part_ = {grant.requests_per_second, grant.tokens_per_second, grant.concurrent};
  lease_until_ = now + Duration(grant.lease_ms * 1000);
  requests_.set_rate(part_.requests_per_second, now);
  tokens_.set_rate(part_.tokens_per_second, now);
}

void RowLimiter::refresh(TimePoint now) {
  if (lease_until_ != TimePoint(0) && now >= lease_until_) {
    lease_until_ = TimePoint(0);
    part_ = unleased_part(row_, router_count_);
    requests_.set_rate(part_.requests_per_second, now);
    tokens_.set_rate(part_.tokens_per_second, now);
  }
}

bool RowLimiter::limited() const {
  return row_.requests_per_second > 0 || row_.tokens_per_second > 0 || row_.concurrent > 0;
}

bool RowLimiter::admit(uint32_t tokens, TimePoint now, Duration& retry_after) {
  refresh(now);
  asked_requests_ += 1;
  asked_tokens_ += tokens;
  retry_after = Duration(0);
  if (row_.requests_per_second > 0) {
    retry_after = std::max(retry_after, requests_.wait_time(1, now));
  }
  if (row_.tokens_per_second > 0) {
    retry_after = std::max(retry_after, tokens_.wait_time(tokens, now));
  }
  if (retry_after > Duration(0)) {
    return false;
  }
  if (row_.requests_per_second > 0) {
    requests_.take(1, now);
  }
  if (row_.tokens_per_second > 0) {
    tokens_.take(tokens, now);
  }
  return true;
}

bool RowLimiter::may_start(TimePoint now) {
  refresh(now);
  return row_.concurrent <= 0 || running_ < static_cast<int32_t>(part_.concurrent);
}

wire::QuotaRequest RowLimiter::take_demand(const std::string& router, Duration since_last) {
  wire::QuotaRequest request;
  request.router = router;
  request.kind = row_.kind;
  request.name = row_.name;
  const double seconds = std::max(0.001, to_seconds(since_last));
  request.demand_requests = asked_requests_ / seconds + running_;
  request.demand_tokens = asked_tokens_ / seconds;
  asked_requests_ = 0;
  asked_tokens_ = 0;
  return request;
}

}  // namespace stoat::admission
