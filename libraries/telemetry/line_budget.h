#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_

#include <array>
#include <boost/describe.hpp>
#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// The categories of log lines. Each has its own share of the line budget, so
// that a burst in one category doesn't suppress the others.
// kBelief: a change of this process's state or of its view of other processes.
// kFailure: a request was refused or failed.
// kDetail: a request was late, had a task retried, or was sampled although it
// has no fault.
BOOST_DEFINE_ENUM_CLASS(LogCategory, kBelief, kFailure, kDetail)

inline constexpr std::size_t kLogCategories = 3;

// A token bucket for each category of log lines, which limits the lines written
// per second and holds the tokens of at most one second. Not thread-safe.
class LineBudget {
 public:
  // With 0 `lines_per_second`, no line is admitted.
  explicit LineBudget(std::uint32_t lines_per_second);

  void SetRate(std::uint32_t lines_per_second);
  // Returns whether `count` lines of one group may be written, and takes their
  // tokens if so. Either all of the group are admitted or none.
  bool Admit(LogCategory log_category, std::size_t count, Timestamp now);

 private:
  std::uint32_t rate = 0;
  std::array<double, kLogCategories> tokens{};
  Timestamp refilled_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_
