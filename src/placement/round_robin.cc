#include "src/placement/policy.h"

namespace stoat::placement {

namespace {

/// Takes the engines in turn. A baseline.
class RoundRobin : public Policy {
 public:
  size_t choose(const RequestView&, const std::vector<Candidate>& candidates, Random&) override {
    return next_++ % candidates.size();
  }

 private:
  size_t next_ = 0;
};

}  // namespace

std::unique_ptr<Policy> make_round_robin() { return std::make_unique<RoundRobin>(); }

}  // namespace stoat::placement
