/// Follows the events of the caches of all engines and stores, and keeps what each holds of prompts' parts.
/// Only the leader does this, so that each cache is asked by one process however many routers there are;
/// routers are told the changes of those parts that prompts share, which are few.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/common/time.h"
#include "src/control/engine_orders.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// A cache to follow.
struct FollowedCache {
  std::string holder;  ///< id of the engine; address of a store
  std::string address;
  bool store = false;
};

/// See the head of this file.
class CacheWatch {
 public:
  explicit CacheWatch(EngineOrders& engines) : engines_(engines) {}

  /// The caches to follow from now on. What is known of others is forgotten.
  void follow(const std::vector<FollowedCache>& caches);
  /// Asks the caches that are due. To be called some 30 times a second.
  void poll(TimePoint now);
  /// Forgets all, on a change of leadership.
  void reset();
  /// Addresses of the stores that answered the last question, in order.
  std::vector<std::string> live_stores() const;

  /// These parts are shared by prompts; the others are not told.
  void note_shared(const std::vector<uint64_t>& parts);
  /// Changes since the last call.
  fleet::CacheNews take_changes();
  /// All that is known, for a router that knows nothing yet.
  fleet::CacheNews everything() const;

 private:
  /// What a cache holds of a part.
  struct Holding {
    uint64_t weights = 0;
    uint32_t tokens = 0;
  };
  struct Cache {
    std::string holder;
    bool store = false;
    bool live = false;
    bool asking = false;
    uint64_t epoch = 0;
    uint64_t next_event = 0;
    TimePoint next_question{0};
    uint64_t generation = 0;  ///< tells an answer to an earlier watch of the same address
    std::unordered_map<uint64_t, Holding> parts;
    fleet::CacheChanges untold;
    bool changed = false;  ///< `untold` is to be told
  };
  void ask(const std::string& address, Cache& cache, Duration pause, TimePoint now);
  void on_events(Cache& cache, const CacheEvents* events);
  static void lose(Cache& cache);
  void note_holding(Cache& cache, const fleet::PartHolding& holding);
  bool shared(uint64_t part) const { return shared_.count(part) > 0; }

  EngineOrders& engines_;
  std::map<std::string, Cache> caches_;  ///< by address
  std::unordered_set<uint64_t> shared_;
  uint64_t last_generation_ = 0;
};

}  // namespace stoat::control
