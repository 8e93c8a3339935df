#include "src/control/relay_selection.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/common/hash.h"

namespace stoat::control {

void RelaySelection::update(const std::vector<fleet::RouterRecord>& ready) {
  std::vector<Candidate> candidates;
  for (const fleet::RouterRecord& router : ready) {
    if (!router.relay_address.empty() && !router.cut_off) {
      candidates.push_back(
          {hash_bytes(router.name), topology_.location_of(router.zone), router.relay_address});
    }
  }
  if (candidates != candidates_) {
    candidates_ = std::move(candidates);
    ++revision_;
  }
}

std::vector<std::string> RelaySelection::select(const fleet::RouterRecord& router, size_t limit) const {
  const uint64_t own_hash = hash_bytes(router.name);
  const topology::Location place = topology_.location_of(router.zone);
  using Ranked = std::tuple<topology::Distance, uint64_t, const Candidate*>;
  std::vector<Ranked> ranked;
  ranked.reserve(candidates_.size());
  for (const Candidate& candidate : candidates_) {
    if (candidate.name_hash != own_hash) {
      ranked.emplace_back(topology::distance(place, candidate.place),
                          hash_pair(own_hash, candidate.name_hash), &candidate);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto is_nearer_than = [](topology::Distance distance) {
    return [distance](const Ranked& entry) { return std::get<topology::Distance>(entry) < distance; };
  };
  const auto other_zones =
      std::partition_point(ranked.begin(), ranked.end(), is_nearer_than(topology::Distance::kSameRegion));
  const auto other_regions =
      std::partition_point(ranked.begin(), ranked.end(), is_nearer_than(topology::Distance::kOtherRegion));
  if (other_regions != ranked.begin()) {
    ranked.erase(other_regions, ranked.end());
  }
  // No more than half come from the router's own zone, since a whole zone may be cut off at once.
  const auto in_zone = static_cast<size_t>(std::distance(ranked.begin(), other_zones));
  const size_t elsewhere = ranked.size() - std::min(ranked.size(), in_zone);
  const size_t kept = std::min(in_zone, std::max(limit / 2, limit - std::min(limit, elsewhere)));
  ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>(kept),
               ranked.begin() + static_cast<std::ptrdiff_t>(std::min(in_zone, ranked.size())));
  ranked.resize(std::min(limit, ranked.size()));
  std::vector<std::string> addresses(ranked.size());
  std::transform(ranked.begin(), ranked.end(), addresses.begin(),
                 [](const Ranked& entry) { return std::get<const Candidate*>(entry)->address; });
  return addresses;
}

}  // namespace stoat::control
