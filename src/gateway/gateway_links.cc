/// Part of GatewayServer: what this router's own links reach, and relaying for routers that reach less.
#include "src/common/random.h"
#include "src/events/fleet_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

void GatewayServer::configure_links() {
  pool_.set_connect_to(settings_.connect_to_backend);
  pool_.set_router(settings_.name, seed_from_device());
  pool_.verifier().set_handler([this](const dispatch::BackendPtr& backend, dispatch::LinkVerdict verdict) {
    on_link_verdict(backend, verdict);
  });
  context_.report_unreachable = [this](const std::string& backend) {
    unreported_unreachable_.insert(backend);
  };
  if (settings_.relay_listen.port != 0) {
    relay_server_ = std::make_unique<relay::RelayServer>(
        loop_, settings_.relay_listen, settings_.relay_limits,
        [this](const std::string& backend) { return resolve_for_relay(backend); });
  }
}

void GatewayServer::on_link_verdict(const dispatch::BackendPtr& backend, dispatch::LinkVerdict verdict) {
  metrics_.count("stoat_router_link_verdicts_total", {{"verdict", dispatch::to_text(verdict)}});
  if (verdict == dispatch::LinkVerdict::kBackendFailed) {
    unreported_unreachable_.insert(backend->record.id);
    if (backend->refused_directly) {
      confirm_crash(*backend, "refused");
    }
  }
  check_silence();
}

tl::expected<Endpoint, relay::ConnectFailure> GatewayServer::resolve_for_relay(
    const std::string& backend) const {
  if (pool_.links().cut_off()) {
    return tl::unexpected(relay::ConnectFailure::kCutOff);
  }
  const dispatch::BackendPtr known = pool_.find(backend);
  if (known == nullptr) {
    return tl::unexpected(relay::ConnectFailure::kUnknown);
  }
  return settings_.connect_to_backend(known->endpoint);
}

void GatewayServer::track_reach() {
  const dispatch::LinkSummary reach = pool_.links().summary();
  if (reach.cut_off != logged_reach_.cut_off) {
    control_link_.send_status_to_all();  // members name other relays at once
  }
  const bool changed = reach.unreached != logged_reach_.unreached || reach.cut_off != logged_reach_.cut_off;
  if (changed && request_log_sampler_.reserve_lines(1, "reach changed", loop_.now())) {
    const Duration since = reach.unreached == 0 ? Duration(0) : loop_.now() - reach.unreached_since;
    log_.event(events::BackendReachChanged{reach.unreached, reach.known, reach.cut_off, pool_.relays().size(),
                                           to_milliseconds(since)});
  }
  logged_reach_ = reach;
}

void GatewayServer::publish_reach_metrics() {
  const dispatch::LinkSummary reach = pool_.links().summary();
  metrics_.set("stoat_router_unreached_backends", static_cast<double>(reach.unreached));
  metrics_.set("stoat_router_unreached_seconds",
               reach.unreached == 0 ? 0 : to_seconds(loop_.now() - reach.unreached_since));
  metrics_.set("stoat_router_cut_off", reach.cut_off ? 1 : 0);
  metrics_.set("stoat_router_known_relays", static_cast<double>(pool_.relays().size()));
  if (relay_server_ != nullptr) {
    const relay::RelayCounts& counts = relay_server_->counts();
    metrics_.set("stoat_router_relaying_connections", static_cast<double>(relay_server_->size()));
    metrics_.set("stoat_router_relayed_connections", static_cast<double>(counts.connections));
    metrics_.set("stoat_router_relayed_bytes", static_cast<double>(counts.bytes));
    metrics_.set("stoat_router_relay_refusals", static_cast<double>(counts.refusals));
  }
}

}  // namespace stoat::gateway
