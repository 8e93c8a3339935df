#include "src/control/relay_selection.h"

#include <algorithm>
#include <map>
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
  std::map<topology::Distance, std::vector<Ranked>> by_distance;
  for (const Candidate& candidate : candidates_) {
    if (candidate.name_hash != own_hash) {
      by_distance[topology::distance(place, candidate.place)].emplace_back(
          hash_pair(own_hash, candidate.name_hash), &candidate);
    }
  }
  std::vector<Ranked>& in_zone = by_distance[topology::Distance::kSameZone];
  std::vector<Ranked>& in_region = by_distance[topology::Distance::kSameRegion];
  const bool is_alone = in_zone.empty() && in_region.empty();
  std::vector<Ranked>& elsewhere = is_alone ? by_distance[topology::Distance::kOtherRegion] : in_region;
  // No more than half come from the router's own zone, since a whole zone may be cut off at once.
  const size_t from_zone = std::max(limit / 2, limit - std::min(limit, elsewhere.size()));
  keep_first(in_zone, from_zone);
  keep_first(elsewhere, limit - in_zone.size());
  std::vector<std::string> addresses;
  for (const auto* list : {&in_zone, &elsewhere}) {
    for (const auto& [rank, candidate] : *list) {
      addresses.push_back(candidate->address);
    }
  }
  return addresses;
}

void RelaySelection::keep_first(std::vector<Ranked>& candidates, size_t count) {
  const size_t kept = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end());
  candidates.resize(kept);
}

}  // namespace stoat::control
