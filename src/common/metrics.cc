#include "src/common/metrics.h"

#include <prometheus/text_serializer.h>

namespace stoat {

void Metrics::count(const std::string& name, const Labels& labels, double amount) {
  auto& family = counters_[name];
  if (family == nullptr) {
    family = &prometheus::BuildCounter().Name(name).Help("see docs/METRICS.md").Register(*registry_);
  }
  family->Add(labels).Increment(amount);
}

void Metrics::set(const std::string& name, double value, const Labels& labels) {
  auto& family = gauges_[name];
  if (family == nullptr) {
    family = &prometheus::BuildGauge().Name(name).Help("see docs/METRICS.md").Register(*registry_);
  }
  family->Add(labels).Set(value);
}

void Metrics::observe(const std::string& name, double seconds, const Labels& labels) {
  static const prometheus::Histogram::BucketBoundaries bucket_bounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                                                        0.8,  1.2,   2,    4,   8,   16};
  auto& family = histograms_[name];
  if (family == nullptr) {
    family = &prometheus::BuildHistogram().Name(name).Help("see docs/METRICS.md").Register(*registry_);
  }
  family->Add(labels, bucket_bounds).Observe(seconds);
}

std::string Metrics::to_text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace stoat
