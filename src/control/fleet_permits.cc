/// FleetServer: permits for requests to back ends that name limits for all routers together.
#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// Rounded up: a permit that begins late does no harm.
int64_t to_milliseconds_up(Duration span) { return to_milliseconds(span + 1ms - 1us); }

}  // namespace

bool FleetServer::may_grant_permits() const {
  const consensus::Replica& replica = core_->replica();
  // A leader that is cut off grants no more by the time that its successor does.
  return replica.leads() && replica.term_committed() &&
         loop_.now() - replica.quorum_confirmed_at() <= admission::kPermitLease;
}

void FleetServer::on_permit_question(const ChannelPtr& channel, const fleet::PermitRequest& question) {
  fleet::PermitResponse answer;
  answer.number = question.number;
  const TimePoint now = loop_.now();
  if (may_grant_permits()) {
    for (const fleet::PermitRequestItem& wish : question.wishes) {
      // After a change of leader the router may know the limit first.
      const double per_second = knowledge_.limits().per_second(wish.backend, wish.per_second);
      const admission::PermitGrant grant = permits_.ask(wish.backend, per_second, wish.count, now);
      answer.terms.push_back({wish.backend, grant.count, to_milliseconds_up(grant.wait)});
      metrics_.count(grant.count > 0 ? "stoat_control_permits_total" : "stoat_control_permits_denied_total",
                     {}, std::max<uint32_t>(1, grant.count));
    }
  }
  channel->send(answer);
}

void FleetServer::keep_permits() {
  permits_.expire(loop_.now());
  metrics_.set("stoat_control_limited_backends", static_cast<double>(knowledge_.limits().limits().size()));
}

}  // namespace stoat::control
