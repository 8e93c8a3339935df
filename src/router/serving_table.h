/// The back ends of the configuration by what they serve, with all that a placement looks at resolved
/// beforehand.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/hash.h"
#include "src/common/zone.h"
#include "src/control/configuration.h"
#include "src/delivery/outlier_detector.h"
#include "src/router/engine_table.h"

namespace stoat::router {

/// One back end. The pointers hold until the next configuration.
struct ServingEntry {
  const control::Backend* backend = nullptr;
  const EngineState* state = nullptr;
  delivery::OutlierDetector::Handle health = nullptr;
  uint64_t name_hash = 0;
  bool leaving = false;  ///< on the platform's list
  bool local = true;     ///< in this router's region
};

/// The back ends of one model or service, in the order of their names.
struct ServingList {
  std::vector<ServingEntry> entries;                        ///< those that run requests
  std::unordered_map<uint64_t, uint32_t> position_of_hash;  ///< by ServingEntry::name_hash
  /// Some back end of this router's region is neither draining nor leaving; those of other regions, whose
  /// loads and caches it does not know, are then left alone.
  bool served_locally = false;
  std::vector<ServingEntry> stores;  ///< of kept blocks; they run no requests
};

/// See the head of this file.
class ServingTable {
 public:
  /// `region`: of the router.
  explicit ServingTable(std::string region) : region_(std::move(region)) {}

  /// To be called for every new configuration, which must outlive the entries.
  void rebuild(const control::Configuration& configuration, EngineTable& engines,
               delivery::OutlierDetector& outliers) {
    lists_.clear();
    for (const auto& [name, backend] : configuration.backends) {
      ServingEntry entry;
      entry.backend = &backend;
      entry.state = &engines.at(name);
      entry.health = outliers.handle_of(name);
      entry.name_hash = hash_bytes(name);
      entry.local = region_of(backend.zone) == region_;
      ServingList& list = lists_[backend.serves];
      if (backend.kind == control::BackendKind::kKvStore) {
        list.stores.push_back(entry);
        continue;
      }
      list.position_of_hash[entry.name_hash] = static_cast<uint32_t>(list.entries.size());
      list.entries.push_back(entry);
    }
    note_leaving();
  }

  /// Takes the platform's list of leaving back ends.
  void set_leaving(const std::vector<std::string>& backends) {
    leaving_ = std::set<std::string>(backends.begin(), backends.end());
    note_leaving();
  }

  /// The back ends of a model or service.
  const ServingList& of(const std::string& serves) const {
    static const ServingList none;
    const auto found = lists_.find(serves);
    return found == lists_.end() ? none : found->second;
  }

 private:
  void note_leaving() {
    for (auto& [serves, list] : lists_) {
      list.served_locally = false;
      for (ServingEntry& entry : list.entries) {
        entry.leaving = leaving_.count(entry.backend->name) > 0;
        list.served_locally |= entry.local && !entry.leaving && !entry.backend->draining;
      }
      for (ServingEntry& store : list.stores) {
        store.leaving = leaving_.count(store.backend->name) > 0;
      }
    }
  }

  std::string region_;
  std::map<std::string, ServingList> lists_;
  std::set<std::string> leaving_;
};

}  // namespace stoat::router
