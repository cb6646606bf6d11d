#include "services/agent/agent_links.h"

#include <boost/asio/dispatch.hpp>
#include <utility>

#include "services/runtime/message_decoding.h"
#include "services/runtime/silent_links.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

}  // namespace

AgentLinks::AgentLinks(AgentId own, asio::io_context& core_context,
                       ThreadGroup& threads, Metrics& counters,
                       AgentEventSink events)
    : self(own),
      core(core_context),
      input_output(threads),
      metrics(counters),
      sink(std::move(events)),
      messages(counters, "messages_to_entries_total") {}

LinkHandlers AgentLinks::Handlers() {
  LinkHandlers handlers;
  handlers.up = [this](const Hello& other,
                       const FrameConnectionPointer& connection) {
    asio::dispatch(this->core, [this, other, connection] {
      this->OnUp(EntryId(other.id), connection);
    });
  };
  handlers.frame = [this](const Hello& other, std::string_view body) {
    std::optional<EntryToAgentMessage> message =
        DecodeMessage<EntryToAgentMessage>(body);
    if (!message) return false;
    this->sink(EntryMessageReceived{EntryId(other.id), std::move(*message)});
    return true;
  };
  handlers.down = [this](const Hello& other,
                         const FrameConnectionPointer& connection) {
    asio::dispatch(this->core, [this, other, connection] {
      this->OnDown(EntryId(other.id), connection);
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

void AgentLinks::ConnectToMembers(const View& view) {
  const Hello own{ProcessRole::kAgent, this->self.value()};
  this->members.clear();
  for (const ViewMember& member : view.members) {
    const EntryId entry = member.entry;
    this->members.insert(entry);
    if (this->dialers.contains(entry)) continue;
    const Hello expected{ProcessRole::kEntry, entry.value()};
    const auto dialer =
        LinkDialer::Create(this->input_output.Next(), member.peer_endpoint, own,
                           expected, this->Handlers());
    this->dialers.emplace(entry, dialer);
    dialer->Start();
  }
  this->StopObsoleteDialers();
}

void AgentLinks::StopObsoleteDialers() {
  std::erase_if(this->dialers, [&](const auto& item) {
    const bool is_obsolete = !this->members.contains(item.first) &&
                             !this->entries.contains(item.first);
    if (is_obsolete) item.second->Stop();
    return is_obsolete;
  });
}

void AgentLinks::Send(EntryId to, AgentMessage message) {
  const auto found = this->entries.find(to);
  if (found == this->entries.end()) return;
  this->messages.Count(message);
  found->second->SendEncoded([sent = std::move(message)](std::string& bytes) {
    WireCodec::Append(sent, bytes);
  });
}

void AgentLinks::OnUp(EntryId entry, const FrameConnectionPointer& connection) {
  this->entries[entry] = connection;
  this->sink(EntryConnected{entry});
}

void AgentLinks::OnDown(EntryId entry,
                        const FrameConnectionPointer& connection) {
  const auto found = this->entries.find(entry);
  if (found == this->entries.end() || found->second != connection) return;
  this->entries.erase(found);
  this->StopObsoleteDialers();
  this->sink(EntryDisconnected{entry});
}

}  // namespace dandelionspur
