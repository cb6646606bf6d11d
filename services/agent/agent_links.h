#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>

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

 private:
  [[nodiscard]] LinkHandlers Handlers();
  void OnUp(EntryId entry, const FrameConnectionPointer& connection);
  void OnDown(EntryId entry, const FrameConnectionPointer& connection);
  // Ends the attempts to connect to entries that have left the view. One may
  // still pass on answers, so its open connection is kept until it closes.
  void StopObsoleteDialers();

  AgentId self;
  boost::asio::io_context& core;
  ThreadGroup& input_output;
  Metrics& metrics;
  AgentEventSink sink;
  MessageCounters<AgentMessage> messages;
  std::set<EntryId> members;
  std::map<EntryId, std::shared_ptr<LinkDialer>> dialers;
  std::map<EntryId, FrameConnectionPointer> entries;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_LINKS_H_
