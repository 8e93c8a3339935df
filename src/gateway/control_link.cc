#include "src/gateway/control_link.h"

#include <algorithm>
#include <set>

#include "src/events/fleet_events.h"

namespace stoat::gateway {

namespace {

/// Statuses kept for one member while their answers are due.
constexpr size_t kMaxSent = 16;

}  // namespace

ControlLink::ControlLink(EventLoop& loop, ControlLinkOptions options, StatusMaker make_status,
                         UpdateHandler on_update, NewsHandler on_news, CacheHandler on_cache_news)
    : loop_(loop),
      options_(std::move(options)),
      make_status_(std::move(make_status)),
      on_update_(std::move(on_update)),
      on_news_(std::move(on_news)),
      on_cache_news_(std::move(on_cache_news)) {
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
  tell_now();
}

void ControlLink::tell_now() {
  for (auto& [address, member] : members_) {
    tell(member);
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
    const bool silent =
        member.channel != nullptr && now - std::max(member.heard, member.opened) > options_.answer_limit;
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
    member.channel = wire::Channel::connect(
        loop_, endpoint,
        [this, address](const std::shared_ptr<wire::Channel>&, wire::Message message) {
          on_message(address, std::move(message));
        },
        [](const std::shared_ptr<wire::Channel>&) {});
  }
}

int64_t ControlLink::keys_left_ms() const {
  constexpr int64_t kNever = -1000000;
  return ever_confirmed() ? to_milliseconds(confirmed_until_ - loop_.now()) : kNever;
}

size_t ControlLink::connected() const {
  const TimePoint now = loop_.now();
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    return now - entry.second.heard <= options_.answer_limit;
  }));
}

void ControlLink::tell(Member& member) {
  if (member.channel == nullptr || !member.channel->open()) {
    return;
  }
  fleet::RouterStatus status = make_status_();
  status.sequence = ++last_sequence_;
  member.sent[status.sequence] = loop_.now();
  if (member.sent.size() > kMaxSent) {
    member.sent.erase(member.sent.begin());
  }
  member.channel->send(status);
}

void ControlLink::send_to_leader(const fleet::PlacementNews& news) {
  const auto leader = members_.find(leader_);
  if (leader != members_.end() && leader->second.channel != nullptr) {
    leader->second.channel->send(news);
  }
}

void ControlLink::on_message(const std::string& address, wire::Message message) {
  if (const auto* news = std::get_if<fleet::PlacementNews>(&message.value)) {
    on_news_(*news);
    return;
  }
  if (const auto* cache_news = std::get_if<fleet::CacheNews>(&message.value)) {
    on_cache_news_(*cache_news);
    return;
  }
  const auto found = members_.find(address);
  auto* update = std::get_if<fleet::FleetUpdate>(&message.value);
  if (found == members_.end() || update == nullptr) {
    return;
  }
  note_heard(address, found->second, update->leads);
  if (!update->members.empty()) {
    told_members_ = update->members;
  }
  on_update_(*update);
  const auto again = members_.find(address);
  if (again != members_.end()) {
    extend_lease(again->second, *update);
    const bool could_confirm = update->leads && update->quorum_age_ms >= 0 && update->answers == 0;
    if (could_confirm && !keys_confirmed()) {
      tell(again->second);  // the lease counts from a question of this router
    }
  }
}

void ControlLink::note_heard(const std::string& address, Member& member, bool leads) {
  if (!member.reached) {
    member.reached = true;
    log_.event(events::ControlMemberChanged{address, true, 0});
  }
  member.heard = loop_.now();
  if (leads && leader_ != address) {
    log_.event(events::LeaderChanged{leader_, address});
    leader_ = address;
    tell(member);  // its answer carries the key lease
  }
}

void ControlLink::extend_lease(Member& member, const fleet::FleetUpdate& update) {
  const auto sent = member.sent.find(update.answers);
  if (sent == member.sent.end()) {
    return;
  }
  const TimePoint asked_at = sent->second;
  member.sent.erase(member.sent.begin(), std::next(sent));
  const bool confirms = update.leads && update.quorum_age_ms >= 0;
  if (!confirms || update.configuration_version > configuration_version_) {
    return;
  }
  // The leader was confirmed no earlier than so long before the question was sent.
  const TimePoint until = asked_at - Duration(1000 * update.quorum_age_ms) + options_.key_lease;
  confirmed_until_ = std::max(confirmed_until_, until);
}

}  // namespace stoat::gateway
