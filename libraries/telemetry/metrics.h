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

// The Prometheus metrics of one process. Names are given without the prefix
// "dandelionspur_". Families are created at start; counting is lock-free once
// a label set exists.
class Metrics {
 public:
  Metrics();

  // Adds `amount` to the counter with the given label value.
  void Count(const std::string& name, const std::string& label,
             std::string_view value, double amount = 1);
  // Sets a gauge that has no labels.
  void Set(const std::string& name, double value);
  // Sets the gauge with the given label value.
  void Set(const std::string& name, const std::string& label,
           std::string_view value, double amount);
  // Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string SerializeToText() const;
  // Returns the counter with the given label value, which is valid for the
  // lifetime of this object.
  prometheus::Counter& CounterFor(const std::string& name,
                                  const std::string& label,
                                  const std::string& value);
  // Returns the histogram, in seconds, with the given label value, which is
  // valid for the lifetime of this object.
  prometheus::Histogram& HistogramFor(const std::string& name,
                                      const std::string& label,
                                      const std::string& value);

 private:
  std::shared_ptr<prometheus::Registry> registry;
};

// The counters of a fixed list of label values, looked up once, so that
// counting is a single atomic addition.
class CounterSet {
 public:
  CounterSet(Metrics& metrics, const std::string& name,
             const std::string& label, const std::vector<std::string>& values);
  // `index` is the position of the label value in `values`.
  void Count(std::size_t index, double amount = 1) {
    this->counters[index]->Increment(amount);
  }

 private:
  std::vector<prometheus::Counter*> counters;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_METRICS_H_
