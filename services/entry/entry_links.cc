#include "services/entry/entry_links.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "services/runtime/message_decoding.h"
#include "services/runtime/silent_links.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

std::size_t BodyBytes(const JobSubmission& job) {
  std::size_t bytes = job.shared_body ? job.shared_body->size() : 0;
  for (const TaskRequest& task : job.tasks) bytes += task.body.size();
  return bytes;
}

}  // namespace

Result<std::unique_ptr<EntryLinks>> EntryLinks::Create(
    const EntrySettings& settings, EntryId self, asio::io_context& core,
    ThreadGroup& input_output, Metrics& counters, EntryEventSink event_sink) {
  std::unique_ptr<EntryLinks> links(new EntryLinks(
      settings, self, core, input_output, counters, std::move(event_sink)));
  const Hello own{ProcessRole::kEntry, self.value()};
  BOOST_LEAF_AUTO(bound, LinkListener::Create(settings.peers, input_output, own,
                                              links->ListenerHandlers()));
  links->listener = std::move(bound);
  return links;
}

EntryLinks::EntryLinks(const EntrySettings& settings, EntryId own,
                       asio::io_context& core_context, ThreadGroup& threads,
                       Metrics& counters, EntryEventSink events)
    : self(own),
      core(core_context),
      input_output(threads),
      metrics(counters),
      sink(std::move(events)),
      peer_messages(counters, "messages_to_entries_total"),
      agent_messages(counters, "messages_to_agents_total"),
      peer_bytes(counters, "bytes_to_entries_total"),
      agent_bytes(counters, "bytes_to_agents_total"),
      link_pacer(core_context,
                 LinkPacer::RateFor(settings.link_bytes_per_second)) {}

LinkHandlers EntryLinks::ListenerHandlers() {
  LinkHandlers handlers;
  handlers.up = [this](const Hello& other,
                       const FrameConnectionPointer& connection) {
    asio::dispatch(this->core, [this, other, connection] {
      if (other.role == ProcessRole::kAgent) {
        this->OnAgentUp(AgentId(other.id), connection);
      } else {
        this->sink(PeerLinkRenewed{EntryId(other.id)});
      }
    });
  };
  handlers.frame = [this](const Hello& other, std::string_view body) {
    return this->OnFrame(other, body);
  };
  handlers.down = [this](const Hello& other,
                         const FrameConnectionPointer& connection) {
    // Messages lost with a peer's connection are requested again when the peer
    // has reconnected.
    if (other.role != ProcessRole::kAgent) return;
    asio::dispatch(this->core, [this, other, connection] {
      this->OnAgentDown(AgentId(other.id), connection);
    });
  };
  handlers.silent = [this](const Hello& other, const LinkSilence& silence) {
    ReportSilentLink(other, silence, this->metrics);
  };
  handlers.frame_error = [this](FrameError error) {
    this->metrics.Count("bad_frames_total", "error",
                        boost::describe::enum_to_string(error, "unknown"));
  };
  return handlers;
}

LinkHandlers EntryLinks::DialerHandlers(EntryId peer) {
  LinkHandlers handlers;
  handlers.up = [this](const Hello& other,
                       const FrameConnectionPointer& connection) {
    asio::dispatch(this->core, [this, other, connection] {
      this->OnPeerUp(EntryId(other.id), connection);
    });
  };
  // The peer sends on the connection that it dials itself, so a frame on this
  // one is a protocol error.
  handlers.frame = [](const Hello&, std::string_view) { return false; };
  handlers.down = [this](const Hello& other,
                         const FrameConnectionPointer& connection) {
    asio::dispatch(this->core, [this, other, connection] {
      this->OnPeerDown(EntryId(other.id), connection);
    });
  };
  handlers.silent = [this](const Hello& other, const LinkSilence& silence) {
    ReportSilentLink(other, silence, this->metrics);
  };
  handlers.refused = [this, peer] {
    asio::dispatch(this->core, [this, peer] { this->OnPeerRefuses(peer); });
  };
  handlers.replaced = [this, peer] {
    asio::dispatch(this->core, [this, peer] { this->OnPeerReplaced(peer); });
  };
  return handlers;
}

bool EntryLinks::OnFrame(const Hello& from, std::string_view body) {
  if (from.role == ProcessRole::kEntry) {
    std::optional<PeerMessage> message = DecodeMessage<PeerMessage>(body);
    if (!message) return false;
    this->sink(PeerMessageReceived{EntryId(from.id), std::move(*message)});
    return true;
  }
  std::optional<AgentMessage> message = DecodeMessage<AgentMessage>(body);
  if (!message) return false;
  this->sink(AgentMessageReceived{AgentId(from.id), std::move(*message)});
  return true;
}

void EntryLinks::ConnectToMembers(const View& view) {
  const Hello own{ProcessRole::kEntry, this->self.value()};
  for (const ViewMember& member : view.members) {
    const EntryId peer = member.entry;
    if (peer == this->self || this->dialers.contains(peer)) continue;
    const Hello expected{ProcessRole::kEntry, peer.value()};
    const auto dialer =
        LinkDialer::Create(this->input_output.Next(), member.peer_endpoint, own,
                           expected, this->DialerHandlers(peer));
    this->dialers.emplace(peer, dialer);
    dialer->Start();
  }
}

void EntryLinks::Send(EntryId to, PeerMessage message) {
  const auto found = this->peers.find(to);
  if (found == this->peers.end()) return;
  this->peer_messages.Count(message);
  const auto* relay = std::get_if<Relay>(&message);
  if (relay == nullptr) {
    Transmit(found->second, std::move(message), this->peer_bytes);
    return;
  }
  const std::size_t size = kJobMessageHeaderBytes + BodyBytes(relay->job);
  this->link_pacer.Send(
      size, [this, connection = found->second, sent = std::move(message)] {
        Transmit(connection, sent, this->peer_bytes);
      });
}

template <typename Message>
void EntryLinks::Transmit(const FrameConnectionPointer& connection,
                          Message message, ByteCounters<Message>& counters) {
  connection->SendEncoded(
      [sent = std::move(message), &counters](std::string& bytes) {
        const std::size_t before = bytes.size();
        WireCodec::Append(sent, bytes);
        counters.Count(sent, bytes.size() - before + kFrameHeaderSize);
      });
}

void EntryLinks::Send(AgentId to, EntryToAgentMessage message) {
  const auto found = this->agents.find(to);
  if (found == this->agents.end()) return;
  this->agent_messages.Count(message);
  const auto* start = std::get_if<Start>(&message);
  if (start == nullptr) {
    Transmit(found->second, std::move(message), this->agent_bytes);
    return;
  }
  const std::size_t size = kJobMessageHeaderBytes + start->request.body.size();
  this->link_pacer.Send(
      size, [this, connection = found->second, sent = std::move(message)] {
        Transmit(connection, sent, this->agent_bytes);
      });
}

ByteUse EntryLinks::TakeByteUse() {
  ByteUse use = this->peer_bytes.TakeInterval();
  use.Add(this->agent_bytes.TakeInterval());
  return use;
}

std::size_t EntryLinks::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [peer, connection] : this->peers) {
    bytes += connection->unsent_bytes();
  }
  for (const auto& [agent, connection] : this->agents) {
    bytes += connection->unsent_bytes();
  }
  return bytes;
}

std::map<EntryId, std::uint64_t> EntryLinks::UnsentToPeers() const {
  std::map<EntryId, std::uint64_t> unsent;
  for (const auto& [peer, connection] : this->peers) {
    unsent.emplace(peer, connection->unsent_bytes());
  }
  return unsent;
}

void EntryLinks::SetAgentEndpoint(const AgentDescription& description) {
  // A new agent process has bound this address, so all earlier processes at it
  // are dead and need no probe.
  for (const auto& [agent, endpoint] : this->agent_endpoints) {
    if (endpoint == description.admin_endpoint) this->StopWatching(agent);
  }
  this->agent_endpoints[description.agent] = description.admin_endpoint;
}

void EntryLinks::OnPeerUp(EntryId peer,
                          const FrameConnectionPointer& connection) {
  this->peers[peer] = connection;
  this->sink(PeerConnected{peer});
}

void EntryLinks::OnPeerDown(EntryId peer,
                            const FrameConnectionPointer& connection) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end() || found->second != connection) return;
  this->peers.erase(found);
  this->sink(PeerDisconnected{peer});
}

void EntryLinks::OnPeerRefuses(EntryId peer) {
  this->metrics.Count("connections_refused_total", "by", "entry");
  this->sink(PeerRefusesConnections{peer});
}

void EntryLinks::OnPeerReplaced(EntryId peer) {
  const auto found = this->dialers.find(peer);
  if (found != this->dialers.end()) found->second->Stop();
  this->sink(PeerProvenDead{peer});
}

void EntryLinks::OnAgentUp(AgentId agent,
                           const FrameConnectionPointer& connection) {
  const auto found = this->agents.find(agent);
  if (found != this->agents.end()) {
    found->second->Close();
    this->agents.erase(found);
    this->sink(AgentDisconnected{agent});
  }
  this->StopWatching(agent);
  this->agents[agent] = connection;
  this->sink(AgentConnected{agent});
}

void EntryLinks::OnAgentDown(AgentId agent,
                             const FrameConnectionPointer& connection) {
  const auto found = this->agents.find(agent);
  if (found == this->agents.end() || found->second != connection) return;
  this->agents.erase(found);
  this->sink(AgentDisconnected{agent});
  const auto endpoint = this->agent_endpoints.find(agent);
  if (endpoint == this->agent_endpoints.end()) return;
  this->endpoint_watches[agent] = EndpointWatch::Start(
      this->input_output.Next(), endpoint->second, [this, agent] {
        asio::post(this->core, [this, agent] { this->OnAgentRefuses(agent); });
      });
}

void EntryLinks::OnAgentRefuses(AgentId agent) {
  // The agent has connected again, or another process has taken its address.
  if (!this->endpoint_watches.contains(agent)) return;
  this->StopWatching(agent);
  this->metrics.Count("connections_refused_total", "by", "agent");
  this->sink(AgentRefusesConnections{agent});
}

void EntryLinks::StopWatching(AgentId agent) {
  const auto watch = this->endpoint_watches.find(agent);
  if (watch == this->endpoint_watches.end()) return;
  watch->second->Stop();
  this->endpoint_watches.erase(watch);
}

}  // namespace dandelionspur
