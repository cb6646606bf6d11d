#include "services/agent/agent_server.h"
#include "services/runtime/run_daemon.h"

int main(int argument_count, char** arguments) {
  using dandelionspur::AgentServer;
  using dandelionspur::AgentSettings;
  return dandelionspur::RunDaemon<AgentServer, AgentSettings>(
      {"dandelionspur-agent", "agent",
       "Runs tasks on its local upstream and prevents duplicate starts."},
      dandelionspur::ParseAgentSettings, argument_count, arguments);
}
