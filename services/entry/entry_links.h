#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_LINKS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_LINKS_H_

#include <functional>
#include <map>
#include <memory>

#include "libraries/configuration/settings.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/network/endpoint_watch.h"
#include "libraries/network/link.h"
#include "libraries/network/link_pacer.h"
#include "services/runtime/message_counters.h"

namespace dandelionspur {

// Passes an event to the core. Safe from any thread; events of one thread stay
// in order.
using EntryEventSink = std::function<void(EntryEvent)>;

// The connections of an entry: one dialed to every other member, used to send;
// those dialed by the other members, used to receive; and those dialed by
// agents, used for both. Used on the core's thread only, except where noted.
class EntryLinks {
 public:
  static Result<std::unique_ptr<EntryLinks>> Create(
      const EntrySettings& settings, EntryId self,
      boost::asio::io_context& core, ThreadGroup& input_output,
      Metrics& counters, EntryEventSink event_sink);

  EntryLinks(const EntryLinks&) = delete;
  EntryLinks& operator=(const EntryLinks&) = delete;

  void ConnectToMembers(const View& view);
  // Relays and starts, which carry job bodies, are paced to the link; all other
  // messages are sent at once.
  void Send(EntryId to, PeerMessage message);
  void Send(AgentId to, EntryToAgentMessage message);
  // The relays and starts that wait for the link.
  [[nodiscard]] const LinkPacer& pacer() const { return this->link_pacer; }
  // The bytes sent to entries and agents since the last call.
  ByteUse TakeByteUse();
  // The bytes that the connections' sockets have not taken yet.
  [[nodiscard]] std::size_t unsent_bytes() const;
  // The same, for each connected entry.
  [[nodiscard]] std::map<EntryId, std::uint64_t> UnsentToPeers() const;
  // Records the admin endpoint at which an agent is probed once its connection
  // is lost.
  void SetAgentEndpoint(const AgentDescription& description);

 private:
  EntryLinks(const EntrySettings& settings, EntryId own,
             boost::asio::io_context& core_context, ThreadGroup& threads,
             Metrics& counters, EntryEventSink events);
  template <typename Message>
  static void Transmit(const FrameConnectionPointer& connection,
                       Message message, ByteCounters<Message>& counters);

  // The returned handlers and OnFrame() run on the connections' threads.
  [[nodiscard]] LinkHandlers ListenerHandlers();
  [[nodiscard]] LinkHandlers DialerHandlers(EntryId peer);
  bool OnFrame(const Hello& from, std::string_view body);

  void OnPeerUp(EntryId peer, const FrameConnectionPointer& connection);
  void OnPeerDown(EntryId peer, const FrameConnectionPointer& connection);
  void OnPeerRefuses(EntryId peer);
  void OnPeerReplaced(EntryId peer);
  void OnAgentRefuses(AgentId agent);
  void OnAgentUp(AgentId agent, const FrameConnectionPointer& connection);
  void OnAgentDown(AgentId agent, const FrameConnectionPointer& connection);
  void StopWatching(AgentId agent);

  EntryId self;
  boost::asio::io_context& core;
  ThreadGroup& input_output;
  Metrics& metrics;
  EntryEventSink sink;
  MessageCounters<PeerMessage> peer_messages;
  MessageCounters<EntryToAgentMessage> agent_messages;
  ByteCounters<PeerMessage> peer_bytes;
  ByteCounters<EntryToAgentMessage> agent_bytes;
  LinkPacer link_pacer;
  std::unique_ptr<LinkListener> listener;
  std::map<EntryId, std::shared_ptr<LinkDialer>> dialers;
  std::map<EntryId, FrameConnectionPointer> peers;
  std::map<AgentId, FrameConnectionPointer> agents;
  std::map<AgentId, Endpoint> agent_endpoints;
  // Probes of disconnected agents that have not refused a connection since.
  std::map<AgentId, std::shared_ptr<EndpointWatch>> endpoint_watches;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_LINKS_H_
