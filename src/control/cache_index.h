/// What the caches of the fleet hold. The member that follows a cache's events knows all of it, and tells the
/// others those parts that prompts share, which each of them tells its own routers. Free of I/O.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/fleet/fleet_messages.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// Whether a cache is followed, for routers.
struct CacheStatus {
  bool store = false;
  bool followed = false;
  bool operator==(const CacheStatus&) const = default;
};

/// One part in one cache.
struct HeldPartKey {
  std::string holder;
  uint64_t part = 0;
  bool operator<(const HeldPartKey& other) const {
    return std::tie(holder, part) < std::tie(other.holder, other.part);
  }
};

/// See the head of this file.
class CacheIndex {
 public:
  /// What is known of one cache. Of two followers the one with the higher claim counts.
  struct Cache {
    std::string follower;  ///< internal address of the member
    uint64_t claim = 0;
    bool store = false;
    bool followed = false;
    uint64_t epoch = 0;
    uint64_t next_event = 0;
    std::unordered_map<uint64_t, fleet::CachedPart> parts;
  };

  /// `self`: internal address of the member that keeps the mirror.
  explicit CacheIndex(std::string self = "") : self_(std::move(self)) {}

  /// Takes what a follower tells. Returns false when another one has a higher claim.
  bool apply(const std::string& follower, const fleet::CacheChanges& changes);
  /// These parts are shared by prompts; routers are told of them only. Returns those that are new.
  std::vector<uint64_t> mark_shared(const std::vector<uint64_t>& parts);
  bool shared(uint64_t part) const { return shared_.count(part) > 0; }
  /// True when a cache holds all these parts under weights that are no older, and routers were told so.
  bool told(const fleet::ChainPlacement& placement) const;
  /// A member is not heard any more: what it followed is followed by nobody.
  void on_follower_lost(const std::string& follower);
  /// Forgets a cache.
  void drop(const std::string& holder);
  /// Forgets all caches but the wanted ones.
  void keep(const std::function<bool(const std::string& holder)>& wanted);

  /// A known cache, or nullptr.
  const Cache* find(const std::string& holder) const;
  /// All that is known of one cache.
  fleet::CacheChanges whole(const std::string& holder) const;
  /// The caches that a member follows.
  std::vector<std::string> followed_by(const std::string& follower) const;
  std::vector<uint64_t> shared_parts() const { return {shared_.begin(), shared_.end()}; }

  const fleet::RevisionTable<std::string, CacheStatus>& heads() const { return heads_; }
  const fleet::RevisionTable<HeldPartKey, fleet::CachedPart>& shared_holdings() const { return holdings_; }

 private:
  void hold(const std::string& holder, Cache& cache, const fleet::CachedPart& holding);
  void clear(const std::string& holder, Cache& cache);
  void forget_shared();
  void forget_unshared(const std::string& holder, uint64_t part);

  std::string self_;
  std::map<std::string, Cache> caches_;  ///< by holder
  std::unordered_set<uint64_t> shared_;
  /// Holders of parts that are not known to be shared, so that a part that becomes so is not looked for in
  /// thousands of caches.
  std::unordered_map<uint64_t, std::set<std::string>> unshared_holders_;
  fleet::RevisionTable<std::string, CacheStatus> heads_;
  fleet::RevisionTable<HeldPartKey, fleet::CachedPart> holdings_;  ///< of shared parts
};

}  // namespace stoat::control
