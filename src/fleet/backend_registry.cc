#include "src/fleet/backend_registry.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/fleet/incarnation.h"

namespace stoat::fleet {

namespace {

/// Reports of routers that can't reach a back end count for so long.
constexpr Duration kReportWindow = 2s;
/// A back end's first heartbeat after its start has this sequence.
constexpr uint64_t kFirstSequence = 1;
/// So many routers must agree.
constexpr int kReportsToLose = 2;

}  // namespace

uint64_t backend_id_hash(const std::string& id) { return hash_bytes(id); }

bool BackendRegistry::on_heartbeat(const BackendRecord& record, TimePoint now) {
  const auto known = seen_.find(record.id);
  if (known != seen_.end() && record.sequence <= known->second.record.sequence) {
    return false;
  }
  if (!credible(record)) {
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
    if (known == seen_.end() && retired->second == BackendState::kGone) {
      return false;  // a late heartbeat of a back end that has ended
    }
    updated.state = std::max(updated.state, retired->second);
  }
  if (known != seen_.end()) {
    updated.loading = known->second.record.loading;
    // A heartbeat may have been on its way while new weights were loaded; within one start they only go up.
    for (ModelVersion& entry : updated.models) {
      entry.version = std::max(entry.version, known->second.record.version_of(entry.model));
    }
    updated.state = std::max(updated.state, known->second.record.state);
    settle_address(record.id, now);
  } else {
    replace_former(record);
    take_address(record, now);
  }
  seen_[record.id] = Seen{updated, now, {}};
  ids_[backend_id_hash(record.id)] = record.id;
  publish(updated);
  return true;
}

bool BackendRegistry::contradicts(const BackendRecord& record) const {
  const BackendRecord* known = find(record.id);
  return known != nullptr && (known->service != record.service || known->address != record.address);
}

bool BackendRegistry::credible(const BackendRecord& record) const {
  if (contradicts(record)) {
    return false;
  }
  const auto newest = newest_.find(backend_name(record.id));
  return newest == newest_.end() || started_ms(record.id) >= started_ms(newest->second);
}

void BackendRegistry::replace_former(const BackendRecord& record) {
  if (started_ms(record.id) == 0) {
    return;
  }
  std::string& newest = newest_[std::string(backend_name(record.id))];
  if (!newest.empty() && newest != record.id) {
    retired_[newest] = BackendState::kGone;
    drop(newest);
  }
  newest = record.id;
}

void BackendRegistry::forget_name(const std::string& id) {
  const auto newest = newest_.find(backend_name(id));
  if (newest != newest_.end() && newest->second == id) {
    newest_.erase(newest);
  }
}

void BackendRegistry::drop(const std::string& id) {
  const auto known = seen_.find(id);
  if (known == seen_.end()) {
    return;
  }
  const std::string& address = known->second.record.address;
  if (!address_taken(address, id)) {
    at_address_.erase(address);
  }
  table_.erase(id);
  ids_.erase(backend_id_hash(id));
  seen_.erase(known);
}

CompactHeartbeatResult BackendRegistry::on_compact_heartbeat(uint64_t key, uint64_t sequence, TimePoint now) {
  const BackendRecord* known = find_by_key(key);
  if (known == nullptr) {
    return CompactHeartbeatResult::kUnknown;
  }
  BackendRecord record = *known;
  record.sequence = sequence;
  return on_heartbeat(record, now) ? CompactHeartbeatResult::kTaken : CompactHeartbeatResult::kLate;
}

void BackendRegistry::take_address(const BackendRecord& record, TimePoint now) {
  superseded_.erase(record.id);
  if (address_taken(record.address, record.id)) {
    const std::string holder = at_address_.at(record.address);
    if (record.sequence <= kFirstSequence) {
      retired_[holder] = BackendState::kGone;  // this one has just started
    } else {
      superseded_[holder] = Superseded{seen_.at(holder).record.sequence, record.id, now};
    }
    drop(holder);
  }
  at_address_[record.address] = record.id;
}

void BackendRegistry::settle_address(const std::string& id, TimePoint now) {
  std::erase_if(superseded_, [&](const auto& entry) {
    const bool settled = entry.second.by == id && now - entry.second.at > options_.overdue_after;
    if (settled) {
      retired_[entry.first] = BackendState::kGone;
    }
    return settled;
  });
}

void BackendRegistry::retire(const std::string& id, BackendState state) {
  BackendState& retired = retired_.emplace(id, state).first->second;
  retired = std::max(retired, state);
  const auto known = seen_.find(id);
  if (known != seen_.end()) {
    known->second.record.state = std::max(known->second.record.state, state);
    publish(known->second.record);
  }
}

void BackendRegistry::set_loading(const std::string& id, bool loading) {
  const auto known = seen_.find(id);
  if (known != seen_.end() && known->second.record.loading != loading) {
    known->second.record.loading = loading;
    publish(known->second.record);
  }
}

void BackendRegistry::set_version(const std::string& id, const std::string& model, uint64_t version) {
  const auto known = seen_.find(id);
  if (known == seen_.end()) {
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
  for (auto position = seen_.begin(); position != seen_.end();) {
    Seen& seen = position->second;
    if (now - seen.at > options_.forget_after) {
      const std::string id = (position++)->first;
      forget_name(id);
      drop(id);
      continue;
    }
    if (!seen.record.lost && lost(seen, now)) {
      seen.record.lost = true;
      publish(seen.record);
    }
    ++position;
  }
}

void BackendRegistry::note_unreachable(const std::string& id, const std::string& router, TimePoint now) {
  const auto known = seen_.find(id);
  if (known != seen_.end()) {
    known->second.unreachable[router] = now;
  }
}

bool BackendRegistry::lost(const Seen& seen, TimePoint now) const {
  const Duration silence = now - seen.at;
  if (silence <= options_.overdue_after) {
    return false;
  }
  const auto routers = std::count_if(seen.unreachable.begin(), seen.unreachable.end(),
                                     [&](const auto& entry) { return now - entry.second <= kReportWindow; });
  return silence > options_.lost_after || routers >= kReportsToLose;
}

void BackendRegistry::publish(const BackendRecord& record) {
  BackendRecord published = record;
  published.sequence = 0;
  table_.set(record.id, published);
}

std::vector<BackendRecord> BackendRegistry::records() const {
  std::vector<BackendRecord> list;
  list.reserve(seen_.size());
  for (const auto& [id, seen] : seen_) {
    list.push_back(seen.record);
  }
  return list;
}

bool BackendRegistry::has_heartbeat_since(const std::string& id, TimePoint since) const {
  const auto known = seen_.find(id);
  return known != seen_.end() && known->second.at >= since;
}

const BackendRecord* BackendRegistry::find_by_name(const std::string& name) const {
  const auto newest = newest_.find(name);
  return newest == newest_.end() ? find(name) : find(newest->second);
}

const BackendRecord* BackendRegistry::find_by_key(uint64_t key) const {
  const auto id = ids_.find(key);
  return id == ids_.end() ? nullptr : find(id->second);
}

const BackendRecord* BackendRegistry::find(const std::string& id) const {
  const auto known = seen_.find(id);
  return known == seen_.end() ? nullptr : &known->second.record;
}

}  // namespace stoat::fleet
