#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_METRICS_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionspur {

// The metrics of one process, in the exposition format of Prometheus.
// Families are created at start; counting is lock-free once a label set
// exists.
class Metrics {
 public:
  Metrics();

  // Adds to a counter with one label.
  void Count(const std::string& name, const std::string& label,
             std::string_view value, double amount = 1);
  void Set(const std::string& name, double value);
  [[nodiscard]] std::string Expose() const;
  // The counter of one label value; lives as long as this.
  prometheus::Counter& CounterFor(const std::string& name,
                                  const std::string& label,
                                  const std::string& value);
  // The histogram, in seconds, of one label value; lives as long as this.
  prometheus::Histogram& TimesFor(const std::string& name,
                                  const std::string& label,
                                  const std::string& value);

 private:
  std::shared_ptr<prometheus::Registry> registry;
};

// One counter for each of a fixed list of label values, looked up once, so
// that counting is a single atomic addition.
class CounterSet {
 public:
  CounterSet(Metrics& metrics, const std::string& name,
             const std::string& label, const std::vector<std::string>& values);
  void Count(std::size_t index, double amount = 1) {
    this->counters[index]->Increment(amount);
  }

 private:
  std::vector<prometheus::Counter*> counters;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_METRICS_H_
