#ifndef DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_COUNTERS_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_COUNTERS_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/verdict.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

// Returns the `kName` of each alternative of a variant, in order.
template <typename Variant>
std::vector<std::string> AlternativeNames() {
  std::vector<std::string> names;
  boost::mp11::mp_for_each<
      boost::mp11::mp_transform<boost::mp11::mp_identity, Variant>>(
      [&](auto identity) {
        names.emplace_back(decltype(identity)::type::kName);
      });
  return names;
}

inline std::vector<std::string> AllReasonNames() {
  std::vector<std::string> names;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Reason>>(
      [&](auto enumerator) {
        names.emplace_back(ReasonName(enumerator.value));
      });
  return names;
}

// Counts messages by kind, under one metric name.
template <typename Variant>
class MessageCounters {
 public:
  MessageCounters(Metrics& metrics, const std::string& name)
      : counters(metrics, name, "kind", AlternativeNames<Variant>()) {}
  void Count(const Variant& message) { this->counters.Count(message.index()); }

 private:
  CounterSet counters;
};

// Counts the bytes of messages by kind, under one metric name.
template <typename Variant>
class ByteCounters {
 public:
  ByteCounters(Metrics& metrics, const std::string& name)
      : counters(metrics, name, "kind", AlternativeNames<Variant>()) {}
  void Count(const Variant& message, std::size_t bytes) {
    this->counters.Count(message.index(), static_cast<double>(bytes));
  }

 private:
  CounterSet counters;
};

// Counts occurrences by Reason, under one metric name.
class ReasonCounters {
 public:
  ReasonCounters(Metrics& metrics, const std::string& name)
      : counters(metrics, name, "reason", AllReasonNames()) {}
  void Count(Reason reason) {
    this->counters.Count(static_cast<std::size_t>(reason));
  }

 private:
  CounterSet counters;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_COUNTERS_H_
