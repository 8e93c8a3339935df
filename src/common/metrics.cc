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

std::string Metrics::to_text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace stoat
