#include "tests/support/entry_mesh.h"

#include <string>
#include <variant>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr std::uint32_t kTicksPerRead = 4;
constexpr std::uint32_t kBuckets = 8;

}  // namespace

VersionedDocument DocumentWithRoutes(std::uint64_t version,
                                     std::uint32_t routes) {
  std::string text = R"({"service": "s", "owner": "o", "routes": [)";
  for (std::uint32_t i = 0; i < routes; ++i) {
    if (i > 0) text += ", ";
    text += R"({"host": "api.example", "path_prefix": "/v)" +
            std::to_string(version) + "/operations/" + std::to_string(i) +
            R"(/"})";
  }
  text += "]}";
  return {ServiceName("s"), DocumentVersion(version), text};
}

EntryMesh::EntryMesh(std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) this->Join();
}

std::size_t EntryMesh::Join() {
  const std::size_t joined = this->entries.size();
  EntryCoreSettings settings;
  settings.self = this->IdOf(joined);
  settings.bucket_count = kBuckets;
  Entry entry;
  entry.core = std::make_unique<EntryCore>(settings);
  this->entries.push_back(std::move(entry));
  ViewMember member;
  member.entry = settings.self;
  member.peer_endpoint.port = static_cast<std::uint16_t>(joined + 1);
  this->view = WithMember(this->view, member, this->time);
  for (std::size_t i = 0; i <= joined; ++i) {
    this->Handle(i, ViewRead{this->view});
  }
  for (std::size_t i = 0; i < joined; ++i) {
    this->Handle(i, PeerConnected{settings.self});
    this->Handle(joined, PeerConnected{this->IdOf(i)});
  }
  this->DeliverAll();
  return joined;
}

void EntryMesh::Advance(Duration span) {
  const Timestamp end = this->time + span;
  while (this->time < end) {
    this->time += kTick;
    ++this->ticks;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if ((this->ticks + i) % kTicksPerRead == 0) this->ReadTable(i);
      this->Handle(i, EntryTick{});
    }
    this->DeliverAll();
  }
}

void EntryMesh::WriteDocument(const VersionedDocument& written) {
  this->document = written;
}

void EntryMesh::ReadEvacuations(std::size_t entry,
                                const EvacuationSet& evacuations) {
  this->Handle(entry, EvacuationsRead{evacuations});
  this->DeliverAll();
}

const EvacuationSet& EntryMesh::EvacuationsAt(std::size_t entry) const {
  return this->entries[entry].core->evacuations();
}

void EntryMesh::CutFromTable(std::size_t entry) {
  this->entries[entry].reaches_table = false;
}

void EntryMesh::Lose(std::size_t entry) { this->entries[entry].lost = true; }

void EntryMesh::Deliver(EntryId from, std::size_t entry,
                        const PeerMessage& message) {
  this->Handle(entry, PeerMessageReceived{from, message});
  this->DeliverAll();
}

DocumentVersion EntryMesh::VersionAt(std::size_t entry) const {
  return this->DocumentAt(entry).version;
}

VersionedDocument EntryMesh::DocumentAt(std::size_t entry) const {
  const auto& documents = this->entries[entry].core->documents();
  const auto found = documents.find(ServiceName("s"));
  return found == documents.end() ? VersionedDocument() : found->second;
}

void EntryMesh::Handle(std::size_t entry, const EntryEvent& event) {
  if (this->entries[entry].lost) return;
  const EntryId self = this->IdOf(entry);
  for (const EntryEffect& effect :
       this->entries[entry].core->Handle(event, this->time)) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent == nullptr) continue;
    this->sent_bytes += WireCodec::ToMessagePack(sent->message).size();
    if (this->observer) this->observer(self, *sent);
    this->in_flight.push_back(
        {sent->to.value() - 1, PeerMessageReceived{self, sent->message}});
  }
}

void EntryMesh::DeliverAll() {
  while (!this->in_flight.empty()) {
    const Message message = std::move(this->in_flight.front());
    this->in_flight.pop_front();
    this->Handle(message.to, message.received);
  }
}

void EntryMesh::ReadTable(std::size_t entry) {
  Entry& reader = this->entries[entry];
  if (!reader.reaches_table || reader.read == this->document.version) return;
  reader.read = this->document.version;
  this->Handle(entry, DocumentRead{this->document});
}

}  // namespace dandelionspur
