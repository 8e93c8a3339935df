/// FleetServer: backends that sign off by their name alone. What is retired is an incarnation, since routers
/// know no names; the call that signs off does not tell the start time.
#include <utility>

#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"
#include "src/fleet/incarnation.h"

namespace stoat::control {

void FleetServer::retire_by_name(const std::string& name, RetireCallback on_end) {
  const std::string known = soft_state_.registry().newest_incarnation(name);
  if (!known.empty() && soft_state_.knows_running_backends()) {
    retire_incarnation(known, std::move(on_end));
    return;
  }
  const auto on_found = [this, name, on_end](const IncarnationLookupResult& result) {
    finish_lookup(name, result, on_end);
  };
  if (!incarnation_lookup_.start(name, on_found, loop_.now())) {
    on_end(RetireOutcome::kUnavailable);
  }
}

void FleetServer::retire_incarnation(const std::string& id, RetireCallback on_end) {
  if (is_retired(id, fleet::BackendState::kGone)) {
    on_end(RetireOutcome::kRetired);
    return;
  }
  commit(fleet::RetireBackend{id, fleet::BackendState::kGone}, [on_end = std::move(on_end)](bool done) {
    on_end(done ? RetireOutcome::kRetired : RetireOutcome::kUnavailable);
  });
}

std::string FleetServer::newest_gone_incarnation(const std::string& name) const {
  std::string newest;
  for (const fleet::RetiredBackend& retired : core_->state().fleet().retired()) {
    // Members of earlier builds have retired names that stand for no incarnation.
    const bool is_incarnation = fleet::started_ms(retired.id) > 0 && fleet::backend_name(retired.id) == name;
    if (is_incarnation && retired.state == fleet::BackendState::kGone) {
      newest = fleet::newer_incarnation(newest, retired.id);
    }
  }
  return newest;
}

void FleetServer::finish_lookup(const std::string& name, const IncarnationLookupResult& result,
                                const RetireCallback& on_end) {
  const std::string known =
      fleet::newer_incarnation(result.id, soft_state_.registry().newest_incarnation(name));
  // A repeated call whose first acknowledgement was lost: only the log remembers the backend.
  const std::string id = fleet::newer_incarnation(known, newest_gone_incarnation(name));
  log_.event(
      events::IncarnationLookedUp{name, id, result.asked, result.answered, to_milliseconds(result.taken)});
  metrics_.count("stoat_control_incarnation_lookups_total", {{"result", id.empty() ? "unknown" : "found"}});
  if (!id.empty()) {
    retire_incarnation(id, on_end);
  } else {
    on_end(soft_state_.knows_running_backends() ? RetireOutcome::kUnknownBackend
                                                : RetireOutcome::kUnavailable);
  }
}

void FleetServer::advance_lookups() {
  if (!incarnation_lookup_.in_progress()) {
    return;
  }
  for (auto& [name, link] : router_links_) {
    const bool answers = !link.silent && link.channel->open() &&
                         link.status.protocol_version >= fleet::kFirstIncarnationLookupVersion;
    if (const auto request = answers ? incarnation_lookup_.make_request(name) : std::nullopt) {
      link.channel->send(*request);
    }
  }
  for (const std::string& address : other_members()) {
    const ChannelPtr channel = soft_state_.peer_speaks(address, fleet::kFirstIncarnationLookupVersion)
                                   ? bulk_channel_to(address)
                                   : nullptr;
    if (const auto request = channel != nullptr ? incarnation_lookup_.make_request(address) : std::nullopt) {
      channel->send(*request);
    }
  }
  incarnation_lookup_.end_due(loop_.now());
}

void FleetServer::on_incarnation_request(const ChannelPtr& channel,
                                         const fleet::IncarnationRequest& request) const {
  fleet::IncarnationResponse response;
  response.number = request.number;
  for (const std::string& name : request.names) {
    const std::string id = soft_state_.registry().newest_incarnation(name);
    if (!id.empty()) {
      response.incarnations.push_back({name, id});
    }
  }
  channel->send(response);
}

}  // namespace stoat::control
