#include <algorithm>

#include "src/common/hash.h"
#include "src/placement/policy.h"

namespace stoat::placement {

namespace {

/// An engine may carry this multiple of the mean load before its prefixes go to the next one.
constexpr double kLoadBound = 1.5;

/// Consistent hashing on the prefix (rendezvous), with bounded loads. A baseline.
class PrefixHash : public Policy {
 public:
  size_t choose(const RequestView& request, const std::vector<Candidate>& candidates, Random&) override {
    double total = 1;
    for (const Candidate& candidate : candidates) {
      total += candidate.outstanding;
    }
    const double bound = kLoadBound * total / static_cast<double>(candidates.size()) + 1;
    size_t best = 0;
    uint64_t best_weight = 0;
    for (size_t position = 0; position < candidates.size(); ++position) {
      const uint64_t weight = hash_pair(request.prefix_key, candidates[position].name_hash);
      if (candidates[position].outstanding <= bound && weight >= best_weight) {
        best = position;
        best_weight = weight;
      }
    }
    return best;
  }
};

}  // namespace

std::unique_ptr<Policy> make_prefix_hash() { return std::make_unique<PrefixHash>(); }

}  // namespace stoat::placement
