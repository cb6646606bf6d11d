#ifndef DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_COUNTERS_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_COUNTERS_H_

#include <atomic>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cstdint>
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

// The bytes of all messages in an interval, and of the kind with the most.
struct ByteUse {
  std::uint64_t bytes = 0;
  std::string largest_kind;
  std::uint64_t largest_bytes = 0;

  void Add(const ByteUse& other) {
    this->bytes += other.bytes;
    if (other.largest_bytes <= this->largest_bytes) return;
    this->largest_kind = other.largest_kind;
    this->largest_bytes = other.largest_bytes;
  }
};

// Counts the bytes of messages by kind, under one metric name. Safe from any
// thread.
template <typename Variant>
class ByteCounters {
 public:
  ByteCounters(Metrics& metrics, const std::string& name)
      : kinds(AlternativeNames<Variant>()),
        counters(metrics, name, "kind", kinds),
        in_interval(kinds.size()) {}
  void Count(const Variant& message, std::size_t bytes) {
    this->counters.Count(message.index(), static_cast<double>(bytes));
    this->in_interval[message.index()] += bytes;
  }
  // Returns the use since the last call.
  ByteUse TakeInterval() {
    ByteUse use;
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
      const std::uint64_t bytes = this->in_interval[i].exchange(0);
      use.bytes += bytes;
      if (bytes <= use.largest_bytes) continue;
      use.largest_kind = this->kinds[i];
      use.largest_bytes = bytes;
    }
    return use;
  }

 private:
  std::vector<std::string> kinds;
  CounterSet counters;
  std::vector<std::atomic<std::uint64_t>> in_interval;
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
