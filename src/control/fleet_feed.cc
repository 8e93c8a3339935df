/// FleetSoftState: the feed to routers, as differences since each router's cursor.
#include <algorithm>
#include <utility>

#include "src/control/fleet_soft_state.h"

namespace stoat::control {

namespace {

/// Limits on the entries in one message to a router: about 16 KB with names of typical length.
constexpr size_t kBackendsPerMessage = 100;
constexpr size_t kLoadsPerMessage = 600;
constexpr size_t kHoldingsPerMessage = 600;
constexpr size_t kPlacementsPerMessage = 200;
constexpr size_t kAnnouncementsPerMessage = 600;
constexpr size_t kCrashRecordsPerMessage = 60;

}  // namespace

bool FleetSoftState::can_resume(const FeedCursor& cursor) const {
  return cursor.is_started && registry_.table().can_update_from(cursor.registry) &&
         loads_.totals().can_update_from(cursor.loads) &&
         caches_.statuses().can_update_from(cursor.statuses) &&
         caches_.shared_holdings().can_update_from(cursor.holdings) &&
         limits_.values().can_update_from(cursor.limits) &&
         brittle_.values().can_update_from(cursor.brittle) &&
         crashes_.suspects().can_update_from(cursor.crashes);
}

bool FleetSoftState::add_backends(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  cursor.registry = registry_.table().visit_since(
      cursor.registry, kBackendsPerMessage, [&](const std::string& id, const fleet::BackendRecord* record) {
        if (record == nullptr) {
          message.gone.push_back(id);
        } else {
          message.backends.push_back(*record);
        }
      });
  return cursor.registry == registry_.table().revision();
}

void FleetSoftState::add_loads(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  cursor.loads = loads_.totals().visit_since(
      cursor.loads, kLoadsPerMessage, [&](const std::string& backend, const fleet::BackendLoad* load) {
        message.loads.push_back(load == nullptr ? fleet::BackendLoad{backend, 0, 0} : *load);
      });
}

void FleetSoftState::add_caches(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  std::map<std::string, fleet::CacheChanges> changed;  // by holder
  const auto entry_of = [&](const std::string& holder) -> fleet::CacheChanges& {
    fleet::CacheChanges& changes = changed[holder];
    if (const CacheStatus* status = caches_.statuses().find(holder)) {
      changes.store = status->store;
      changes.is_subscribed = status->followed;
    }
    return changes;
  };
  cursor.statuses = caches_.statuses().visit_since(cursor.statuses, kHoldingsPerMessage,
                                                   [&](const std::string& holder, const CacheStatus* status) {
                                                     entry_of(holder).is_full_state = status == nullptr;
                                                   });
  cursor.holdings = caches_.shared_holdings().visit_since(
      cursor.holdings, kHoldingsPerMessage, [&](const HeldPartKey& held, const fleet::CachedPart* holding) {
        fleet::CachedPart removed{held.part, 0, 0};
        entry_of(held.holder).holdings.push_back(holding == nullptr ? removed : *holding);
      });
  for (auto& [holder, changes] : changed) {
    changes.holder = holder;
    message.caches.push_back(std::move(changes));
  }
}

void FleetSoftState::add_placements(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  const uint64_t end = dropped_placements_ + placements_.size();
  uint64_t position = std::max(cursor.placements, dropped_placements_);
  while (position < end && message.placements.size() < kPlacementsPerMessage) {
    message.placements.push_back(placements_[position - dropped_placements_]);
    ++position;
  }
  cursor.placements = position;
}

void FleetSoftState::add_quotas(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  cursor.quotas = quotas_.levels().visit_since(
      cursor.quotas, SIZE_MAX, [&](const std::string& tenant, const fleet::QuotaLevel* level) {
        message.quotas.push_back(level == nullptr ? fleet::QuotaLevel{tenant, 0, false} : *level);
      });
}

void FleetSoftState::add_announcements(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const {
  cursor.limits = limits_.add_changes_since(cursor.limits, kAnnouncementsPerMessage, message.limits);
  cursor.brittle = brittle_.add_changes_since(cursor.brittle, kAnnouncementsPerMessage, message.brittle);
}

bool FleetSoftState::add_crashes(FeedCursor& cursor, fleet::FleetFeedUpdate& message, TimePoint now) const {
  cursor.crashes = crashes_.suspects().visit_since(
      cursor.crashes, kCrashRecordsPerMessage,
      [&](uint64_t request, const std::vector<fleet::CrashReport>* known) {
        if (known != nullptr) {  // routers discard expired records on their own
          message.crashes.push_back(crashes_.record(request, now));
        }
      });
  return cursor.crashes == crashes_.suspects().revision();
}

fleet::FleetFeedUpdate FleetSoftState::next_feed_message(FeedCursor& cursor, TimePoint now) const {
  fleet::FleetFeedUpdate message;
  if (!can_resume(cursor)) {
    cursor = FeedCursor{};
    cursor.is_started = true;
    cursor.placements = dropped_placements_ + placements_.size();  // the contents of caches are sent in full
    message.starts_full_state = true;
  }
  add_quotas(cursor,
             message);  // first: without them, a router at the start of a feed does not meter any tenant
  add_announcements(cursor, message);
  // A starting router sends no requests before it knows which ones are quarantined. Loads and caches of a
  // backend are sent after the backend itself.
  if (add_crashes(cursor, message, now) && add_backends(cursor, message)) {
    add_loads(cursor, message);
    add_caches(cursor, message);
    add_placements(cursor, message);
  }
  message.complete = warmed_up_ && cursor.registry == registry_.table().revision() &&
                     cursor.holdings == caches_.shared_holdings().revision();
  return message;
}

}  // namespace stoat::control
