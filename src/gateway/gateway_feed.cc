/// GatewayServer: the feed of the fleet's state from control, and what this router tells there.
#include <utility>

#include "src/events/fleet_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// Placements are told together, this long after the first of them.
constexpr Duration kNewsDelay = 50ms;
/// Events of caches count for so long after the member of the feed was heard, which answers every 400 ms.
constexpr Duration kEventsTrust = 1500ms;

}  // namespace

void GatewayServer::on_news(const fleet::FleetFeedUpdate& news) {
  if (news.anew) {
    feed_begun_ = true;
    loads_told_ = false;
    untold_backends_ = pool_.ids();
    pool_.forget_totals();
    pool_.forget_holdings();
    context_.stores.forget_holdings();
    context_.quotas.on_member_change();
  }
  for (const fleet::QuotaLevel& level : news.quotas) {
    context_.quotas.on_level(level);
  }
  context_.quotas.on_news(loop_.now());
  quotas_known_ = true;
  take_backends(news);
  if (feed_begun_ && news.complete) {
    feed_begun_ = false;
    for (const std::string& id : std::exchange(untold_backends_, {})) {
      remove_backend(id);
    }
  }
  take_limits(news.limits);
  take_crashes(news.crashes);
  for (const fleet::BackendLoad& load : news.loads) {
    pool_.set_total_load(load);
  }
  pool_.note_totals_current(loop_.now());
  events_trust_.until = loop_.now() + kEventsTrust;
  for (const fleet::CacheChanges& changes : news.caches) {
    take_cache(changes);
  }
  for (const fleet::ChainPlacement& placement : news.placements) {
    take_placement(placement);
  }
}

void GatewayServer::take_backends(const fleet::FleetFeedUpdate& news) {
  std::vector<events::BackendChanged> changes;
  for (const fleet::BackendRecord& record : news.backends) {
    const dispatch::BackendPtr known = pool_.find(record.id);
    const fleet::BackendRecord before = known == nullptr ? fleet::BackendRecord{} : known->record;
    pool_.put(record);
    if (record.lost) {
      note_crash(*pool_.find(record.id), "lost");
    }
    events::add_backend_changes(known == nullptr ? nullptr : &before, &record, changes);
    untold_backends_.erase(record.id);
  }
  for (const std::string& id : news.gone) {
    if (const dispatch::BackendPtr known = pool_.find(id)) {
      events::add_backend_changes(&known->record, nullptr, changes);
      known->ended_unexpectedly = known->record.state == fleet::BackendState::kReady;
      if (known->ended_unexpectedly) {
        note_crash(*known, "gone");
      }
      remove_backend(id);
    }
  }
  events::log_backend_changes(log_, changes);
}

void GatewayServer::take_limits(const std::vector<fleet::BackendLimit>& limits) {
  for (const fleet::BackendLimit& limit : limits) {
    const auto change = context_.limits.apply_shared_limit(limit, loop_.now());
    if (change && stories_.take_lines(1, "limit changed", loop_.now())) {
      log_.event(events::BackendLimitChanged{change->backend, change->per_second, change->before, "control"});
    }
  }
}

void GatewayServer::request_permits() {
  if (std::exchange(permits_to_ask_, true)) {
    return;
  }
  loop_.after(Duration(0), [this] {
    permits_to_ask_ = false;
    if (!link_.has_leader()) {
      return;
    }
    const fleet::PermitRequest question = context_.limits.take_permit_request(loop_.now());
    if (!question.wishes.empty()) {
      link_.send_to_leader(question);
    }
  });
}

void GatewayServer::remove_backend(const std::string& id) {
  pool_.remove(id);
  context_.limits.forget(id);
}

void GatewayServer::tell_loads() {
  std::vector<fleet::BackendLoad> loads = pool_.own_loads();
  if (loads_told_ && loads == told_loads_ && untold_unreachable_.empty() &&
      !context_.quotas.has_unreported() && !context_.answers.has_changes() &&
      !context_.limits.has_unreported() && !context_.crashes.has_changes()) {
    return;
  }
  fleet::RouterLoads message{settings_.name, loads, {}};
  message.unreachable.assign(untold_unreachable_.begin(), untold_unreachable_.end());
  if (!link_.has_feed()) {
    return;
  }
  admission::NumberedSpending spending = context_.quotas.take_unreported();
  message.spending = std::move(spending.spending);
  message.spending_sequence = spending.number;
  message.start_id = start_id_;
  message.answers_are_complete = !loads_told_;
  message.crashes = context_.crashes.take_changes(loop_.now());
  if (!loads_told_) {
    message.crashes = context_.crashes.all(loop_.now());
  }
  message.limits = context_.limits.take_unreported(!loads_told_);
  message.answers = loads_told_ ? context_.answers.take_changes() : context_.answers.take_all();
  if (link_.send_to_feed(message)) {
    loads_told_ = true;
    untold_unreachable_.clear();
    pool_.set_published_loads(loads);
    told_loads_ = std::move(loads);
  }
}

void GatewayServer::announce_placement(fleet::ChainPlacement placement) {
  if (untold_placements_.placements.empty()) {
    loop_.after(kNewsDelay, [this] {
      link_.send_to_feed(untold_placements_);
      untold_placements_.placements.clear();
    });
  }
  untold_placements_.placements.push_back(std::move(placement));
}

void GatewayServer::take_placement(const fleet::ChainPlacement& placement) {
  const TimePoint now = loop_.now();
  if (dispatch::CacheStore* store = context_.stores.find(placement.holder)) {
    store->memory.note_held(placement.links, placement.weights, now);
  } else if (const dispatch::BackendPtr holder = pool_.find(placement.holder)) {
    holder->memory.note_held(placement.links, placement.weights, now);
  }
}

void GatewayServer::take_cache(const fleet::CacheChanges& changes) {
  if (!changes.store) {
    if (const dispatch::BackendPtr backend = pool_.find(changes.holder)) {
      apply_changes(changes, backend->memory);
    }
    return;
  }
  const bool known = context_.stores.find(changes.holder) != nullptr;
  const std::string before = known == changes.followed ? "" : context_.stores.to_text();
  if (changes.followed) {
    apply_changes(changes, context_.stores.add(changes.holder).memory);
  } else {
    context_.stores.remove(changes.holder);
  }
  if (known != changes.followed) {
    log_.event(events::KvCacheStoreChanged{before, context_.stores.to_text()});
  }
}

void GatewayServer::apply_changes(const fleet::CacheChanges& changes,
                                  placement::KvCacheEstimate& memory) const {
  memory.follow(changes.followed ? &events_trust_ : nullptr);
  if (changes.anew) {
    memory.forget_holdings();
  }
  for (const fleet::CachedPart& holding : changes.holdings) {
    if (holding.tokens == 0) {
      memory.drop_holding(holding.part);
    } else {
      memory.set_holding(holding.part, holding.weights, holding.tokens);
    }
  }
}

}  // namespace stoat::gateway
