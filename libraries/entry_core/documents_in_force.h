#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_DOCUMENTS_IN_FORCE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_DOCUMENTS_IN_FORCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// The service documents that are in force at this entry, and how it gets those
// that it can't read from the table. Entries name the versions that they have,
// each to one other at every round of heartbeats. An entry that stays behind
// another asks one neighbour at a time for what it lacks. Versions only grow.
// docs/design/configuration.md has the argument.
class DocumentsInForce {
 public:
  DocumentsInForce(const EntryCoreSettings& configured,
                   const PeerDirectory& directory, HomeJobs& jobs,
                   EntryOutbox& effects);

  void OnRead(const VersionedDocument& document, Timestamp now);
  void OnPush(EntryId from, const DocumentPush& message, Timestamp now);
  void OnHeartbeat(EntryId from, const PeerHeartbeat& message);
  // The connection to the peer has opened or ended: nothing that was sent or
  // asked on an earlier one counts.
  void OnLinkChange(EntryId peer);

  // Begins a round of heartbeats: chooses to whom this entry names its versions
  // and whom it asks.
  void BeginRound(Timestamp now);
  // What the heartbeat of this round to the peer says.
  [[nodiscard]] DocumentNews NewsFor(EntryId peer) const;

  [[nodiscard]] const std::map<ServiceName, VersionedDocument>& all() const {
    return this->documents;
  }

 private:
  using Versions = std::map<ServiceName, DocumentVersion>;

  struct OpenRequest {
    EntryId neighbour;
    // When it was sent, or the latest part of its answer arrived.
    Timestamp active_at;
  };

  void Adopt(const VersionedDocument& document, Timestamp now);
  // Sends the peer each document that is newer than the version in `known`.
  void SendNewer(EntryId peer, const Versions& known);
  // For a peer of a version that asks for nothing.
  void SendUnasked(EntryId peer);
  void ChooseNamed();
  void ChooseAsked(Timestamp now);
  // The connected neighbours that can have documents that this entry lacks.
  [[nodiscard]] std::vector<EntryId> Ahead() const;
  [[nodiscard]] bool IsAhead(const DocumentSummary& other) const;

  EntryCoreSettings settings;
  const PeerDirectory& peers;
  HomeJobs& home;
  EntryOutbox& outbox;
  std::map<ServiceName, VersionedDocument> documents;
  // The highest versions that this entry has received, including those that it
  // can't parse and that therefore are not in force.
  Versions received;
  DocumentSummary in_force_summary;
  DocumentSummary received_summary;
  // The peers that ask for documents, and what they have named.
  std::map<EntryId, DocumentSummary> neighbours;
  // What the other peers were sent on their present connection.
  std::map<EntryId, Versions> sent_unasked;
  std::uint64_t round = 0;
  std::optional<EntryId> named;
  std::optional<EntryId> asked;
  // Since when this entry has lacked documents without getting any.
  std::optional<Timestamp> behind_since;
  std::optional<OpenRequest> request;
  EntryId last_asked;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_DOCUMENTS_IN_FORCE_H_
