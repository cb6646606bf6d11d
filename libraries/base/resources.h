#ifndef DANDELIONSPUR_LIBRARIES_BASE_RESOURCES_H_
#define DANDELIONSPUR_LIBRARIES_BASE_RESOURCES_H_

#include <algorithm>
#include <boost/describe.hpp>
#include <cstdint>

namespace dandelionspur {

inline constexpr std::uint64_t kMillicoresPerCore = 1000;

// The resources that a task needs, or the capacity of an upstream.
struct Resources {
  // Thousandths of a processor core.
  std::uint64_t millicores = 0;
  std::uint64_t memory_megabytes = 0;
  std::uint64_t accelerators = 0;

  [[nodiscard]] bool FitsIn(const Resources& capacity) const {
    return this->millicores <= capacity.millicores &&
           this->memory_megabytes <= capacity.memory_megabytes &&
           this->accelerators <= capacity.accelerators;
  }
  Resources& operator+=(const Resources& other) {
    this->millicores += other.millicores;
    this->memory_megabytes += other.memory_megabytes;
    this->accelerators += other.accelerators;
    return *this;
  }
  bool operator==(const Resources&) const = default;
};
BOOST_DESCRIBE_STRUCT(Resources, (),
                      (millicores, memory_megabytes, accelerators))

inline Resources operator+(Resources left, const Resources& right) {
  return left += right;
}

// Subtracts `part` from `whole`; each amount is at least zero.
inline Resources Without(const Resources& whole, const Resources& part) {
  const auto left = [](std::uint64_t all, std::uint64_t used) {
    return all - std::min(all, used);
  };
  return {left(whole.millicores, part.millicores),
          left(whole.memory_megabytes, part.memory_megabytes),
          left(whole.accelerators, part.accelerators)};
}

// The need of a task that declares none, and the capacity of one slot of an
// upstream that announces slots: one core.
inline constexpr Resources kOneSlot{kMillicoresPerCore, 0, 0};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_RESOURCES_H_
