#include "src/admission/crash_book.h"

#include <algorithm>
#include <utility>

#include "src/common/hash.h"

namespace stoat::admission {

namespace {

/// Requests that are known at the same time. One crash of a back end names as many as it has slots.
constexpr size_t kMostRequests = 8192;
/// Entries that are looked at to make room for another.
constexpr size_t kMostLooks = 16;
/// Crashes that are known of one request: more tell nothing more.
constexpr size_t kMostCrashes = 8;
/// No quarantine lasts longer.
constexpr Duration kLongestQuarantine = 600s;
/// A request is forgotten so long after its last crash: while it is known, one more crash quarantines it
/// anew.
constexpr Duration kMemory = 2 * kLongestQuarantine;

}  // namespace

std::string trial_key(uint64_t request) { return "request/" + to_hex(request); }

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

bool CrashBook::put(Entry& entry, const std::string& backend, const Crash& crash) {
  const auto known = entry.crashes.find(backend);
  if (known != entry.crashes.end()) {
    return crash.acquitted && !std::exchange(known->second.acquitted, true);
  }
  if (entry.crashes.size() >= kMostCrashes) {
    const auto oldest = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    if (crash.at <= oldest->second.at) {
      return false;
    }
    entry.crashes.erase(oldest);
  }
  entry.crashes.emplace(backend, crash);
  entry.last = std::max(entry.last, crash.at);
  return true;
}

uint32_t CrashBook::count(const Entry& entry) {
  return static_cast<uint32_t>(std::count_if(entry.crashes.begin(), entry.crashes.end(),
                                             [](const auto& crash) { return !crash.second.acquitted; }));
}

bool CrashBook::make_room() {
  for (size_t looks = 0; looks < kMostLooks && !order_.empty(); ++looks) {
    const uint64_t oldest = order_.front();
    order_.pop_front();
    const auto entry = entries_.find(oldest);
    if (entry == entries_.end()) {
      continue;
    }
    if (count(entry->second) < kSuspectCrashes) {
      entries_.erase(entry);
      changed_.erase(oldest);
      return true;
    }
    order_.push_back(oldest);
  }
  return false;
}

CrashBook::Entry* CrashBook::entry_of(uint64_t request) {
  const auto known = entries_.find(request);
  if (known != entries_.end()) {
    return &known->second;
  }
  if (entries_.size() >= kMostRequests && !make_room()) {
    return nullptr;
  }
  order_.push_back(request);
  return &entries_[request];
}

bool CrashBook::note_crash(uint64_t request, const std::string& backend, TimePoint now) {
  Entry* entry = entry_of(request);
  if (entry == nullptr || !put(*entry, backend, {now, false})) {
    return false;
  }
  changed_.insert(request);
  return true;
}

bool CrashBook::acquit(uint64_t request) {
  const auto known = entries_.find(request);
  if (known == entries_.end() || count(known->second) == 0) {
    return false;
  }
  for (auto& [backend, crash] : known->second.crashes) {
    crash.acquitted = true;
  }
  changed_.insert(request);
  return true;
}

bool CrashBook::merge(const fleet::CrashRecord& record, TimePoint now) {
  Entry* entry = record.crashes.empty() ? nullptr : entry_of(record.request);
  if (entry == nullptr) {
    return false;
  }
  bool news = false;
  for (const fleet::CrashNotice& told : record.crashes) {
    const TimePoint at = now - Duration(1000 * std::max<int64_t>(0, told.age_ms));
    news = put(*entry, told.backend, {at, told.acquitted}) || news;
  }
  return news;
}

uint32_t CrashBook::crashes(uint64_t request) const {
  const auto known = entries_.find(request);
  return known == entries_.end() ? 0 : count(known->second);
}

StandingReason CrashBook::standing(uint64_t request, TimePoint now) const {
  const auto known = entries_.find(request);
  if (known == entries_.end()) {
    return {};
  }
  StandingReason reason;
  reason.crashes = count(known->second);
  if (reason.crashes >= options_.crashes) {
    const Duration held =
        std::min(kLongestQuarantine, options_.first * (1 << (reason.crashes - options_.crashes)));
    reason.left = std::max(Duration(0), known->second.last + held - now);
  }
  if (reason.left > Duration(0)) {
    reason.standing = RequestStanding::kQuarantined;
  } else if (reason.crashes >= kSuspectCrashes) {
    reason.standing = RequestStanding::kSuspect;
  }
  return reason;
}

fleet::CrashRecord CrashBook::record(uint64_t request, TimePoint now) const {
  fleet::CrashRecord record{request, {}};
  const auto known = entries_.find(request);
  if (known != entries_.end()) {
    for (const auto& [backend, crash] : known->second.crashes) {
      record.crashes.push_back({backend, to_milliseconds(now - crash.at), crash.acquitted});
    }
  }
  return record;
}

std::vector<fleet::CrashRecord> CrashBook::take_changes(TimePoint now) {
  std::vector<fleet::CrashRecord> list;
  for (const uint64_t request : std::exchange(changed_, {})) {
    list.push_back(record(request, now));
  }
  return list;
}

std::vector<fleet::CrashRecord> CrashBook::all(TimePoint now) const {
  std::vector<fleet::CrashRecord> list;
  list.reserve(entries_.size());
  for (const auto& [request, entry] : entries_) {
    list.push_back(record(request, now));
  }
  return list;
}

std::vector<uint64_t> CrashBook::requests() const {
  std::vector<uint64_t> list;
  list.reserve(entries_.size());
  for (const auto& [request, entry] : entries_) {
    list.push_back(request);
  }
  return list;
}

std::vector<uint64_t> CrashBook::expire(TimePoint now) {
  std::vector<uint64_t> forgotten;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (now - entry->second.last <= kMemory) {
      ++entry;
      continue;
    }
    forgotten.push_back(entry->first);
    changed_.erase(entry->first);
    entry = entries_.erase(entry);
  }
  if (!forgotten.empty()) {
    std::erase_if(order_, [this](uint64_t request) { return entries_.count(request) == 0; });
  }
  return forgotten;
}

}  // namespace stoat::admission
