#include "standins/part_cache.h"

namespace stoat::standins {

namespace {

constexpr size_t kMostEvents = 20000;

}  // namespace

uint32_t PartCache::match(const std::string& salt, const std::vector<NamedPart>& parts) {
  uint32_t tokens = 0;
  for (const NamedPart& part : parts) {
    const auto found = held_.find({salt, part.name});
    if (found == held_.end()) {
      break;
    }
    by_use_.splice(by_use_.begin(), by_use_, found->second);
    tokens += part.tokens;
  }
  return tokens;
}

void PartCache::store(const std::string& salt, const std::vector<NamedPart>& parts) {
  for (const NamedPart& part : parts) {
    if (held_.count({salt, part.name}) > 0) {
      continue;
    }
    by_use_.push_front({salt, part.name, part.tokens});
    held_[{salt, part.name}] = by_use_.begin();
    held_tokens_ += part.tokens;
    note(salt, part.name, part.tokens);
  }
  while (held_tokens_ > capacity_tokens_ && !by_use_.empty()) {
    drop_oldest();
  }
}

void PartCache::clear() {
  while (!by_use_.empty()) {
    drop_oldest();
  }
}

void PartCache::drop_oldest() {
  const Held oldest = by_use_.back();
  by_use_.pop_back();
  held_.erase({oldest.salt, oldest.part});
  held_tokens_ -= oldest.tokens;
  note(oldest.salt, oldest.part, 0);
}

void PartCache::note(const std::string& salt, const std::string& part, uint32_t tokens) {
  events_.push_back({++last_event_, salt, part, tokens});
  if (events_.size() > kMostEvents) {
    events_.pop_front();
  }
}

std::vector<PartEvent> PartCache::events_after(uint64_t number) const {
  std::vector<PartEvent> later;
  for (const PartEvent& event : events_) {
    if (event.number > number) {
      later.push_back(event);
    }
  }
  return later;
}

bool PartCache::has_all_after(uint64_t number) const {
  return events_.empty() || events_.front().number <= number + 1;
}

}  // namespace stoat::standins
