#include "src/admission/crash_history.h"

#include <algorithm>
#include <utility>

#include "src/common/hash.h"

namespace stoat::admission {

namespace {

/// Maximum number of requests tracked at the same time. One backend crash adds as many requests as the
/// backend has slots.
constexpr size_t kMaxFeatures = 8192;
/// Maximum number of entries examined to make room for a new one.
constexpr size_t kMaxExaminedEntries = 16;
/// Maximum number of crashes stored per request; more would add no information.
constexpr size_t kMaxCrashesPerFeature = 8;
/// Upper bound on the duration of a quarantine.
constexpr Duration kMaxQuarantine = 600s;
/// Time after its last crash at which a request is dropped. While the request is tracked, one more crash
/// quarantines it again.
constexpr Duration kRetention = 2 * kMaxQuarantine;
/// Used instead of kRetention for requests without a confirmed crash.
constexpr Duration kUnconfirmedRetention = 2 * kUnconfirmedCrashTimeout;
/// Quarantine of a part of prompts at the first number of crashes for which there is one. It doubles with
/// each further crash.
constexpr Duration kFirstPartQuarantine = 3s;
/// Number of crashes from which a part of prompts is quarantined for as long as a request.
constexpr uint32_t kPartQuarantineCrashes = 5;

bool is_part(uint64_t feature) { return (feature & fleet::kPartFeature) != 0; }

}  // namespace

std::string trial_key(uint64_t feature) { return "request/" + to_hex(feature); }

const char* to_text(RequestStanding standing) {
  switch (standing) {
    case RequestStanding::kClear:
      return "clear";
    case RequestStanding::kSuspect:
      return "suspect";
    case RequestStanding::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

CrashHistory::Evidence CrashHistory::evidence_of(const fleet::CrashReport& notice) {
  if (notice.unconfirmed) {
    return notice.dismissed ? Evidence::kSurvived : Evidence::kUnconfirmed;
  }
  return notice.dismissed ? Evidence::kCleared : Evidence::kCrashed;
}

bool CrashHistory::merge_crash(Entry& entry, const std::string& backend, const Crash& crash) {
  const auto known = entry.crashes.find(backend);
  if (known != entry.crashes.end()) {
    const bool changed = crash.evidence > known->second.evidence;
    known->second.evidence = std::max(known->second.evidence, crash.evidence);
    return changed;
  }
  if (entry.crashes.size() >= kMaxCrashesPerFeature) {
    const auto rank = [](const Crash& candidate) {
      return std::make_pair(candidate.evidence == Evidence::kCrashed, candidate.observed_at);
    };
    const auto lowest = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); });
    if (rank(crash) <= rank(lowest->second)) {
      return false;
    }
    entry.crashes.erase(lowest);
  }
  entry.crashes.emplace(backend, crash);
  entry.last_crash_at = std::max(entry.last_crash_at, crash.observed_at);
  return true;
}

CrashHistory::CrashCount CrashHistory::count_crashes(const Entry& entry, TimePoint now) {
  CrashCount counts;
  for (const auto& [backend, crash] : entry.crashes) {
    if (crash.evidence == Evidence::kCrashed) {
      ++counts.confirmed;
      counts.last_confirmed = std::max(counts.last_confirmed, crash.observed_at);
    } else if (crash.evidence == Evidence::kUnconfirmed &&
               now - crash.observed_at < kUnconfirmedCrashTimeout) {
      ++counts.unconfirmed;
      counts.last_unconfirmed = std::max(counts.last_unconfirmed, crash.observed_at);
    }
  }
  return counts;
}

CrashHistory::CrashCount CrashHistory::count_part_crashes(const Entry& entry) {
  std::vector<TimePoint> confirmed;
  for (const auto& [backend, crash] : entry.crashes) {
    if (crash.evidence == Evidence::kCrashed) {
      confirmed.push_back(crash.observed_at);
    }
  }
  std::sort(confirmed.begin(), confirmed.end());
  CrashCount counts;
  for (const TimePoint at : confirmed) {
    if (counts.confirmed == 0 || at - counts.last_confirmed > kSimultaneousCrashWindow) {
      ++counts.confirmed;
      counts.last_confirmed = at;
    }
  }
  return counts;
}

CrashHistory::CrashCount CrashHistory::count_crashes(uint64_t feature, const Entry& entry, TimePoint now) {
  return is_part(feature) ? count_part_crashes(entry) : count_crashes(entry, now);
}

Duration CrashHistory::quarantine(uint64_t feature, uint32_t crashes) const {
  if (is_part(feature) && crashes < kPartQuarantineCrashes) {
    return kFirstPartQuarantine * (1 << (crashes - options_.crashes));
  }
  const uint32_t from = is_part(feature) ? kPartQuarantineCrashes : options_.crashes;
  return std::min(kMaxQuarantine, options_.first * (1 << (crashes - from)));
}

bool CrashHistory::make_room(TimePoint now) {
  for (size_t examined = 0; examined < kMaxExaminedEntries && !insertion_order_.empty(); ++examined) {
    const uint64_t oldest = insertion_order_.front();
    insertion_order_.pop_front();
    const auto entry = entries_.find(oldest);
    if (entry == entries_.end()) {
      continue;
    }
    if (count_crashes(oldest, entry->second, now).total() < kSuspectCrashes) {
      entries_.erase(entry);
      changed_.erase(oldest);
      return true;
    }
    insertion_order_.push_back(oldest);
  }
  return false;
}

CrashHistory::Entry* CrashHistory::find_or_create_entry(uint64_t feature, TimePoint now) {
  const auto known = entries_.find(feature);
  if (known != entries_.end()) {
    return &known->second;
  }
  if (entries_.size() >= kMaxFeatures && !make_room(now)) {
    return nullptr;
  }
  insertion_order_.push_back(feature);
  return &entries_[feature];
}

bool CrashHistory::note_evidence(uint64_t feature, const std::string& backend, const Crash& crash) {
  Entry* entry = find_or_create_entry(feature, crash.observed_at);
  if (entry == nullptr || !merge_crash(*entry, backend, crash)) {
    return false;
  }
  changed_.insert(feature);
  return true;
}

bool CrashHistory::note_broken_exchange(uint64_t feature, const std::string& backend, TimePoint now) {
  return note_evidence(feature, backend, {now, Evidence::kUnconfirmed});
}

bool CrashHistory::note_survival(uint64_t feature, const std::string& backend, TimePoint now) {
  return entries_.count(feature) > 0 && note_evidence(feature, backend, {now, Evidence::kSurvived});
}

bool CrashHistory::note_crash(uint64_t feature, const std::string& backend, TimePoint now) {
  return note_evidence(feature, backend, {now, Evidence::kCrashed});
}

bool CrashHistory::clear_crashes(uint64_t feature, TimePoint now) {
  const auto known = entries_.find(feature);
  if (known == entries_.end() || count_crashes(known->second, now).total() == 0) {
    return false;
  }
  for (auto& [backend, crash] : known->second.crashes) {
    crash.evidence = Evidence::kCleared;
  }
  changed_.insert(feature);
  return true;
}

bool CrashHistory::merge(const fleet::CrashRecord& record, TimePoint now) {
  Entry* entry = record.crashes.empty() ? nullptr : find_or_create_entry(record.request, now);
  if (entry == nullptr) {
    return false;
  }
  bool any_changed = false;
  for (const fleet::CrashReport& reported : record.crashes) {
    const TimePoint observed_at = now - Duration(1000 * std::max<int64_t>(0, reported.age_ms));
    any_changed = merge_crash(*entry, reported.backend, {observed_at, evidence_of(reported)}) || any_changed;
  }
  return any_changed;
}

uint32_t CrashHistory::crashes(uint64_t feature, TimePoint now) const {
  const auto known = entries_.find(feature);
  return known == entries_.end() ? 0 : count_crashes(feature, known->second, now).total();
}

StandingReason CrashHistory::standing(uint64_t feature, TimePoint now) const {
  const auto known = entries_.find(feature);
  if (known == entries_.end()) {
    return {};
  }
  StandingReason reason;
  const CrashCount counts = count_crashes(feature, known->second, now);
  reason.crashes = counts.total();
  if (counts.confirmed >= options_.crashes) {
    reason.left = std::max(Duration(0), counts.last_confirmed + quarantine(feature, counts.confirmed) - now);
  }
  if (counts.total() >= options_.crashes && counts.unconfirmed > 0) {
    reason.left = std::max(reason.left, counts.last_unconfirmed + kUnconfirmedCrashTimeout - now);
  }
  if (reason.left > Duration(0)) {
    reason.standing = RequestStanding::kQuarantined;
  } else if (reason.crashes >= kSuspectCrashes) {
    reason.standing = RequestStanding::kSuspect;
  }
  return reason;
}

fleet::CrashRecord CrashHistory::record(uint64_t feature, TimePoint now) const {
  fleet::CrashRecord record{feature, {}};
  const auto known = entries_.find(feature);
  if (known != entries_.end()) {
    for (const auto& [backend, crash] : known->second.crashes) {
      const bool counts_against =
          crash.evidence == Evidence::kUnconfirmed || crash.evidence == Evidence::kCrashed;
      const bool confirmed = crash.evidence >= Evidence::kCrashed;
      record.crashes.push_back(
          {backend, to_milliseconds(now - crash.observed_at), !counts_against, !confirmed});
    }
  }
  return record;
}

std::vector<fleet::CrashRecord> CrashHistory::take_changes(TimePoint now) {
  std::vector<fleet::CrashRecord> list;
  for (const uint64_t feature : std::exchange(changed_, {})) {
    list.push_back(record(feature, now));
  }
  return list;
}

std::vector<fleet::CrashRecord> CrashHistory::all(TimePoint now) const {
  std::vector<fleet::CrashRecord> list;
  list.reserve(entries_.size());
  for (const auto& [feature, entry] : entries_) {
    list.push_back(record(feature, now));
  }
  return list;
}

std::vector<uint64_t> CrashHistory::features() const {
  std::vector<uint64_t> list;
  list.reserve(entries_.size());
  for (const auto& [feature, entry] : entries_) {
    list.push_back(feature);
  }
  return list;
}

std::vector<uint64_t> CrashHistory::expire(TimePoint now) {
  std::vector<uint64_t> forgotten;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto is_confirmed = [](const auto& crash) { return crash.second.evidence >= Evidence::kCrashed; };
    const auto& crashes = entry->second.crashes;
    const bool has_confirmed = std::any_of(crashes.begin(), crashes.end(), is_confirmed);
    if (now - entry->second.last_crash_at <= (has_confirmed ? kRetention : kUnconfirmedRetention)) {
      ++entry;
      continue;
    }
    forgotten.push_back(entry->first);
    changed_.erase(entry->first);
    entry = entries_.erase(entry);
  }
  if (!forgotten.empty()) {
    std::erase_if(insertion_order_, [this](uint64_t feature) { return entries_.count(feature) == 0; });
  }
  return forgotten;
}

}  // namespace stoat::admission
