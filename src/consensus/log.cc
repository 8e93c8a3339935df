#include "src/consensus/log.h"

namespace stoat::consensus {

Log::Log(uint64_t snapshot_index, uint64_t snapshot_term, const std::vector<Entry>& entries)
    : snapshot_index_(snapshot_index),
      snapshot_term_(snapshot_term),
      entries_(entries.begin(), entries.end()) {}

uint64_t Log::term_at(uint64_t index) const {
  return index == snapshot_index_ ? snapshot_term_ : at(index).term;
}

std::vector<Entry> Log::slice(uint64_t first, size_t max_count, size_t max_bytes) const {
  std::vector<Entry> result;
  size_t bytes = 0;
  for (uint64_t index = first; index <= last_index() && result.size() < max_count; ++index) {
    const Entry& entry = at(index);
    bytes += entry.payload.size();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

void Log::truncate_from(uint64_t index) {
  while (last_index() >= index && !entries_.empty()) {
    entries_.pop_back();
  }
}

void Log::compact_to(uint64_t index, uint64_t term) {
  while (!entries_.empty() && entries_.front().index <= index) {
    entries_.pop_front();
  }
  snapshot_index_ = index;
  snapshot_term_ = term;
}

void Log::reset_to(uint64_t index, uint64_t term) {
  entries_.clear();
  snapshot_index_ = index;
  snapshot_term_ = term;
}

}  // namespace stoat::consensus
