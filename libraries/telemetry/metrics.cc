#include "libraries/telemetry/metrics.h"

#include <prometheus/text_serializer.h>

namespace dandelionspur {
namespace {

const prometheus::Histogram::BucketBoundaries& DurationBoundaries() {
  static const prometheus::Histogram::BucketBoundaries boundaries = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
  return boundaries;
}

}  // namespace

Metrics::Metrics() : registry(std::make_shared<prometheus::Registry>()) {}

void Metrics::Count(const std::string& name, const std::string& label,
                    std::string_view value, double amount) {
  this->CounterFor(name, label, std::string(value)).Increment(amount);
}

prometheus::Counter& Metrics::CounterFor(const std::string& name,
                                         const std::string& label,
                                         const std::string& value) {
  return prometheus::BuildCounter()
      .Name("dandelionspur_" + name)
      .Register(*this->registry)
      .Add({{label, value}});
}

void Metrics::Set(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name("dandelionspur_" + name)
      .Register(*this->registry)
      .Add({})
      .Set(value);
}

void Metrics::Set(const std::string& name, const std::string& label,
                  std::string_view value, double amount) {
  prometheus::BuildGauge()
      .Name("dandelionspur_" + name)
      .Register(*this->registry)
      .Add({{label, std::string(value)}})
      .Set(amount);
}

prometheus::Histogram& Metrics::HistogramFor(const std::string& name,
                                             const std::string& label,
                                             const std::string& value) {
  return prometheus::BuildHistogram()
      .Name("dandelionspur_" + name)
      .Register(*this->registry)
      .Add({{label, value}}, DurationBoundaries());
}

std::string Metrics::SerializeToText() const {
  return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

CounterSet::CounterSet(Metrics& metrics, const std::string& name,
                       const std::string& label,
                       const std::vector<std::string>& values) {
  this->counters.reserve(values.size());
  for (const std::string& value : values) {
    this->counters.push_back(&metrics.CounterFor(name, label, value));
  }
}

}  // namespace dandelionspur
