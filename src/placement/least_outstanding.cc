#include <algorithm>

#include "src/placement/policy.h"

namespace stoat::placement {

namespace {

/// Takes the engine with the fewest requests of this router. A baseline.
class LeastOutstanding : public Policy {
 public:
  size_t choose(const RequestView&, const std::vector<Candidate>& candidates, Random& random) override {
    // Ties go by chance: start the search at a random place.
    const size_t start = random.below(candidates.size());
    size_t best = start;
    for (size_t step = 1; step < candidates.size(); ++step) {
      const size_t position = (start + step) % candidates.size();
      best = candidates[position].outstanding < candidates[best].outstanding ? position : best;
    }
    return best;
  }
};

}  // namespace

std::unique_ptr<Policy> make_least_outstanding() { return std::make_unique<LeastOutstanding>(); }

}  // namespace stoat::placement
