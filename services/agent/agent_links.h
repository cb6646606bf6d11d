#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_

#include <functional>
#include <map>
#include <memory>

#include "libraries/agent_core/agent_events.h"
#include "libraries/network/link.h"
#include "services/runtime/message_counters.h"

namespace dandelionspur {

// Passes an event to the core. Safe from any thread.
using AgentEventSink = std::function<void(AgentEvent)>;

// An agent's connections to the entries. Used on the core's thread only.
class AgentLinks {
 public:
  AgentLinks(AgentId own, boost::asio::io_context& core_context,
             ThreadGroup& threads, Metrics& counters, AgentEventSink events);
  AgentLinks(const AgentLinks&) = delete;
  AgentLinks& operator=(const AgentLinks&) = delete;

  void ConnectToMembers(const View& view);
  void Send(EntryId to, AgentMessage message);
  [[nodiscard]] bool AnyConnected() const { return !this->entries.empty(); }

 private:
  [[nodiscard]] LinkHandlers Handlers();
  void OnUp(EntryId entry, const FrameConnectionPointer& connection);
  void OnDown(EntryId entry, const FrameConnectionPointer& connection);

  AgentId self;
  boost::asio::io_context& core;
  ThreadGroup& input_output;
  Metrics& metrics;
  AgentEventSink sink;
  MessageCounters<AgentMessage> messages;
  std::map<EntryId, std::shared_ptr<LinkDialer>> dialers;
  std::map<EntryId, FrameConnectionPointer> entries;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_
