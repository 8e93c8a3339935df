#include "src/events/fleet_events.h"

#include <algorithm>
#include <map>

namespace stoat::events {

namespace {

using fleet::BackendRecord;
using fleet::BackendState;

uint64_t newest_weights(const BackendRecord& record) {
  uint64_t version = 0;
  for (const fleet::ModelVersion& entry : record.models) {
    version = std::max(version, entry.version);
  }
  return version;
}

BackendChanged make_change(const BackendRecord& record, const char* change) {
  return {record.id, record.service, record.address, change, newest_weights(record)};
}

void compare(const BackendRecord& before, const BackendRecord& after, std::vector<BackendChanged>& changes) {
  if (before.state != after.state) {
    changes.push_back(make_change(after, after.state == BackendState::kDraining ? "draining" : "gone"));
  }
  if (before.lost != after.lost) {
    changes.push_back(make_change(after, after.lost ? "silent" : "heard again"));
  }
  if (before.loading != after.loading) {
    changes.push_back(make_change(after, after.loading ? "loading" : "loaded"));
  }
  if (before.models != after.models) {
    changes.push_back(make_change(after, "weights"));
  }
}

}  // namespace

std::vector<BackendChanged> backend_changes(const std::vector<BackendRecord>& before,
                                            const std::vector<BackendRecord>& after) {
  std::vector<BackendChanged> changes;
  std::map<std::string, const BackendRecord*> known;
  for (const BackendRecord& record : before) {
    known[record.id] = &record;
  }
  for (const BackendRecord& record : after) {
    const auto found = known.find(record.id);
    if (found == known.end()) {
      changes.push_back(make_change(record, "appeared"));
      continue;
    }
    compare(*found->second, record, changes);
    known.erase(found);
  }
  for (const auto& [id, record] : known) {
    changes.push_back(make_change(*record, "forgotten"));
  }
  return changes;
}

}  // namespace stoat::events
