#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLOCK_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLOCK_H_

#include <chrono>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// The clock of all simulated processes. Only the simulation advances it.
class SimulatedClock {
 public:
  [[nodiscard]] Timestamp Now() const { return this->now; }
  [[nodiscard]] Duration SinceStart() const {
    return this->now.time_since_epoch() - kStart;
  }
  void Advance(Duration step) { this->now += step; }

 private:
  static constexpr Duration kStart = std::chrono::seconds(1'000'000);

  Timestamp now{kStart};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLOCK_H_
