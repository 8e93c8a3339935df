/// FleetServer: configurations on their way to routers. A member announces the version that it has applied,
/// and routers request what they lack from one member at a time.
#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

/// For this long after a member has applied a new configuration, it sends the configuration only to the
/// routers that follow it.
constexpr Duration kOtherRouterConfigurationDelay = 400ms;

}  // namespace

bool FleetServer::needs_whole_configuration(const RouterLink& link, bool is_reply) const {
  if (link.fetches_configurations() || link.expected_configuration_version() >= configuration_version()) {
    return false;
  }
  return link.status.follows ||
         (is_reply && loop_.now() - configuration_applied_at_ >= kOtherRouterConfigurationDelay);
}

void FleetServer::on_configuration_request(const ChannelPtr& channel,
                                           const fleet::ConfigurationRequest& request) {
  const auto found = router_links_.find(request.router);
  if (found == router_links_.end() || found->second.channel != channel) {
    return;
  }
  const auto parts = configuration_publisher_.parts_for(request, core_->state().fleet().configuration());
  for (const fleet::ConfigurationPart& part : parts) {
    send_configuration_part(found->second, part);
  }
}

void FleetServer::push_configuration_change() {
  const ConfigurationDocument* change = configuration_publisher_.last_change();
  if (change == nullptr || change->bytes.size() > kConfigurationPartBytes) {
    return;
  }
  const fleet::ConfigurationPart part = make_part(*change, 0);
  for (auto& [name, link] : router_links_) {
    const bool follows = link.status.follows && !link.silent && link.channel->open();
    if (follows && link.fetches_configurations() &&
        link.expected_configuration_version() == change->base_version) {
      send_configuration_part(link, part);
    }
  }
}

void FleetServer::send_configuration_part(RouterLink& link, const fleet::ConfigurationPart& part) {
  const wire::Frame frame = wire::make_frame(part);
  link.channel->send_frame(frame);
  metrics_.count("stoat_control_configuration_bytes_total", {}, static_cast<double>(frame.bytes.size()));
  if (part.offset + part.bytes.size() >= part.total_bytes) {
    record_configuration_sent(link,
                              {link.status.router.name, part.version, part.base_version, part.total_bytes});
  }
}

void FleetServer::record_configuration_sent(RouterLink& link, const events::ConfigurationSent& sent) {
  const bool again = link.sent_configuration_version == sent.version;
  link.configuration_copies = again ? link.configuration_copies + 1 : 1;
  link.sent_configuration_version = sent.version;
  metrics_.count("stoat_control_configurations_sent_total", {{"kind", sent.base == 0 ? "whole" : "change"}});
  events::ConfigurationSent event = sent;
  event.unsent = link.channel->unsent_bytes();
  event.copies = link.configuration_copies;
  log_.event(event);
}

}  // namespace stoat::control
