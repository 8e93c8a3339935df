/// Counters, gauges and histograms of one process, exposed in the Prometheus text format. Names are listed in
/// docs/METRICS.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace stoat {

/// Owns the metrics of a process. Must only be used from the event loop's thread.
class Metrics {
 public:
  Metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

  using Labels = std::map<std::string, std::string>;

  /// Adds `amount` to a counter, which is created on first use.
  void count(const std::string& name, const Labels& labels = {}, double amount = 1);
  /// Sets a gauge, which is created on first use.
  void set(const std::string& name, double value, const Labels& labels = {});
  /// Adds an observation in seconds to a histogram, which is created on first use.
  void observe(const std::string& name, double seconds, const Labels& labels = {});
  /// All metrics in the Prometheus text format.
  std::string to_text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

}  // namespace stoat
