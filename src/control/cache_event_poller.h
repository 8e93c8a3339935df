/// Asks caches, of engines and stores, for their events. Each cache is asked by one control member, however
/// many routers there are; what it tells goes into the CacheIndex of all members.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/control/engine_interface.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// A cache to follow.
struct FollowedCache {
  std::string holder;  ///< id of the engine; address of a store
  std::string address;
  bool store = false;
  uint64_t claim = 0;       ///< under which its changes are told (CacheIndex)
  uint64_t epoch = 0;       ///< where to go on, as its last follower told; 0: from the beginning
  uint64_t next_event = 0;  ///< likewise
};

/// See the head of this file.
class CacheEventPoller {
 public:
  explicit CacheEventPoller(EngineInterface& engines) : engines_(engines) {}

  /// The caches to follow from now on. One that is followed already, under the same claim, goes on as it was.
  void follow(const std::vector<FollowedCache>& caches);
  /// Asks the caches that are due; of those that are to be read from the beginning only a few with each call.
  /// To be called some 30 times a second.
  void poll(TimePoint now);
  /// Changes since the last call.
  std::vector<fleet::CacheChanges> take_changes();
  size_t size() const { return caches_.size(); }

 private:
  struct Cache {
    FollowedCache followed;
    bool live = false;
    bool asking = false;
    TimePoint next_question{0};
    uint64_t generation = 0;  ///< tells an answer to an earlier watch of the same address
    fleet::CacheChanges untold;
    bool changed = false;  ///< `untold` is to be told
  };
  void ask(const std::string& address, Cache& cache, Duration pause, TimePoint now);
  static void on_events(Cache& cache, const CacheEvents* events);
  static void lose(Cache& cache);

  EngineInterface& engines_;
  std::map<std::string, Cache> caches_;  ///< by address
  uint64_t last_generation_ = 0;
};

}  // namespace stoat::control
