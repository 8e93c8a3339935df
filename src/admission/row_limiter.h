/// Applies the ceilings of one row of the policy table at one router, within its lease.
#pragma once

#include "src/admission/quota.h"
#include "src/admission/token_bucket.h"

namespace stoat::admission {

/// See the head of this file.
class RowLimiter {
 public:
  /// Puts the row, and the number of routers that share it, in force.
  void configure(const control::PolicyRow& row, size_t router_count, TimePoint now);
  void on_grant(const wire::QuotaGrant& grant, TimePoint now);

  /// True when the request may enter now; it is then counted. Otherwise `retry_after` says when to come back.
  bool admit(uint32_t tokens, TimePoint now, Duration& retry_after);
  /// True when one more request may run.
  bool may_start(TimePoint now);
  void started() { ++running_; }
  void ended() { running_ -= running_ > 0 ? 1 : 0; }

  /// What to ask the owner for; called about once a second, and starts a new count.
  wire::QuotaRequest take_demand(const std::string& router, Duration since_last);
  /// True when a request entered or runs since the last take_demand().
  bool used() const { return running_ > 0 || asked_requests_ > 0; }
  /// True when the row has any ceiling.
  bool limited() const;
  const control::PolicyRow& row() const { return row_; }
  int32_t running() const { return running_; }

 private:
  void refresh(TimePoint now);

  control::PolicyRow row_;
  size_t router_count_ = 1;
  QuotaAmounts part_;
  TimePoint lease_until_{0};
  TokenBucket requests_;
  TokenBucket tokens_;
  int32_t running_ = 0;
  double asked_requests_ = 0;
  double asked_tokens_ = 0;
};

}  // namespace stoat::admission
