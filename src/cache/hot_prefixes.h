/// Prefixes that get more requests than one router should carry are given more owners, and fewer again as
/// they cool.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"
#include "src/wire/messages.h"

namespace stoat::cache {

/// How long a spread stays in force without renewal.
inline constexpr Duration kSpreadLease = 10s;

/// The spreads that a sidecar or router has been told of.
class HotPrefixTable {
 public:
  /// True when it was not known, or with another number of owners.
  bool learn(const wire::HotPrefix& hot, TimePoint now) {
    Entry& entry = entries_[hot.root];
    const bool changed = entry.owners != hot.owners || entry.until <= now;
    entry.owners = hot.owners;
    entry.until = now + kSpreadLease;
    return changed;
  }

  /// How many routers own the prefix; 1 when nothing else is known.
  uint32_t owners(uint64_t root, TimePoint now) const {
    const auto found = entries_.find(root);
    return found == entries_.end() || found->second.until <= now ? 1 : std::max(1U, found->second.owners);
  }

  void forget_expired(TimePoint now) {
    std::erase_if(entries_, [now](const auto& entry) { return entry.second.until <= now; });
  }

 private:
  struct Entry {
    uint32_t owners = 1;
    TimePoint until{0};
  };
  std::map<uint64_t, Entry> entries_;
};

/// Decides how many owners a prefix should have. Lives at the first owner of each prefix.
class HotPrefixDetector {
 public:
  /// `requests_per_owner`: what one router should get of one prefix, a second.
  explicit HotPrefixDetector(double requests_per_owner) : requests_per_owner_(requests_per_owner) {}

  void on_request(uint64_t root) { ++counts_[root]; }

  /// The prefixes that are to be spread, judged by the requests since the last call. `owners_now` tells how
  /// many owners a prefix has; this router then sees only its part of the requests. `router_count`: more
  /// owners than routers would make that part look like a smaller one than it is.
  template <typename OwnersNow>
  std::vector<wire::HotPrefix> review(Duration since_last, size_t router_count, const OwnersNow& owners_now) {
    const auto most_owners = static_cast<uint32_t>(std::clamp<size_t>(router_count, 1, kMostOwners));
    std::vector<wire::HotPrefix> hot;
    const double seconds = std::max(0.001, to_seconds(since_last));
    for (const auto& [root, count] : counts_) {
      const uint32_t present = owners_now(root);
      const double total_rate = static_cast<double>(count) / seconds * present;
      auto wanted = static_cast<uint32_t>(std::ceil(total_rate / requests_per_owner_));
      // One step down at a time, and only when the fewer owners would have room to spare.
      if (wanted < present) {
        wanted = total_rate < kCoolShare * requests_per_owner_ * (present - 1) ? present - 1 : present;
      }
      if (wanted > 1 || present > 1) {
        hot.push_back({root, std::clamp(wanted, 1U, most_owners)});
      }
    }
    counts_.clear();
    return hot;
  }

 private:
  static constexpr size_t kMostOwners = 16;
  static constexpr double kCoolShare = 0.7;
  double requests_per_owner_;
  std::unordered_map<uint64_t, uint64_t> counts_;
};

}  // namespace stoat::cache
