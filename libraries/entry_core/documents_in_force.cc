#include "libraries/entry_core/documents_in_force.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <chrono>
#include <limits>
#include <string>

#include "libraries/configuration/stored_document.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

// An entry that reaches the table reads a change within this time of the first
// other one, also if a call to the table fails meanwhile.
constexpr Duration kReadPatience = std::chrono::milliseconds(1'000);
// As above, for an entry that has no document yet and so can't serve callers.
constexpr Duration kFirstReadPatience = std::chrono::milliseconds(250);
// A neighbour that has sent no part of its answer for this long is not waited
// for.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(1'000);

std::vector<KnownDocument> ListOf(
    const std::map<ServiceName, DocumentVersion>& versions) {
  std::vector<KnownDocument> list;
  list.reserve(versions.size());
  for (const auto& [service, version] : versions) {
    list.push_back({service, version});
  }
  return list;
}

DocumentSummary SummaryOf(const std::vector<KnownDocument>& versions) {
  constexpr std::uint64_t kMaximum = std::numeric_limits<std::uint64_t>::max();
  DocumentSummary summary;
  for (const KnownDocument& known : versions) {
    const std::uint64_t room = kMaximum - summary.version_total;
    summary.version_total += std::min(room, known.version.value());
  }
  const std::string encoded = WireCodec::ToMessagePack(versions);
  boost::crc_32_type checksum;
  checksum.process_bytes(encoded.data(), encoded.size());
  summary.checksum = checksum.checksum();
  return summary;
}

// The first of `entries`, which are in order and not empty, after `last`.
EntryId NextAfter(const std::vector<EntryId>& entries, EntryId last) {
  const auto next = std::upper_bound(entries.begin(), entries.end(), last);
  return next == entries.end() ? entries.front() : *next;
}

}  // namespace

DocumentsInForce::DocumentsInForce(const EntryCoreSettings& configured,
                                   const PeerDirectory& directory,
                                   HomeJobs& jobs, EntryOutbox& effects)
    : settings(configured),
      peers(directory),
      home(jobs),
      outbox(effects),
      last_asked(configured.self) {}

void DocumentsInForce::OnRead(const VersionedDocument& document,
                              Timestamp now) {
  this->Adopt(document, now);
}

void DocumentsInForce::OnPush(EntryId from, const DocumentPush& message,
                              Timestamp now) {
  if (this->request && this->request->neighbour == from) {
    this->request->active_at = now;
  }
  // Newest first, so that no version is parsed that a later one overtakes.
  std::vector<const VersionedDocument*> newest_first;
  for (const VersionedDocument& document : message.documents) {
    newest_first.push_back(&document);
  }
  std::stable_sort(newest_first.begin(), newest_first.end(),
                   [](const auto* first, const auto* second) {
                     return first->version > second->version;
                   });
  for (const VersionedDocument* document : newest_first) {
    this->Adopt(*document, now);
  }
}

void DocumentsInForce::OnHeartbeat(EntryId from, const PeerHeartbeat& message) {
  if (!message.documents) {
    this->SendUnasked(from);
    return;
  }
  DocumentSummary& known = this->neighbours[from];
  if (message.documents->summary) known = *message.documents->summary;
  if (!message.documents->request) return;
  Versions versions;
  for (const KnownDocument& listed : *message.documents->request) {
    versions[listed.service] = listed.version;
  }
  this->SendNewer(from, versions);
}

void DocumentsInForce::OnLinkChange(EntryId peer) {
  this->neighbours.erase(peer);
  this->sent_unasked.erase(peer);
  if (this->request && this->request->neighbour == peer) this->request.reset();
}

void DocumentsInForce::BeginRound(Timestamp now) {
  ++this->round;
  this->ChooseNamed();
  this->ChooseAsked(now);
}

DocumentNews DocumentsInForce::NewsFor(EntryId peer) const {
  DocumentNews news;
  if (this->named == peer) news.summary = this->in_force_summary;
  if (this->asked == peer) news.request = ListOf(this->received);
  return news;
}

void DocumentsInForce::Adopt(const VersionedDocument& document, Timestamp now) {
  DocumentVersion& known = this->received[document.service];
  if (document.version <= known) return;
  known = document.version;
  this->received_summary = SummaryOf(ListOf(this->received));
  // Whatever brought this document may bring the next one.
  if (this->behind_since) this->behind_since = now;
  const std::optional<ServiceDocument> parsed = ParseStoredDocument(document);
  if (!parsed) return;
  this->documents[document.service] = document;
  Versions versions;
  for (const auto& [service, current] : this->documents) {
    versions[service] = current.version;
  }
  this->in_force_summary = SummaryOf(ListOf(versions));
  this->home.ApplyDocument(*parsed);
  this->outbox.Add(DocumentInForce{document});
}

void DocumentsInForce::SendNewer(EntryId peer, const Versions& known) {
  for (const auto& [service, document] : this->documents) {
    const auto found = known.find(service);
    const bool has_it =
        found != known.end() && found->second >= document.version;
    // In a message of its own, so that others fit between two large ones.
    if (!has_it) this->outbox.ToPeer(peer, DocumentPush{{document}});
  }
}

void DocumentsInForce::SendUnasked(EntryId peer) {
  Versions& sent = this->sent_unasked[peer];
  this->SendNewer(peer, sent);
  for (const auto& [service, document] : this->documents) {
    sent[service] = document.version;
  }
}

void DocumentsInForce::ChooseNamed() {
  this->named.reset();
  const std::vector<EntryId> connected = this->peers.Connected();
  if (connected.empty() || this->documents.empty()) return;
  // Each entry counts from itself, so that at every round each one is named the
  // versions of about one other.
  const auto next =
      std::upper_bound(connected.begin(), connected.end(), this->settings.self);
  const auto first = static_cast<std::uint64_t>(next - connected.begin());
  this->named = connected[(first + this->round) % connected.size()];
}

void DocumentsInForce::ChooseAsked(Timestamp now) {
  this->asked.reset();
  const std::vector<EntryId> ahead = this->Ahead();
  if (ahead.empty()) {
    this->behind_since.reset();
    this->request.reset();
    return;
  }
  if (!this->behind_since) this->behind_since = now;
  const Duration patience =
      this->received.empty() ? kFirstReadPatience : kReadPatience;
  if (now - *this->behind_since < patience) return;
  const bool waits =
      this->request && now - this->request->active_at < kAnswerPatience;
  if (waits) return;
  this->last_asked = NextAfter(ahead, this->last_asked);
  this->asked = this->last_asked;
  this->request = {this->last_asked, now};
}

std::vector<EntryId> DocumentsInForce::Ahead() const {
  std::vector<EntryId> ahead;
  for (const auto& [peer, summary] : this->neighbours) {
    if (!this->peers.IsConnected(peer)) continue;
    // Without any document it is not worth waiting to be named some.
    const bool may_help = this->received.empty() || this->IsAhead(summary);
    if (may_help) ahead.push_back(peer);
  }
  return ahead;
}

bool DocumentsInForce::IsAhead(const DocumentSummary& other) const {
  // Versions only grow. An entry that lacks some that the other has, and has
  // none that the other lacks, has the lower total. Otherwise the one with the
  // lower total asks first and then has all; with equal totals, both ask.
  const DocumentSummary& own = this->received_summary;
  if (other.version_total != own.version_total) {
    return other.version_total > own.version_total;
  }
  return other.version_total > 0 && other.checksum != own.checksum;
}

}  // namespace dandelionspur
