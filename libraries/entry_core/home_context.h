#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_CONTEXT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_CONTEXT_H_

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/job_table.h"
#include "libraries/entry_core/outstanding_tasks.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/service_queues.h"

namespace dandelionspur {

// What the classes share that decide about the jobs of one home.
struct HomeContext {
  Ownership& ownership;
  AgentRegistry& agents;
  JobTable& jobs;
  ServiceQueues& queues;
  OutstandingTasks& outstanding;
  EntryOutbox& outbox;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_CONTEXT_H_
