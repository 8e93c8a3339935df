/// The contents of all KV caches of the fleet. The member that follows a cache knows its full contents, and
/// sends the other members only those prompt parts that several prompts share; each member passes these on to
/// its own routers. Performs no I/O.
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

/// The status of a cache, as sent to routers.
struct CacheStatus {
  bool store = false;
  bool followed = false;
  bool operator==(const CacheStatus&) const = default;
};

/// Key of one prompt part in one cache.
struct HeldPartKey {
  std::string holder;
  uint64_t part = 0;
  bool operator<(const HeldPartKey& other) const {
    return std::tie(holder, part) < std::tie(other.holder, other.part);
  }
};

/// Index of the prompt parts that each cache holds.
class CacheIndex {
 public:
  /// State of one cache. When two members follow it, the one with the higher claim takes precedence; on equal
  /// claims the one with the greater address.
  struct Cache {
    std::string follower;  ///< internal address of the member that follows it
    uint64_t claim = 0;    ///< rises when another member takes over the cache
    bool store = false;
    bool followed = false;
    uint64_t epoch = 0;       ///< changes when the cache restarts
    uint64_t next_event = 0;  ///< the event to read next
    std::unordered_map<uint64_t, fleet::CachedPart> parts;
  };

  /// `self`: internal address of this member.
  explicit CacheIndex(std::string self = "") : self_(std::move(self)) {}

  /// Applies changes reported by a follower. Returns false when another follower takes precedence.
  bool apply(const std::string& follower, const fleet::CacheChanges& changes);
  /// What mark_shared() has changed.
  struct NewlyShared {
    std::vector<uint64_t> parts;  ///< that were not marked yet
    /// Those of them that are in caches that this member follows, by holder.
    std::map<std::string, std::vector<fleet::CachedPart>> own_holdings;
  };
  /// Marks prompt parts as shared; only shared parts are sent to routers.
  NewlyShared mark_shared(const std::vector<uint64_t>& parts);
  bool shared(uint64_t part) const { return shared_parts_.count(part) > 0; }
  /// True when the cache is followed and routers already know that it holds all parts of the placement, made
  /// by the same or newer weights.
  bool is_published(const fleet::ChainPlacement& placement) const;
  /// Handles the loss of a member: the caches that it followed are no longer followed by any member.
  void on_follower_lost(const std::string& follower);
  /// Removes a cache.
  void drop(const std::string& holder);
  /// Removes all caches for which `wanted` returns false.
  void retain(const std::function<bool(const std::string& holder)>& wanted);

  /// The cache of a holder, or nullptr when it is unknown.
  const Cache* find(const std::string& holder) const;
  /// The full contents of a cache, as changes that replace all that the receiver knows of it.
  fleet::CacheChanges full_contents(const std::string& holder) const;
  /// Holders of the caches that a member follows.
  std::vector<std::string> followed_by(const std::string& follower) const;
  std::vector<uint64_t> shared_parts() const { return {shared_parts_.begin(), shared_parts_.end()}; }

  const fleet::RevisionTable<std::string, CacheStatus>& statuses() const { return statuses_; }
  const fleet::RevisionTable<HeldPartKey, fleet::CachedPart>& shared_holdings() const {
    return shared_holdings_;
  }

 private:
  void set_holding(const std::string& holder, Cache& cache, const fleet::CachedPart& holding);
  void remove_parts(const std::string& holder, Cache& cache);
  void reset_shared_parts();
  void remove_unshared_holder(const std::string& holder, uint64_t part);

  std::string self_;
  std::map<std::string, Cache> caches_;  ///< by holder
  std::unordered_set<uint64_t> shared_parts_;
  /// Holders of parts that are not known to be shared. When a part becomes shared, its holders are found here
  /// without searching thousands of caches.
  std::unordered_map<uint64_t, std::set<std::string>> unshared_holders_;
  fleet::RevisionTable<std::string, CacheStatus> statuses_;
  fleet::RevisionTable<HeldPartKey, fleet::CachedPart> shared_holdings_;
};

}  // namespace stoat::control
