#include <algorithm>
#include <limits>

#include "src/common/hash.h"
#include "src/placement/policy.h"

namespace stoat::placement {

namespace {

/// Estimates within this share of the prefill cost of the whole prompt count as equal.
constexpr double kTieShare = 0.05;
constexpr double kTieFloorUs = 2000;
/// Time that each running request adds to the batch iterations before the first token, in microseconds.
constexpr double kRunningUs = 150;

/// The project's own policy: the lowest expected time to first token. See docs/design/placement.md.
class LowestTtft : public Policy {
 public:
  explicit LowestTtft(const CostModel& costs) : costs_(costs) {}

  size_t choose(const RequestView& request, const std::vector<Candidate>& candidates,
                Random& random) override {
    estimates_.clear();
    double lowest = std::numeric_limits<double>::max();
    for (const Candidate& candidate : candidates) {
      estimates_.push_back(estimate(request, candidate));
      lowest = std::min(lowest, estimates_.back());
    }
    const double bound = lowest + std::max(kTieFloorUs, kTieShare * costs_.prefill_us(request.prompt_tokens));
    return break_tie(request, candidates, bound, random);
  }

 private:
  double estimate(const RequestView& request, const Candidate& candidate) const {
    uint32_t missing = request.prompt_tokens - std::min(request.prompt_tokens, candidate.cached_tokens);
    const uint32_t importable =
        request.stored_tokens - std::min(request.stored_tokens, candidate.cached_tokens);
    double import_us = 0;
    if (costs_.import_pays(importable)) {
      missing -= std::min(missing, importable);
      import_us = costs_.import_us(importable);
    }
    // The report lags and counts this router's requests too; what is pending is known exactly.
    const double queued = std::max(candidate.reported_tokens, candidate.pending_tokens);
    const double running = std::max(candidate.reported_running, candidate.outstanding);
    return costs_.base_us() + costs_.prefill_us(queued + missing) + import_us + kRunningUs * running;
  }

  /// Among equals: the one that holds most of the prompt; when none holds any, a stable choice by the prefix,
  /// so that requests with the same beginning meet on the same engine before any feed has told of it.
  size_t break_tie(const RequestView& request, const std::vector<Candidate>& candidates, double bound,
                   Random& random) const {
    size_t best = candidates.size();
    uint64_t best_weight = 0;
    for (size_t position = 0; position < candidates.size(); ++position) {
      if (estimates_[position] > bound) {
        continue;
      }
      const bool any_cached = candidates[position].cached_tokens > 0;
      const uint64_t weight =
          any_cached ? random.bits() : hash_pair(request.prefix_key, candidates[position].name_hash);
      const bool more_cached =
          best == candidates.size() || candidates[position].cached_tokens > candidates[best].cached_tokens;
      const bool equal = best != candidates.size() &&
                         candidates[position].cached_tokens == candidates[best].cached_tokens &&
                         weight > best_weight;
      if (more_cached || equal) {
        best = position;
        best_weight = weight;
      }
    }
    return best;
  }

  const CostModel& costs_;
  std::vector<double> estimates_;
};

}  // namespace

std::unique_ptr<Policy> make_lowest_ttft(const CostModel& costs) {
  return std::make_unique<LowestTtft>(costs);
}

}  // namespace stoat::placement
