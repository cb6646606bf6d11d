#ifndef DANDELIONSPUR_SERVICES_RUNTIME_FATAL_ERROR_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_FATAL_ERROR_H_

#include <utility>

namespace dandelionspur {

// From now on, an exception that nothing catches ends the process at once with
// ExitCode::kBroken and a last log line with the reason. It stands for a state
// that can't be trusted any more, while other processes recover from the loss
// of this one.
void EndProcessOnFatalErrors();

// Runs a step of a core, or what must be done completely once a core has
// decided it. An exception is fatal, since it leaves half a change behind that
// neither the core nor a replay knows of; no handler boundary around the call
// sees it.
template <typename Step>
void RunCoreStep(Step&& step) noexcept {
  std::forward<Step>(step)();
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_FATAL_ERROR_H_
