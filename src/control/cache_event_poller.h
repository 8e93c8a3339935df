/// Reads events from the KV caches of engines and stores by long polling. Each cache is polled by one control
/// member only, however many routers there are; its changes go into the CacheIndex of every member.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/control/engine_interface.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// A cache to follow, and the position to read from.
struct FollowedCache {
  std::string holder;  ///< id of the engine, or address of the store
  std::string address;
  bool store = false;
  uint64_t claim = 0;       ///< claim under which its changes are reported; see CacheIndex
  uint64_t epoch = 0;       ///< epoch reported by the previous follower; 0: read from the beginning
  uint64_t next_event = 0;  ///< position in that epoch, reported by the previous follower
};

/// Polls the followed caches and collects their changes.
class CacheEventPoller {
 public:
  explicit CacheEventPoller(EngineInterface& engines) : engines_(engines) {}

  /// Sets the caches to follow. A cache that is already followed under the same claim continues undisturbed.
  void follow(const std::vector<FollowedCache>& caches);
  /// Polls the caches that are due; of the caches to read from the beginning, only a few per call. To be
  /// called about 30 times a second.
  void poll(TimePoint now);
  /// Changes since the last call.
  std::vector<fleet::CacheChanges> take_changes();
  size_t size() const { return caches_.size(); }

 private:
  struct Cache {
    FollowedCache followed;
    bool reachable = false;
    bool polling = false;
    TimePoint next_poll{0};
    /// Answers to polls of another generation belong to an earlier cache at this address.
    uint64_t generation = 0;
    fleet::CacheChanges unreported;
    bool report_due = false;  ///< something is to be reported: `unreported`, or a change of `reachable`
  };
  void poll_cache(const std::string& address, Cache& cache, Duration interval, TimePoint now);
  static void on_events(Cache& cache, const CacheEvents* events);
  static void discard_contents(Cache& cache);

  EngineInterface& engines_;
  std::map<std::string, Cache> caches_;  ///< by address
  uint64_t last_generation_ = 0;
};

}  // namespace stoat::control
