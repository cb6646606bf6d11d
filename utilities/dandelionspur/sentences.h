#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_SENTENCES_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_SENTENCES_H_

#include <string>

#include "libraries/agent_core/agent_events.h"
#include "libraries/entry_core/entry_events.h"

namespace dandelionspur {

// What a recorded event or effect means for one job, in plain words. Empty
// for what an operator need not see.
std::string Describe(const EntryEvent& event, const JobKey& key);
std::string Describe(const EntryEffect& effect, const JobKey& key);
std::string Describe(const AgentEvent& event, const JobKey& key);
std::string Describe(const AgentEffect& effect, const JobKey& key);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_SENTENCES_H_
