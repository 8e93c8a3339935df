/// FleetKnowledge: what routers are told of it, as differences since their cursor.
#include <algorithm>
#include <utility>

#include "src/control/fleet_soft_state.h"

namespace stoat::control {

namespace {

/// Bounds on one message to a router: some 16 KB at the usual lengths of names.
constexpr size_t kBackendsPerMessage = 100;
constexpr size_t kLoadsPerMessage = 600;
constexpr size_t kHoldingsPerMessage = 600;
constexpr size_t kPlacementsPerMessage = 200;
constexpr size_t kLimitsPerMessage = 600;
constexpr size_t kCrashRecordsPerMessage = 60;

}  // namespace

bool FleetKnowledge::reaches(const FeedCursor& cursor) const {
  return cursor.begun && registry_.table().reaches(cursor.registry) &&
         loads_.totals().reaches(cursor.loads) && caches_.heads().reaches(cursor.heads) &&
         caches_.shared_holdings().reaches(cursor.holdings) && limits_.limits().reaches(cursor.limits) &&
         crashes_.told().reaches(cursor.crashes);
}

bool FleetKnowledge::add_backends(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  cursor.registry = registry_.table().visit_since(
      cursor.registry, kBackendsPerMessage, [&](const std::string& id, const fleet::BackendRecord* record) {
        if (record == nullptr) {
          news.gone.push_back(id);
        } else {
          news.backends.push_back(*record);
        }
      });
  return cursor.registry == registry_.table().revision();
}

void FleetKnowledge::add_loads(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  cursor.loads = loads_.totals().visit_since(
      cursor.loads, kLoadsPerMessage, [&](const std::string& backend, const fleet::BackendLoad* load) {
        news.loads.push_back(load == nullptr ? fleet::BackendLoad{backend, 0, 0} : *load);
      });
}

void FleetKnowledge::add_caches(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  std::map<std::string, fleet::CacheChanges> changed;  // by holder
  const auto entry_of = [&](const std::string& holder) -> fleet::CacheChanges& {
    fleet::CacheChanges& changes = changed[holder];
    if (const CacheStatus* head = caches_.heads().find(holder)) {
      changes.store = head->store;
      changes.followed = head->followed;
    }
    return changes;
  };
  cursor.heads = caches_.heads().visit_since(
      cursor.heads, kHoldingsPerMessage,
      [&](const std::string& holder, const CacheStatus* head) { entry_of(holder).anew = head == nullptr; });
  cursor.holdings = caches_.shared_holdings().visit_since(
      cursor.holdings, kHoldingsPerMessage, [&](const HeldPartKey& held, const fleet::CachedPart* holding) {
        fleet::CachedPart told{held.part, 0, 0};
        entry_of(held.holder).holdings.push_back(holding == nullptr ? told : *holding);
      });
  for (auto& [holder, changes] : changed) {
    changes.holder = holder;
    news.caches.push_back(std::move(changes));
  }
}

void FleetKnowledge::add_placements(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  const uint64_t end = placements_dropped_ + placements_.size();
  uint64_t position = std::max(cursor.placements, placements_dropped_);
  while (position < end && news.placements.size() < kPlacementsPerMessage) {
    news.placements.push_back(placements_[position - placements_dropped_]);
    ++position;
  }
  cursor.placements = position;
}

void FleetKnowledge::add_quotas(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  cursor.quotas = quotas_.told().visit_since(
      cursor.quotas, SIZE_MAX, [&](const std::string& tenant, const fleet::QuotaLevel* level) {
        news.quotas.push_back(level == nullptr ? fleet::QuotaLevel{tenant, 0, false} : *level);
      });
}

void FleetKnowledge::add_limits(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const {
  cursor.limits = limits_.limits().visit_since(
      cursor.limits, kLimitsPerMessage, [&](const std::string& backend, const double* per_second) {
        news.limits.push_back({backend, per_second == nullptr ? 0 : *per_second});
      });
}

bool FleetKnowledge::add_crashes(FeedCursor& cursor, fleet::FleetFeedUpdate& news, TimePoint now) const {
  cursor.crashes = crashes_.told().visit_since(
      cursor.crashes, kCrashRecordsPerMessage,
      [&](uint64_t request, const std::vector<fleet::CrashReport>* known) {
        if (known != nullptr) {  // what is forgotten here is forgotten at the routers likewise
          news.crashes.push_back(crashes_.record(request, now));
        }
      });
  return cursor.crashes == crashes_.told().revision();
}

fleet::FleetFeedUpdate FleetKnowledge::next_news(FeedCursor& cursor, TimePoint now) const {
  fleet::FleetFeedUpdate news;
  if (!reaches(cursor)) {
    cursor = FeedCursor{};
    cursor.begun = true;
    cursor.placements = placements_dropped_ + placements_.size();  // what caches hold is told anyway
    news.anew = true;
  }
  add_quotas(cursor, news);  // first of all: without them a router that begins a feed meters nobody
  add_limits(cursor, news);
  // A router that starts sends nothing before it knows what is held back. Loads and caches of a back end come
  // after the back end itself.
  if (add_crashes(cursor, news, now) && add_backends(cursor, news)) {
    add_loads(cursor, news);
    add_caches(cursor, news);
    add_placements(cursor, news);
  }
  news.complete = settled_ && cursor.registry == registry_.table().revision() &&
                  cursor.holdings == caches_.shared_holdings().revision();
  return news;
}

}  // namespace stoat::control
