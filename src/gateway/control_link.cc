#include "src/gateway/control_link.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/events/fleet_events.h"

namespace stoat::gateway {

namespace {

/// Statuses kept for one member while their answers are due.
constexpr size_t kMaxSent = 16;
/// After the first answer of a member others may answer for so long before a feed is chosen.
constexpr Duration kChoiceDelay = 60ms;
/// Before the first feed is taken from another region, members of the own one may answer for so long: a feed
/// begins with all that is known, and hundreds of them fill the link between regions.
constexpr Duration kFarChoiceDelay = 1s;

}  // namespace

ControlLink::ControlLink(EventLoop& loop, ControlLinkOptions options, StatusMaker make_status,
                         UpdateHandler on_update, NewsHandler on_news)
    : loop_(loop),
      options_(std::move(options)),
      make_status_(std::move(make_status)),
      on_update_(std::move(on_update)),
      on_news_(std::move(on_news)) {
  loop.every(options_.status_interval, [this] { tick(); });
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
  choose();
  const bool all = ticks_++ % options_.intervals_to_others == 0;
  for (auto& [address, member] : members_) {
    if (all || address == feed_ || feed_.empty()) {
      tell(address, member);
    }
  }
}

void ControlLink::tell_now() {
  for (auto& [address, member] : members_) {
    tell(address, member);
  }
}

Duration ControlLink::silence_of(const Member& member) const {
  return loop_.now() - std::max(member.heard, member.opened);
}

void ControlLink::choose() {
  const TimePoint now = loop_.now();
  if (first_answer_ == TimePoint(0) || now - first_answer_ < kChoiceDelay) {
    return;
  }
  std::vector<MemberView> views;
  for (const auto& [address, member] : members_) {
    MemberView view;
    view.address = address;
    view.distance = options_.topology.distance(options_.zone, member.zone);
    view.connected = member.channel != nullptr && member.channel->open() && member.heard > TimePoint(0);
    view.silence = now - member.heard;
    view.known = now - member.opened;
    if (member.vouched != Duration::min()) {
      view.vouched = now - member.vouched;
    }
    views.push_back(view);
  }
  const std::string chosen = choose_feed(views, feed_, options_.router);
  if (chosen == feed_ || chosen.empty()) {
    return;
  }
  const bool far =
      options_.topology.distance(options_.zone, members_.at(chosen).zone) == topology::Distance::kOtherRegion;
  if (feed_.empty() && far && now - first_answer_ < kFarChoiceDelay) {
    return;
  }
  log_.event(events::FeedChanged{feed_, chosen});
  const std::string before = std::exchange(feed_, chosen);
  for (const std::string& address : {before, chosen}) {
    const auto member = members_.find(address);
    if (member != members_.end()) {
      tell(address, member->second);
    }
  }
}

void ControlLink::connect_members() {
  const TimePoint now = loop_.now();
  std::set<std::string> wanted(told_members_.begin(), told_members_.end());
  if (connected() == 0 || wanted.empty()) {
    for (const Endpoint& seed : options_.seeds) {
      wanted.insert(to_string(seed));
    }
  }
  for (auto entry = members_.begin(); entry != members_.end();) {
    if (wanted.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    entry->second.channel->close();
    entry = members_.erase(entry);
  }
  for (const std::string& address : wanted) {
    Member& member = members_[address];
    const Duration limit = address == feed_ ? options_.answer_limit : options_.others_limit;
    const bool silent = member.channel != nullptr && silence_of(member) > limit;
    if (member.channel != nullptr && member.channel->open() && !silent) {
      continue;
    }
    Endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) {
      continue;
    }
    if (member.channel != nullptr) {
      member.channel->close();
    }
    if (member.reached) {
      member.reached = false;
      log_.event(events::ControlMemberChanged{address, false, to_milliseconds(now - member.heard)});
    }
    member.opened = now;
    member.sent.clear();
    member.vouched = Duration::min();
    member.channel = wire::Channel::connect(
        loop_, endpoint,
        [this, address](const std::shared_ptr<wire::Channel>&, wire::Message message) {
          on_message(address, std::move(message));
        },
        [](const std::shared_ptr<wire::Channel>&) {});
    measure(member);
  }
}

void ControlLink::measure(const Member& member) {
  member.channel->set_meter(traffic_, options_.topology.distance(options_.zone, member.zone));
}

int64_t ControlLink::keys_left_ms() const {
  constexpr int64_t kNever = -1000000;
  return ever_confirmed() ? to_milliseconds(confirmed_until_ - loop_.now()) : kNever;
}

size_t ControlLink::connected() const {
  const TimePoint now = loop_.now();
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    const Duration limit = entry.first == feed_ ? options_.answer_limit : options_.others_limit;
    return now - entry.second.heard <= limit;
  }));
}

void ControlLink::tell(const std::string& address, Member& member) {
  if (member.channel == nullptr || !member.channel->open()) {
    return;
  }
  fleet::RouterStatus status = make_status_();
  status.sequence = ++last_sequence_;
  status.follows = address == feed_;
  member.sent[status.sequence] = loop_.now();
  if (member.sent.size() > kMaxSent) {
    member.sent.erase(member.sent.begin());
  }
  member.channel->send(status);
}

bool ControlLink::connected_to(const std::string& address) const {
  const auto member = members_.find(address);
  return member != members_.end() && member->second.channel != nullptr && member->second.channel->open();
}

bool ControlLink::send_to(const std::string& address, const wire::Message& message) {
  if (!connected_to(address)) {
    return false;
  }
  members_.at(address).channel->send(message);
  return true;
}

bool ControlLink::has_feed() const { return connected_to(feed_); }

bool ControlLink::send_to_feed(const wire::Message& message) { return send_to(feed_, message); }

void ControlLink::take_members(const std::vector<std::string>& members) {
  if (members.empty() || members == told_members_) {
    return;
  }
  told_members_ = members;
  loop_.after(Duration(0), [this] {  // not in the midst of a message of one that may be closed
    connect_members();
    for (auto& [address, member] : members_) {
      if (member.heard == TimePoint(0)) {
        tell(address, member);
      }
    }
  });
}

void ControlLink::on_message(const std::string& address, wire::Message message) {
  const auto found = members_.find(address);
  if (found == members_.end()) {
    return;
  }
  if (const auto* news = std::get_if<fleet::FleetFeedUpdate>(&message.value)) {
    found->second.heard = loop_.now();
    if (address == feed_) {
      on_news_(*news);
    }
    return;
  }
  if (const auto* permits = std::get_if<fleet::PermitResponse>(&message.value)) {
    found->second.heard = loop_.now();
    on_permits_(*permits);
    return;
  }
  const auto* update = std::get_if<fleet::FleetUpdate>(&message.value);
  if (update == nullptr) {
    return;
  }
  Member& member = found->second;
  note_heard(address, member, update->leads);
  if (member.zone != update->zone) {
    member.zone = update->zone;
    measure(member);
  }
  take_members(update->members);
  const bool was_ready = make_status_().router.ready;
  on_update_(*update);
  extend_lease(member, *update);
  if (!was_ready && make_status_().router.ready) {
    // Callers are sent here once the members know: not at the next interval, which takes up to 400 ms.
    loop_.after(Duration(0), [this] { tell_now(); });
  }
  if (update->answers == 0 && confirms(*update) && !keys_confirmed()) {
    tell(address, member);  // the lease counts from a question of this router
  }
}

void ControlLink::note_heard(const std::string& address, Member& member, bool leads) {
  if (!member.reached) {
    member.reached = true;
    log_.event(events::ControlMemberChanged{address, true, 0});
  }
  member.heard = loop_.now();
  if (first_answer_ == TimePoint(0)) {
    first_answer_ = loop_.now();
    loop_.after(kChoiceDelay, [this] { choose(); });
  }
  if (leads && leader_ != address) {
    log_.event(events::LeaderChanged{leader_, address});
    leader_ = address;
  }
}

bool ControlLink::confirms(const fleet::FleetUpdate& update) const {
  return update.quorum_age_ms >= 0 && update.confirmed_version <= configuration_version_;
}

void ControlLink::extend_lease(Member& member, const fleet::FleetUpdate& update) {
  const auto sent = member.sent.find(update.answers);
  if (sent == member.sent.end()) {
    return;
  }
  const TimePoint asked_at = sent->second;
  member.sent.erase(member.sent.begin(), std::next(sent));
  // The leader was confirmed no earlier than so long before the question was sent.
  const TimePoint confirmed = asked_at - Duration(1000 * update.quorum_age_ms);
  if (update.quorum_age_ms >= 0) {
    member.vouched = std::max(member.vouched, confirmed);
  }
  if (confirms(update)) {
    confirmed_until_ = std::max(confirmed_until_, confirmed + options_.key_lease);
  }
}

}  // namespace stoat::gateway
