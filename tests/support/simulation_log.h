#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_LOG_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_LOG_H_

#include <string>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/simulated_clock.h"

namespace dandelionspur {

// The events of a simulation, one per line, with the simulated time in ms.
class SimulationLog {
 public:
  explicit SimulationLog(const SimulatedClock& simulated) : clock(simulated) {}

  void Append(const std::string& line);
  [[nodiscard]] std::string Text() const;

 private:
  const SimulatedClock& clock;
  std::vector<std::string> lines;
};

// The start of the key's hexadecimal form, by which log lines name a job.
std::string ShortName(const JobKey& key);
// Names a task in a log line.
std::string ShortName(const TaskId& id);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_LOG_H_
