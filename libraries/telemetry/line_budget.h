#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_

#include <array>
#include <boost/describe.hpp>
#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// What a log line tells of; each has a share of the budget of its own.
// kBelief: what this process believes has changed.
// kFailure: a request was refused or failed.
// kDetail: a request was late, had a task tried again, or is followed although
// nothing is wrong with it.
BOOST_DEFINE_ENUM_CLASS(LineClass, kBelief, kFailure, kDetail)

inline constexpr std::size_t kLineClasses = 3;

// Decides which lines may be written: so many a second, saved up for at most
// one second. Not safe for use from several threads.
class LineBudget {
 public:
  // `lines_per_second` of 0 lets nothing pass.
  explicit LineBudget(std::uint32_t lines_per_second);

  void SetRate(std::uint32_t lines_per_second);
  // Whether `count` lines that belong together may be written; all or none.
  bool Admit(LineClass line_class, std::size_t count, Timestamp now);

 private:
  std::uint32_t rate = 0;
  std::array<double, kLineClasses> left{};
  Timestamp refilled_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LINE_BUDGET_H_
