#include "src/placement/policy.h"

namespace stoat::placement {

namespace {

/// Draws two engines and takes the less loaded. A baseline.
class TwoChoices : public Policy {
 public:
  size_t choose(const RequestView&, const std::vector<Candidate>& candidates, Random& random) override {
    const size_t first = random.below(candidates.size());
    const size_t second = random.below(candidates.size());
    const auto load = [&](size_t position) {
      return candidates[position].reported_running + candidates[position].outstanding;
    };
    return load(second) < load(first) ? second : first;
  }
};

}  // namespace

std::unique_ptr<Policy> make_two_choices() { return std::make_unique<TwoChoices>(); }

}  // namespace stoat::placement
