#include "src/fleet/backend_registry.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/fleet/incarnation.h"

namespace stoat::fleet {

namespace {

/// How long a report of a router that cannot reach a backend counts.
constexpr Duration kUnreachableReportWindow = 2s;
/// Sequence of the first heartbeat after a start.
constexpr uint64_t kFirstSequence = 1;
/// Number of routers that must fail to reach a backend before it counts as lost early.
constexpr int kMinUnreachableReports = 2;

}  // namespace

uint64_t backend_id_hash(const std::string& id) { return hash_bytes(id); }

bool BackendRegistry::on_heartbeat(const BackendRecord& record, TimePoint now) {
  const auto known = tracked_.find(record.id);
  if (known != tracked_.end() && record.sequence <= known->second.record.sequence) {
    return false;
  }
  if (!is_acceptable(record)) {
    return false;
  }
  const auto superseded = superseded_.find(record.id);
  if (superseded != superseded_.end() && record.sequence <= superseded->second.sequence) {
    return false;
  }
  BackendRecord updated = record;
  updated.lost = false;
  const auto retired = retired_.find(record.id);
  if (retired != retired_.end()) {
    if (known == tracked_.end() && retired->second == BackendState::kGone) {
      return false;  // a delayed heartbeat of a backend that has ended
    }
    updated.state = std::max(updated.state, retired->second);
  }
  if (known != tracked_.end()) {
    updated.loading = known->second.record.loading;
    // The heartbeat may have been sent before new weights were loaded; within one incarnation versions only
    // increase.
    for (ModelVersion& entry : updated.models) {
      entry.version = std::max(entry.version, known->second.record.version_of(entry.model));
    }
    updated.state = std::max(updated.state, known->second.record.state);
    confirm_address(record.id, now);
  } else {
    replace_previous_incarnation(record);
    claim_address(record, now);
  }
  tracked_[record.id] = TrackedBackend{updated, now, {}};
  id_by_key_[backend_id_hash(record.id)] = record.id;
  publish(updated);
  return true;
}

bool BackendRegistry::contradicts(const BackendRecord& record) const {
  const BackendRecord* known = find(record.id);
  return known != nullptr && (known->service != record.service || known->address != record.address);
}

bool BackendRegistry::is_acceptable(const BackendRecord& record) const {
  if (contradicts(record)) {
    return false;
  }
  const auto newest = newest_incarnation_.find(backend_name(record.id));
  return newest == newest_incarnation_.end() || started_ms(record.id) >= started_ms(newest->second);
}

void BackendRegistry::replace_previous_incarnation(const BackendRecord& record) {
  if (started_ms(record.id) == 0) {
    return;
  }
  std::string& newest = newest_incarnation_[std::string(backend_name(record.id))];
  if (!newest.empty() && newest != record.id) {
    retired_[newest] = BackendState::kGone;
    drop(newest);
  }
  newest = record.id;
}

void BackendRegistry::forget_incarnation(const std::string& id) {
  const auto newest = newest_incarnation_.find(backend_name(id));
  if (newest != newest_incarnation_.end() && newest->second == id) {
    newest_incarnation_.erase(newest);
  }
}

void BackendRegistry::drop(const std::string& id) {
  const auto known = tracked_.find(id);
  if (known == tracked_.end()) {
    return;
  }
  const std::string& address = known->second.record.address;
  if (!address_taken(address, id)) {
    id_by_address_.erase(address);
  }
  table_.erase(id);
  id_by_key_.erase(backend_id_hash(id));
  tracked_.erase(known);
}

CompactHeartbeatResult BackendRegistry::on_compact_heartbeat(uint64_t key, uint64_t sequence, TimePoint now) {
  const BackendRecord* known = find_by_key(key);
  if (known == nullptr) {
    return CompactHeartbeatResult::kUnknown;
  }
  BackendRecord record = *known;
  record.sequence = sequence;
  return on_heartbeat(record, now) ? CompactHeartbeatResult::kApplied : CompactHeartbeatResult::kStale;
}

void BackendRegistry::claim_address(const BackendRecord& record, TimePoint now) {
  superseded_.erase(record.id);
  if (address_taken(record.address, record.id)) {
    const std::string holder = id_by_address_.at(record.address);
    if (record.sequence <= kFirstSequence) {
      retired_[holder] =
          BackendState::kGone;  // the new backend has just started, so the previous one has ended
    } else {
      superseded_[holder] = Superseded{tracked_.at(holder).record.sequence, record.id, now};
    }
    drop(holder);
  }
  id_by_address_[record.address] = record.id;
}

void BackendRegistry::confirm_address(const std::string& id, TimePoint now) {
  std::erase_if(superseded_, [&](const auto& entry) {
    const bool confirmed = entry.second.by == id && now - entry.second.at > options_.overdue_after;
    if (confirmed) {
      retired_[entry.first] = BackendState::kGone;
    }
    return confirmed;
  });
}

void BackendRegistry::retire(const std::string& id, BackendState state) {
  BackendState& retired = retired_.emplace(id, state).first->second;
  retired = std::max(retired, state);
  const auto known = tracked_.find(id);
  if (known != tracked_.end()) {
    known->second.record.state = std::max(known->second.record.state, state);
    publish(known->second.record);
  }
}

void BackendRegistry::set_loading(const std::string& id, bool loading) {
  const auto known = tracked_.find(id);
  if (known != tracked_.end() && known->second.record.loading != loading) {
    known->second.record.loading = loading;
    publish(known->second.record);
  }
}

void BackendRegistry::set_version(const std::string& id, const std::string& model, uint64_t version) {
  const auto known = tracked_.find(id);
  if (known == tracked_.end()) {
    return;
  }
  for (ModelVersion& entry : known->second.record.models) {
    if (entry.model == model) {
      entry.version = std::max(entry.version, version);
    }
  }
  publish(known->second.record);
}

void BackendRegistry::expire(TimePoint now) {
  std::erase_if(superseded_,
                [&](const auto& entry) { return now - entry.second.at > options_.forget_after; });
  for (auto position = tracked_.begin(); position != tracked_.end();) {
    TrackedBackend& tracked = position->second;
    if (now - tracked.at > options_.forget_after) {
      const std::string id = (position++)->first;
      forget_incarnation(id);
      drop(id);
      continue;
    }
    if (!tracked.record.lost && is_lost(tracked, now)) {
      tracked.record.lost = true;
      publish(tracked.record);
    }
    ++position;
  }
}

void BackendRegistry::note_unreachable(const std::string& id, const std::string& router, TimePoint now) {
  const auto known = tracked_.find(id);
  if (known != tracked_.end()) {
    known->second.unreachable[router] = now;
  }
}

bool BackendRegistry::is_lost(const TrackedBackend& tracked, TimePoint now) const {
  const Duration silence = now - tracked.at;
  if (silence <= options_.overdue_after) {
    return false;
  }
  const auto routers =
      std::count_if(tracked.unreachable.begin(), tracked.unreachable.end(),
                    [&](const auto& entry) { return now - entry.second <= kUnreachableReportWindow; });
  return silence > options_.lost_after || routers >= kMinUnreachableReports;
}

void BackendRegistry::publish(const BackendRecord& record) {
  BackendRecord published = record;
  published.sequence = 0;
  table_.set(record.id, published);
}

std::vector<BackendRecord> BackendRegistry::records() const {
  std::vector<BackendRecord> list;
  list.reserve(tracked_.size());
  for (const auto& [id, tracked] : tracked_) {
    list.push_back(tracked.record);
  }
  return list;
}

bool BackendRegistry::has_heartbeat_since(const std::string& id, TimePoint since) const {
  const auto known = tracked_.find(id);
  return known != tracked_.end() && known->second.at >= since;
}

const BackendRecord* BackendRegistry::find_by_name(const std::string& name) const {
  const auto newest = newest_incarnation_.find(name);
  return newest == newest_incarnation_.end() ? find(name) : find(newest->second);
}

std::string BackendRegistry::newest_incarnation(const std::string& name) const {
  const auto newest = newest_incarnation_.find(name);
  if (newest != newest_incarnation_.end()) {
    return newest->second;
  }
  return find(name) == nullptr ? "" : name;
}

const BackendRecord* BackendRegistry::find_by_key(uint64_t key) const {
  const auto id = id_by_key_.find(key);
  return id == id_by_key_.end() ? nullptr : find(id->second);
}

const BackendRecord* BackendRegistry::find(const std::string& id) const {
  const auto known = tracked_.find(id);
  return known == tracked_.end() ? nullptr : &known->second.record;
}

}  // namespace stoat::fleet
