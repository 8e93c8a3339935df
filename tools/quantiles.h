/// Quantiles over recorded samples.
#pragma once

#include <algorithm>
#include <vector>

namespace stoat::tools {

/// Collects samples and computes their quantiles.
class Samples {
 public:
  void add(double value) { values_.push_back(value); }
  size_t count() const { return values_.size(); }
  /// The value at quantile `q` in [0, 1] by the nearest-rank rule; 0 if there are no samples.
  double quantile(double q) const {
    if (values_.empty()) {
      return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<size_t>(q * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
  }

 private:
  std::vector<double> values_;
};

}  // namespace stoat::tools
