#include "tests/support/simulation_log.h"

#include <chrono>

namespace dandelionspur {

void SimulationLog::Append(const std::string& line) {
  const auto since_start =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->clock.SinceStart());
  this->lines.push_back(std::to_string(since_start.count()) + " ms: " + line);
}

std::string SimulationLog::Text() const {
  std::string text;
  for (const std::string& line : this->lines) text += line + "\n";
  return text;
}

std::string ShortName(const JobKey& key) {
  constexpr std::size_t kShownDigits = 4;
  return key.ToHex().substr(0, kShownDigits);
}

std::string ShortName(const TaskId& id) {
  return "task " + std::to_string(id.task.value()) + " of " + ShortName(id.key);
}

}  // namespace dandelionspur
