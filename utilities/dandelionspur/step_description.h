#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_STEP_DESCRIPTION_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_STEP_DESCRIPTION_H_

#include <string>

#include "libraries/agent_core/agent_events.h"
#include "libraries/entry_core/entry_events.h"

namespace dandelionspur {

// A recorded event or effect as one line of text for operators. Only the parts
// that concern the job of `key` are described; empty if there are none.
std::string Describe(const EntryEvent& event, const JobKey& key);
std::string Describe(const EntryEffect& effect, const JobKey& key);
std::string Describe(const AgentEvent& event, const JobKey& key);
std::string Describe(const AgentEffect& effect, const JobKey& key);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_STEP_DESCRIPTION_H_
