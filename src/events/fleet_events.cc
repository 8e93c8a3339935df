#include "src/events/fleet_events.h"

#include <algorithm>
#include <map>

namespace stoat::events {

namespace {

using fleet::BackendRecord;
using fleet::BackendState;

/// Up to this many simultaneous changes of one kind are logged in a line each.
constexpr size_t kMaxLinesPerChange = 6;

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

void add_differences(const BackendRecord& before, const BackendRecord& after,
                     std::vector<BackendChanged>& changes) {
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

void add_backend_changes(const BackendRecord* before, const BackendRecord* after,
                         std::vector<BackendChanged>& changes) {
  if (before != nullptr && after != nullptr) {
    add_differences(*before, *after, changes);
  } else if (after != nullptr) {
    changes.push_back(make_change(*after, "appeared"));
  } else if (before != nullptr) {
    changes.push_back(make_change(*before, "forgotten"));
  }
}

void log_backend_changes(const Logger& log, const std::vector<BackendChanged>& changes) {
  std::map<std::string, std::vector<const BackendChanged*>> by_kind;
  for (const BackendChanged& change : changes) {
    by_kind[change.change].push_back(&change);
  }
  for (const auto& [kind, list] : by_kind) {
    if (list.size() <= kMaxLinesPerChange) {
      for (const BackendChanged* change : list) {
        log.event(*change);
      }
      continue;
    }
    BackendsChanged summary{list.front()->change, list.size(), ""};
    for (size_t position = 0; position < kMaxLinesPerChange; ++position) {
      summary.backends += (position == 0 ? "" : ",") + list[position]->backend;
    }
    log.event(summary);
  }
}

}  // namespace stoat::events
