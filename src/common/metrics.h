/// Counters, gauges and histograms of one process, served as Prometheus text. Names are listed in
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

/// Owns the process's metrics. Used from the loop's thread only.
class Metrics {
 public:
  Metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

  using Labels = std::map<std::string, std::string>;

  /// Adds to a counter, which is made at its first use.
  void count(const std::string& name, const Labels& labels = {}, double amount = 1);
  /// Sets a gauge, which is made at its first use.
  void set(const std::string& name, double value, const Labels& labels = {});
  /// Adds to a histogram of seconds, which is made at its first use.
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
