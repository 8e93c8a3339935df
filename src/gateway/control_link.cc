#include "src/gateway/control_link.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "src/common/hash.h"
#include "src/events/fleet_events.h"

namespace stoat::gateway {

namespace {

/// Unanswered statuses kept for each member.
constexpr size_t kMaxUnansweredStatuses = 16;
/// How often it is checked whether a configuration must be requested from another member.
constexpr Duration kFetchCheckInterval = 100ms;

}  // namespace

ControlLink::ControlLink(EventLoop& loop, ControlLinkOptions options, StatusProvider make_status,
                         UpdateHandler on_update, FeedUpdateHandler on_feed_update)
    : loop_(loop),
      options_(std::move(options)),
      make_status_(std::move(make_status)),
      on_update_(std::move(on_update)),
      on_feed_update_(std::move(on_feed_update)) {
  loop.every(options_.status_interval, [this] { tick(); });
  loop.every(kFetchCheckInterval, [this] { fetch_configuration(); });
  loop.after(Duration(0), [this] { tick(); });
}

ControlLink::~ControlLink() {
  for (auto& [address, member] : members_) {
    if (member.channel != nullptr) {
      member.channel->close();
    }
  }
}

void ControlLink::tick() {
  connect_members();
  update_feed_member();
  const bool broadcast = ticks_++ % options_.intervals_per_broadcast == 0;
  for (auto& [address, member] : members_) {
    if (broadcast || address == feed_address_ || feed_address_.empty()) {
      send_status(address, member);
    }
  }
}

void ControlLink::send_status_to_all() {
  for (auto& [address, member] : members_) {
    send_status(address, member);
  }
}

Duration ControlLink::idle_time(const Member& member) const {
  return loop_.now() - std::max(member.last_message_at, member.connect_started_at);
}

void ControlLink::connect_members() {
  const TimePoint now = loop_.now();
  std::set<std::string> wanted_addresses(listed_members_.begin(), listed_members_.end());
  if (responsive_member_count() == 0 || wanted_addresses.empty()) {
    for (const Endpoint& seed : options_.seeds) {
      wanted_addresses.insert(to_string(seed));
    }
  }
  for (auto entry = members_.begin(); entry != members_.end();) {
    if (wanted_addresses.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    entry->second.channel->close();
    on_member_lost(entry->first);
    entry = members_.erase(entry);
  }
  for (const std::string& address : wanted_addresses) {
    Member& member = members_[address];
    const Duration timeout =
        address == feed_address_ ? options_.feed_member_timeout : options_.other_member_timeout;
    const bool timed_out = member.channel != nullptr && idle_time(member) > timeout;
    if (member.channel != nullptr && member.channel->open() && !timed_out) {
      continue;
    }
    Endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) {
      continue;
    }
    if (member.channel != nullptr) {
      member.channel->close();
    }
    if (member.reachable) {
      member.reachable = false;
      log_.event(events::ControlMemberChanged{address, false, to_milliseconds(now - member.last_message_at)});
    }
    member.connect_started_at = now;
    member.unanswered_statuses.clear();
    member.leader_confirmed_at = Duration::min();
    member.channel = wire::Channel::connect(
        loop_, options_.connect_to(endpoint),
        [this, address](const std::shared_ptr<wire::Channel>&, wire::Message message) {
          on_message(address, std::move(message));
        },
        [this, address](const std::shared_ptr<wire::Channel>&) {
          on_member_lost(address);
          fetch_configuration();
        });
    on_member_lost(address);
    member.channel->set_unreadable_handler(on_unreadable_);
    set_traffic_meter(member);
  }
}

void ControlLink::on_member_lost(const std::string& address) {
  members_.at(address).ready = false;
  configuration_fetch_.on_member_lost(address);
  stream_records_.on_member_lost(address);
}

void ControlLink::set_traffic_meter(const Member& member) {
  member.channel->set_meter(traffic_, options_.topology.distance(options_.zone, member.zone));
}

int64_t ControlLink::key_lease_left_ms() const {
  constexpr int64_t kNeverConfirmedMs = -1000000;
  return had_key_lease() ? to_milliseconds(configuration_confirmed_at_ + options_.key_lease - loop_.now())
                         : kNeverConfirmedMs;
}

size_t ControlLink::responsive_member_count() const {
  const TimePoint now = loop_.now();
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    const Duration timeout =
        entry.first == feed_address_ ? options_.feed_member_timeout : options_.other_member_timeout;
    return now - entry.second.last_message_at <= timeout;
  }));
}

void ControlLink::send_status(const std::string& address, Member& member) {
  if (member.channel == nullptr || !member.channel->open()) {
    return;
  }
  fleet::RouterStatus status = make_status_();
  status.sequence = ++last_sequence_;
  status.follows = address == feed_address_;
  member.unanswered_statuses[status.sequence] = loop_.now();
  if (member.unanswered_statuses.size() > kMaxUnansweredStatuses) {
    member.unanswered_statuses.erase(member.unanswered_statuses.begin());
  }
  member.channel->send(status);
}

bool ControlLink::connected_to(const std::string& address) const {
  const auto member = members_.find(address);
  return member != members_.end() && member->second.channel != nullptr && member->second.channel->open();
}

bool ControlLink::leader_speaks(fleet::ProtocolVersion version) const {
  const auto leader = members_.find(leader_address_);
  return has_leader() && leader->second.protocol_version >= version;
}

bool ControlLink::send_to(const std::string& address, const wire::Message& message) {
  if (!connected_to(address)) {
    return false;
  }
  members_.at(address).channel->send(message);
  return true;
}

bool ControlLink::has_feed_member() const { return connected_to(feed_address_); }

bool ControlLink::send_to_feed_member(const wire::Message& message) {
  return send_to(feed_address_, message);
}

void ControlLink::store_member_list(const std::vector<std::string>& members) {
  if (members.empty() || members == listed_members_) {
    return;
  }
  listed_members_ = members;
  loop_.after(Duration(0), [this] {  // deferred: the member whose message is being handled may be closed
    connect_members();
    for (auto& [address, member] : members_) {
      if (member.last_message_at == TimePoint(0)) {
        send_status(address, member);
      }
    }
  });
}

void ControlLink::on_other_message(const std::string& address, const wire::Message& message) {
  if (const auto* feed_update = std::get_if<fleet::FleetFeedUpdate>(&message.value)) {
    if (address == feed_address_) {
      on_feed_update_(*feed_update);
    }
  } else if (const auto* part = std::get_if<fleet::ConfigurationPart>(&message.value)) {
    on_configuration_part(address, *part);
  } else if (const auto* permit_answer = std::get_if<fleet::PermitResponse>(&message.value)) {
    on_permit_answer_(*permit_answer);
  } else if (const auto* slots = std::get_if<fleet::SlotAnswer>(&message.value)) {
    if (address == leader_address_) {
      on_slot_answer_(*slots);
    }
  } else if (const auto* stored = std::get_if<fleet::StreamRecordBatchResponse>(&message.value)) {
    stream_records_.on_stored(address, *stored);
  } else if (const auto* record = std::get_if<fleet::StreamRecordResponse>(&message.value)) {
    stream_records_.on_response(address, *record);
  } else if (const auto* request = std::get_if<fleet::IncarnationRequest>(&message.value)) {
    on_incarnation_request(address, *request);
  }
}

void ControlLink::on_incarnation_request(const std::string& address,
                                         const fleet::IncarnationRequest& request) {
  fleet::IncarnationResponse response;
  response.number = request.number;
  for (const std::string& name : request.names) {
    const std::string id = newest_incarnation_(name);
    if (!id.empty()) {
      response.incarnations.push_back({name, id});
    }
  }
  send_to(address, response);
}

void ControlLink::on_message(const std::string& address, wire::Message message) {
  const auto found = members_.find(address);
  if (found == members_.end()) {
    return;
  }
  const auto* update = std::get_if<fleet::FleetUpdate>(&message.value);
  if (update == nullptr) {
    found->second.last_message_at = loop_.now();
    on_other_message(address, message);
    return;
  }
  Member& member = found->second;
  member.protocol_version = update->protocol_version;
  if (!std::exchange(member.ready, true)) {
    stream_records_.on_member_ready(address, member.protocol_version);
  }
  for (const fleet::MixedServices& mixed : update->mixed_services) {
    stream_records_.on_mixed_services(address, mixed);
  }
  record_answer(address, member, update->leads);
  if (member.zone != update->zone) {
    member.zone = update->zone;
    set_traffic_meter(member);
  }
  store_member_list(update->members);
  record_configuration(address, *update);
  const bool was_ready = make_status_().router.ready;
  on_update_(*update);
  extend_key_lease(member, *update);
  fetch_configuration();
  if (!was_ready && make_status_().router.ready) {
    // Clients are sent here only once the members know that this router is ready. The next interval would be
    // up to 400 ms later.
    loop_.after(Duration(0), [this] { send_status_to_all(); });
  }
  if (update->answers == 0 && confirms_configuration(*update) && !key_lease_valid()) {
    // The lease counts from the sending of a status, so only the answer to a status extends it.
    send_status(address, member);
  }
}

void ControlLink::record_answer(const std::string& address, Member& member, bool leads) {
  if (!member.reachable) {
    member.reachable = true;
    log_.event(events::ControlMemberChanged{address, true, 0});
  }
  member.last_message_at = loop_.now();
  if (first_answer_at_ == TimePoint(0)) {
    first_answer_at_ = loop_.now();
    loop_.after(kFeedChoiceDelay, [this] { update_feed_member(); });
  }
  if (leads && leader_address_ != address) {
    log_.event(events::LeaderChanged{leader_address_, address});
    leader_address_ = address;
  }
}

void ControlLink::set_configuration(std::shared_ptr<const fleet::FleetConfiguration> configuration) {
  configuration_fetch_.set_held(std::move(configuration));
}

Duration ControlLink::time_behind() const {
  return configuration_fetch_.announced_version() > configuration_fetch_.held_version()
             ? loop_.now() - configuration_fetch_.announced_at()
             : Duration(0);
}

void ControlLink::record_configuration(const std::string& address, const fleet::FleetUpdate& update) {
  newest_known_version_ =
      std::max({newest_known_version_, update.confirmed_version, update.configuration_version});
  configuration_fetch_.on_announcement(address, update.configuration_version, loop_.now());
  for (const fleet::FleetConfiguration& configuration : update.configuration) {
    newest_known_version_ = std::max(newest_known_version_, configuration.version);
    configuration_fetch_.on_announcement(address, configuration.version, loop_.now());
    log_.event(
        events::ConfigurationReceived{address, configuration.version, configuration_fetch_.held_version(), 0,
                                      to_milliseconds(loop_.now() - configuration_fetch_.announced_at())});
  }
}

std::vector<std::string> ControlLink::connected_members() const {
  // Routers with several equally near members spread over them.
  std::vector<std::tuple<topology::Distance, uint64_t, std::string>> connected;
  for (const auto& [address, member] : members_) {
    if (member.last_message_at > TimePoint(0) && connected_to(address)) {
      connected.emplace_back(options_.topology.distance(options_.zone, member.zone),
                             hash_pair(hash_bytes(options_.router), hash_bytes(address)), address);
    }
  }
  std::sort(connected.begin(), connected.end());
  std::vector<std::string> addresses(connected.size());
  std::transform(connected.begin(), connected.end(), addresses.begin(),
                 [](auto& entry) { return std::move(std::get<std::string>(entry)); });
  return addresses;
}

void ControlLink::fetch_configuration() {
  if (configuration_fetch_.announced_version() <= configuration_fetch_.held_version()) {
    return;
  }
  auto next = configuration_fetch_.next_request(feed_address_, connected_members(), loop_.now());
  if (next) {
    next->request.router = make_status_().router.name;
    send_to(next->member, next->request);
  }
}

void ControlLink::on_configuration_part(const std::string& address, const fleet::ConfigurationPart& part) {
  const uint64_t held_version = configuration_fetch_.held_version();
  const auto received = configuration_fetch_.on_part(address, part, loop_.now());
  if (!received) {
    ++configuration_mismatches_;
    log_.event(events::ConfigurationMismatch{address, held_version, received.error()});
  } else if (*received) {
    const ReceivedConfiguration& complete = **received;
    log_.event(
        events::ConfigurationReceived{address, complete.configuration->version, held_version, complete.bytes,
                                      to_milliseconds(loop_.now() - configuration_fetch_.announced_at())});
    const bool was_ready = make_status_().router.ready;
    on_configuration_(complete.configuration);
    const bool became_ready = !was_ready && make_status_().router.ready;
    if (became_ready || !key_lease_valid()) {
      // Clients are sent here only once the members know that this router is ready, and confirmations of this
      // version have not extended the lease yet.
      send_status_to_all();
    }
  }
  fetch_configuration();
}

bool ControlLink::confirms_configuration(const fleet::FleetUpdate& update) const {
  return update.quorum_age_ms >= 0 && update.confirmed_version <= configuration_fetch_.held_version();
}

void ControlLink::extend_key_lease(Member& member, const fleet::FleetUpdate& update) {
  const auto answered = member.unanswered_statuses.find(update.answers);
  if (answered == member.unanswered_statuses.end()) {
    return;
  }
  const TimePoint status_sent_at = answered->second;
  member.unanswered_statuses.erase(member.unanswered_statuses.begin(), std::next(answered));
  // The leader was confirmed at most quorum_age_ms before the status was sent.
  const TimePoint confirmed_at = status_sent_at - Duration(1000 * update.quorum_age_ms);
  if (update.quorum_age_ms >= 0) {
    member.leader_confirmed_at = std::max(member.leader_confirmed_at, confirmed_at);
  }
  if (confirms_configuration(update)) {
    configuration_confirmed_at_ = std::max(configuration_confirmed_at_, confirmed_at);
  }
}

}  // namespace stoat::gateway
