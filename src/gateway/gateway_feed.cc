/// Part of GatewayServer: the feed of the fleet's state from the control plane, and this router's reports to
/// it.
#include <utility>

#include "src/events/fleet_events.h"
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

namespace {

/// Placements are sent in batches, this long after the first one of a batch.
constexpr Duration kPlacementBatchDelay = 50ms;
/// Cache events stay valid for this long after the last feed message; the feed member answers every 400 ms.
constexpr Duration kCacheEventValidity = 1500ms;

}  // namespace

void GatewayServer::on_feed_update(const fleet::FleetFeedUpdate& feed_update) {
  if (feed_update.starts_full_state) {
    receiving_full_state_ = true;
    loads_reported_ = false;
    unlisted_backends_ = pool_.ids();
    pool_.forget_totals();
    pool_.forget_holdings();
    context_.stores.forget_holdings();
    context_.quotas.on_member_change();
  }
  for (const fleet::QuotaLevel& level : feed_update.quotas) {
    context_.quotas.on_level(level);
  }
  context_.quotas.note_update(loop_.now());
  quotas_known_ = true;
  update_backends(feed_update);
  if (receiving_full_state_ && feed_update.complete) {
    receiving_full_state_ = false;
    has_fleet_state_ = true;
    for (const std::string& id : std::exchange(unlisted_backends_, {})) {
      remove_backend(id);
    }
  }
  apply_limits(feed_update.limits);
  apply_brittle(feed_update.brittle);
  merge_crash_records(feed_update.crashes);
  for (const fleet::BackendLoad& load : feed_update.loads) {
    pool_.set_total_load(load);
  }
  pool_.note_totals_current(loop_.now());
  cache_event_validity_.until = loop_.now() + kCacheEventValidity;
  for (const fleet::CacheChanges& changes : feed_update.caches) {
    apply_cache_changes(changes);
  }
  for (const fleet::ChainPlacement& placement : feed_update.placements) {
    record_placement(placement);
  }
}

void GatewayServer::update_backends(const fleet::FleetFeedUpdate& feed_update) {
  std::vector<events::BackendChanged> changes;
  for (const fleet::BackendRecord& record : feed_update.backends) {
    const dispatch::BackendPtr existing = pool_.find(record.id);
    const fleet::BackendRecord before = existing == nullptr ? fleet::BackendRecord{} : existing->record;
    pool_.put(record);
    context_.streams.put_backend(record);
    if (record.lost) {
      confirm_crash(*pool_.find(record.id), "lost");
    }
    events::add_backend_changes(existing == nullptr ? nullptr : &before, &record, changes);
    unlisted_backends_.erase(record.id);
  }
  for (const std::string& id : feed_update.gone) {
    if (const dispatch::BackendPtr existing = pool_.find(id)) {
      events::add_backend_changes(&existing->record, nullptr, changes);
      existing->ended_unexpectedly = existing->record.state == fleet::BackendState::kReady;
      if (existing->ended_unexpectedly) {
        confirm_crash(*existing, "gone");
      }
      remove_backend(id);
    }
  }
  events::log_backend_changes(log_, changes);
}

void GatewayServer::apply_limits(const std::vector<fleet::BackendLimit>& limits) {
  for (const fleet::BackendLimit& limit : limits) {
    const auto change = context_.limits.apply_shared_limit(limit, loop_.now());
    if (change && request_log_sampler_.reserve_lines(1, "limit changed", loop_.now())) {
      log_.event(events::BackendLimitChanged{change->backend, change->per_second, change->before, "control"});
    }
  }
}

void GatewayServer::apply_brittle(const std::vector<fleet::BrittleBackend>& announcements) {
  for (const fleet::BrittleBackend& announcement : announcements) {
    const bool changed = context_.brittle.apply_shared(announcement, loop_.now());
    if (changed && request_log_sampler_.reserve_lines(1, "brittle backend", loop_.now())) {
      log_.event(events::BackendBrittleChanged{announcement.backend, announcement.rejections_per_second > 0,
                                               announcement.rejections_per_second, "", "control"});
    }
  }
}

void GatewayServer::request_permits() {
  if (std::exchange(permit_request_pending_, true)) {
    return;
  }
  loop_.after(Duration(0), [this] {
    permit_request_pending_ = false;
    if (!control_link_.leader_grants_permits()) {
      return;
    }
    const fleet::PermitRequest permit_request = context_.limits.take_permit_request(loop_.now());
    if (!permit_request.items.empty()) {
      control_link_.send_to_leader(permit_request);
    }
  });
}

void GatewayServer::remove_backend(const std::string& id) {
  pool_.remove(id);
  context_.streams.remove_backend(id);
  context_.limits.forget(id);
  context_.brittle.forget(id);
}

void GatewayServer::report_loads() {
  std::vector<fleet::BackendLoad> loads = pool_.own_loads();
  if (loads_reported_ && loads == reported_loads_ && unreported_unreachable_.empty() &&
      !context_.quotas.has_unreported() && !context_.answers.has_changes() &&
      !context_.limits.has_unreported() && !context_.brittle.has_unreported() &&
      !context_.crashes.has_changes()) {
    return;
  }
  fleet::RouterLoads message{settings_.name, loads, {}};
  message.unreachable.assign(unreported_unreachable_.begin(), unreported_unreachable_.end());
  if (!control_link_.has_feed_member()) {
    return;
  }
  admission::NumberedSpending spending = context_.quotas.take_unreported();
  message.spending = std::move(spending.spending);
  message.spending_sequence = spending.number;
  message.start_id = start_id_;
  message.answers_are_complete = !loads_reported_;
  message.crashes = context_.crashes.take_changes(loop_.now());
  if (!loads_reported_) {
    message.crashes = context_.crashes.all(loop_.now());
  }
  message.limits = context_.limits.take_unreported(!loads_reported_);
  message.brittle = context_.brittle.take_unreported(!loads_reported_);
  message.answers = loads_reported_ ? context_.answers.take_changes() : context_.answers.take_all();
  if (control_link_.send_to_feed_member(message)) {
    loads_reported_ = true;
    unreported_unreachable_.clear();
    pool_.set_published_loads(loads);
    reported_loads_ = std::move(loads);
  }
}

void GatewayServer::announce_placement(fleet::ChainPlacement placement) {
  if (pending_placements_.placements.empty()) {
    loop_.after(kPlacementBatchDelay, [this] {
      control_link_.send_to_feed_member(pending_placements_);
      pending_placements_.placements.clear();
    });
  }
  pending_placements_.placements.push_back(std::move(placement));
}

void GatewayServer::record_placement(const fleet::ChainPlacement& placement) {
  const TimePoint now = loop_.now();
  if (dispatch::CacheStore* store = context_.stores.find(placement.holder)) {
    store->cache_estimate.note_held(placement.links, placement.weights, now);
  } else if (const dispatch::BackendPtr holder = pool_.find(placement.holder)) {
    holder->cache_estimate.note_held(placement.links, placement.weights, now);
  }
}

void GatewayServer::apply_cache_changes(const fleet::CacheChanges& changes) {
  if (!changes.store) {
    if (const dispatch::BackendPtr backend = pool_.find(changes.holder)) {
      apply_part_changes(changes, backend->cache_estimate);
    }
    return;
  }
  const bool existing = context_.stores.find(changes.holder) != nullptr;
  const std::string before = existing == changes.is_subscribed ? "" : context_.stores.to_text();
  if (changes.is_subscribed) {
    apply_part_changes(changes, context_.stores.add(changes.holder).cache_estimate);
  } else {
    context_.stores.remove(changes.holder);
  }
  if (existing != changes.is_subscribed) {
    log_.event(events::KvCacheStoreChanged{before, context_.stores.to_text()});
  }
}

void GatewayServer::apply_part_changes(const fleet::CacheChanges& changes,
                                       placement::KvCacheEstimate& cache_estimate) const {
  cache_estimate.follow(changes.is_subscribed ? &cache_event_validity_ : nullptr);
  if (changes.is_full_state) {
    cache_estimate.forget_holdings();
  }
  for (const fleet::CachedPart& holding : changes.holdings) {
    if (holding.tokens == 0) {
      cache_estimate.drop_holding(holding.part);
    } else {
      cache_estimate.set_holding(holding.part, holding.weights, holding.tokens);
    }
  }
}

}  // namespace stoat::gateway
