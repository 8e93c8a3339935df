/// FleetServer: permits for requests to backends that set a rate limit for all routers together.
#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// Converts to milliseconds, rounded up, because a permit that becomes valid late does no harm.
int64_t to_milliseconds_up(Duration span) { return to_milliseconds(span + 1ms - 1us); }

}  // namespace

bool FleetServer::may_grant_permits() const {
  const consensus::Replica& replica = core_->replica();
  // A leader that is cut off stops granting permits before its successor starts.
  return replica.leads() && replica.term_committed() &&
         loop_.now() - replica.quorum_confirmed_at() <= admission::kPermitLease;
}

void FleetServer::on_permit_request(const ChannelPtr& channel, const fleet::PermitRequest& permit_request) {
  fleet::PermitResponse answer;
  answer.number = permit_request.number;
  const TimePoint now = loop_.now();
  if (may_grant_permits()) {
    for (const fleet::PermitRequestItem& item : permit_request.items) {
      // After a change of leader, the router may know the limit before this member does.
      const double per_second = soft_state_.limits().value_or(item.backend, item.per_second);
      const admission::PermitGrant grant = permit_issuer_.issue(item.backend, per_second, item.count, now);
      answer.grants.push_back({item.backend, grant.count, to_milliseconds_up(grant.wait)});
      metrics_.count(grant.count > 0 ? "stoat_control_permits_total" : "stoat_control_permits_denied_total",
                     {}, std::max<uint32_t>(1, grant.count));
    }
  }
  channel->send(answer);
}

void FleetServer::maintain_permits() {
  permit_issuer_.expire(loop_.now());
  metrics_.set("stoat_control_limited_backends", static_cast<double>(soft_state_.limits().values().size()));
}

}  // namespace stoat::control
