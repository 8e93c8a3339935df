#include "src/streams/stream_record_table.h"

#include <algorithm>

namespace stoat::streams {

void StreamRecordTable::put(const fleet::StreamRecord& record, TimePoint now) {
  TimePoint expires = now + Duration(1000 * std::max<int64_t>(0, record.lifetime_ms));
  const auto known = entries_.find(record.stream);
  if (known != entries_.end()) {
    if (known->second.record.generation > record.generation) {
      return;
    }
    expires = std::max(expires, known->second.expires);
    erase(record.stream);
  }
  if (entries_.size() >= limit_) {
    erase(by_expiry_.begin()->second);
    ++dropped_;
  }
  entries_[record.stream] = {record, expires};
  by_expiry_.emplace(expires, record.stream);
}

std::optional<fleet::StreamRecord> StreamRecordTable::find(uint64_t stream, TimePoint now) const {
  const auto found = entries_.find(stream);
  if (found == entries_.end() || found->second.expires <= now) {
    return std::nullopt;
  }
  fleet::StreamRecord record = found->second.record;
  record.lifetime_ms = to_milliseconds(found->second.expires - now);
  return record;
}

void StreamRecordTable::expire(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    erase(by_expiry_.begin()->second);
  }
}

void StreamRecordTable::erase(uint64_t stream) {
  const auto found = entries_.find(stream);
  remove_from_index(stream, found->second.expires);
  entries_.erase(found);
}

void StreamRecordTable::remove_from_index(uint64_t stream, TimePoint expires) {
  const auto [first, last] = by_expiry_.equal_range(expires);
  const auto entry =
      std::find_if(first, last, [stream](const auto& candidate) { return candidate.second == stream; });
  by_expiry_.erase(entry);
}

}  // namespace stoat::streams
