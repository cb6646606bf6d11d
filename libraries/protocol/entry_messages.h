#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_

#include <boost/describe.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/protocol/evacuation.h"
#include "libraries/protocol/job.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// The state of an agent as one entry reports it to another.
struct AgentSummary {
  AgentId agent;
  // When the sender found the agent to be dead, by the sender's clock; not set
  // before.
  std::optional<Timestamp> lost_at;
  // Whether the lost agent is known to have had no running tasks at its end.
  bool ended_idle = false;
};
BOOST_DESCRIBE_STRUCT(AgentSummary, (), (agent, lost_at, ended_idle))

// A key of a job that an entry has recorded, and when any entry first saw it.
struct KnownKey {
  static constexpr std::size_t kRequiredMembers = 2;
  JobKey key;
  Timestamp first_seen;
  // The job was cancelled, so none of its tasks may start any more.
  bool cancelled = false;
};
BOOST_DESCRIBE_STRUCT(KnownKey, (), (key, first_seen, cancelled))

// Sent when a connection opens and whenever the sender's view changes. Carries
// the state that a new entry needs before it may make any decision.
struct PeerState {
  static constexpr const char* kName = "peer_state";
  static constexpr std::size_t kRequiredMembers = 4;
  View view;
  // Whether the sender has recorded every agent that any entry uses.
  bool synchronized = false;
  std::vector<AgentSummary> agents;
  std::vector<BucketBallot> promises;
  // Whether `agents` are all that the sender knows. A message that carries only
  // the view tells none, and earlier versions don't say.
  bool tells_agents = false;
};
BOOST_DESCRIBE_STRUCT(PeerState, (),
                      (view, synchronized, agents, promises, tells_agents))

// Asks for a promise to refuse all requests under lower ballots.
struct PromiseRequest {
  static constexpr const char* kName = "promise_request";
  static constexpr std::size_t kRequiredMembers = 1;
  std::vector<BucketBallot> buckets;
  // Returned in the reply; 0 from versions that do not number their requests.
  std::uint64_t sequence = 0;
  // The largest number of keys, or of started tasks, that the reply may list
  // before it ends; 0: not limited. The receiver then answers the buckets in
  // order, and promises nothing for those that the reply does not reach.
  std::uint32_t maximum_listed = 0;
  // If set, the sender has the keys of the first bucket up to this one.
  std::optional<JobKey> after;
};
BOOST_DESCRIBE_STRUCT(PromiseRequest, (),
                      (buckets, sequence, maximum_listed, after))

// Which part of the answer to a PromiseRequest a reply is.
struct PromisePart {
  // From the request; 0 from versions that list everything in one reply.
  std::uint64_t sequence = 0;
  // From the request: the first granted bucket's list begins after this key.
  std::optional<JobKey> after;
  // If set, the last granted bucket's list ends with this key and goes on.
  std::optional<JobKey> resume_after;
};
BOOST_DESCRIBE_STRUCT(PromisePart, (), (sequence, after, resume_after))

struct BucketPromise {
  BucketId bucket;
  // The requested ballot if granted, otherwise the higher ballot that the
  // sender has promised already.
  Ballot ballot;
  bool granted = false;
  // The keys of the bucket that the sender has recorded.
  std::vector<KnownKey> known;
  // The highest ballot that the sender had promised before.
  Ballot previous;
  // The last ballot under which the sender was the bucket's home, and whether
  // it had recorded every key of the bucket with a started task by then.
  Ballot held;
  bool knew_all_starts = false;
};
BOOST_DESCRIBE_STRUCT(BucketPromise, (),
                      (bucket, ballot, granted, known, previous, held,
                       knew_all_starts))

struct PromiseReply {
  static constexpr const char* kName = "promise_reply";
  static constexpr std::size_t kRequiredMembers = 1;
  std::vector<BucketPromise> buckets;
  PromisePart part;
};
BOOST_DESCRIBE_STRUCT(PromiseReply, (), (buckets, part))

// A key, and the ballot of the home for which a witness records it.
struct WitnessedKey {
  KnownKey known;
  Ballot ballot;
};
BOOST_DESCRIBE_STRUCT(WitnessedKey, (), (known, ballot))

// Asks the receiver to record keys as a witness: before the first start of
// their tasks, or after the loss of another witness.
struct WitnessRequest {
  static constexpr const char* kName = "witness_request";
  std::vector<WitnessedKey> keys;
};
BOOST_DESCRIBE_STRUCT(WitnessRequest, (), (keys))

// Lists the keys of a WitnessRequest that are now recorded under their ballots.
struct WitnessReply {
  static constexpr const char* kName = "witness_reply";
  static constexpr std::size_t kRequiredMembers = 2;
  std::vector<WitnessedKey> keys;
  // The higher ballots because of which the other keys were refused.
  std::vector<BucketBallot> higher;
  // The keys that were refused because the sender leaves the view. Earlier
  // versions refuse them without a reply.
  std::vector<WitnessedKey> declined;
};
BOOST_DESCRIBE_STRUCT(WitnessReply, (), (keys, higher, declined))

// Numbers the submissions that one entry relays.
using AttemptNumber = StrongType<std::uint64_t, struct AttemptNumberTag>;

// Whether the sender of a relay records the key for as long as a witness must.
// An entry that is shutting down does not.
BOOST_DEFINE_ENUM_CLASS(WitnessOffer, kOffered, kNone)

// Forwards a whole job to its home, the entry that owns the bucket of the job's
// key. The sender becomes the job's witness if `witness` is `kOffered` and the
// home's ballot is no lower than `promised`.
struct Relay {
  static constexpr const char* kName = "relay";
  AttemptNumber attempt;
  // The highest ballot that the sender has promised for the bucket.
  Ballot promised;
  WitnessOffer witness = WitnessOffer::kOffered;
  JobSubmission job;
};
BOOST_DESCRIBE_STRUCT(Relay, (), (attempt, promised, witness, job))

struct RelayAnswer {
  static constexpr const char* kName = "relay_answer";
  JobKey key;
  AttemptNumber attempt;
  Ballot ballot;
  JobAnswer answer;
};
BOOST_DESCRIBE_STRUCT(RelayAnswer, (), (key, attempt, ballot, answer))

// Whether the entry that returns a relay may have started tasks for it, or for
// an earlier relay of the same job by the same sender, of which a later home
// may not learn.
BOOST_DEFINE_ENUM_CLASS(RelayedStarts, kNone, kPossible)

// Refuses a relay because the receiver is not, or no longer, the job's home.
// `promised` is the highest ballot that it has promised for the bucket.
struct RelayMoved {
  static constexpr const char* kName = "relay_moved";
  static constexpr std::size_t kRequiredMembers = 3;
  JobKey key;
  AttemptNumber attempt;
  Ballot promised;
  RelayedStarts starts = RelayedStarts::kNone;
};
BOOST_DESCRIBE_STRUCT(RelayMoved, (), (key, attempt, promised, starts))

// What a CancelJob says.
// kUnconfirmed: the sender, of an earlier version, expects no confirmation.
// kRequested: the receiver is to record the cancelling, and to confirm it.
// kConfirmed: the sender has recorded the cancelling.
BOOST_DEFINE_ENUM_CLASS(CancelStep, kUnconfirmed, kRequested, kConfirmed)

// Tells that a job was cancelled. The home ends the job; every receiver records
// the cancelling under the job's key.
struct CancelJob {
  static constexpr const char* kName = "cancel_job";
  static constexpr std::size_t kRequiredMembers = 1;
  JobKey key;
  // The highest ballot that the sender has promised for the bucket.
  Ballot promised{};
  CancelStep step = CancelStep::kUnconfirmed;
};
BOOST_DESCRIBE_STRUCT(CancelJob, (), (key, promised, step))

// Asks the receiver to confirm that it has promised no higher ballots.
struct ConfirmRequest {
  static constexpr const char* kName = "confirm_request";
  std::uint64_t sequence = 0;
  std::vector<BucketBallot> buckets;
};
BOOST_DESCRIBE_STRUCT(ConfirmRequest, (), (sequence, buckets))

// Lists the buckets of a ConfirmRequest for which no higher ballot has been
// promised, and the higher ballots of the others.
struct ConfirmReply {
  static constexpr const char* kName = "confirm_reply";
  std::uint64_t sequence = 0;
  std::vector<BucketId> confirmed;
  std::vector<BucketBallot> higher;
};
BOOST_DESCRIBE_STRUCT(ConfirmReply, (), (sequence, confirmed, higher))

// Copies keys to another entry, which records them. Sent by the home of their
// buckets after the loss of an entry, and by an entry during its graceful
// shutdown.
struct HandOver {
  static constexpr const char* kName = "hand_over";
  std::uint64_t sequence = 0;
  // The sender's ballots for the keys' buckets; empty in a graceful shutdown.
  std::vector<BucketBallot> buckets;
  std::vector<KnownKey> keys;
};
BOOST_DESCRIBE_STRUCT(HandOver, (), (sequence, buckets, keys))

struct HandOverReply {
  static constexpr const char* kName = "hand_over_reply";
  std::uint64_t sequence = 0;
  // The buckets whose keys were refused, with the higher ballots that have been
  // promised for them.
  std::vector<BucketBallot> higher;
};
BOOST_DESCRIBE_STRUCT(HandOverReply, (), (sequence, higher))

// Announces that the keys of these buckets have been re-replicated to every
// member, so that the entries `lost` are no longer needed for their promises.
struct KeysReplicated {
  static constexpr const char* kName = "healed";
  std::vector<BucketId> buckets;
  std::vector<EntryId> lost;
};
BOOST_DESCRIBE_STRUCT(KeysReplicated, (), (buckets, lost))

struct VersionedDocument {
  ServiceName service;
  DocumentVersion version;
  // The document's JSON text as the operator wrote it.
  std::string text;
  bool operator==(const VersionedDocument&) const = default;
};
BOOST_DESCRIBE_STRUCT(VersionedDocument, (), (service, version, text))

// Answers a request for documents. An earlier version sends it at each change,
// and all documents when a connection opens.
struct DocumentPush {
  static constexpr const char* kName = "document_push";
  std::vector<VersionedDocument> documents;
};
BOOST_DESCRIBE_STRUCT(DocumentPush, (), (documents))

// Stands for the versions of all documents that are in force at an entry. Equal
// for equal versions; of two entries, the one with the lower total lacks some.
struct DocumentSummary {
  // The sum of the versions, or the largest number if it is larger.
  std::uint64_t version_total = 0;
  // CRC-32 of the encoded versions.
  std::uint32_t checksum = 0;
  bool operator==(const DocumentSummary&) const = default;
};
BOOST_DESCRIBE_STRUCT(DocumentSummary, (), (version_total, checksum))

struct KnownDocument {
  ServiceName service;
  DocumentVersion version;
};
BOOST_DESCRIBE_STRUCT(KnownDocument, (), (service, version))

// What a heartbeat says of the documents.
struct DocumentNews {
  static constexpr std::size_t kRequiredMembers = 2;
  // Of the documents that are in force at the sender. Not set in most
  // heartbeats.
  std::optional<DocumentSummary> summary;
  // If set, asks the receiver for each of its documents that is newer than the
  // listed version or not listed.
  std::optional<std::vector<KnownDocument>> request;
};
BOOST_DESCRIBE_STRUCT(DocumentNews, (), (summary, request))

// The newest heartbeat of an agent that the sender has received directly or
// from another entry.
struct AgentContact {
  AgentId agent;
  // When the agent sent it, by the agent's clock. Distinguishes new heartbeats
  // from older ones that entries still exchange.
  Timestamp heartbeat;
  // Time since an entry received it from the agent.
  Duration age{};
};
BOOST_DESCRIBE_STRUCT(AgentContact, (), (agent, heartbeat, age))

// What the sender of a heartbeat has received from another entry.
struct PeerContact {
  EntryId entry;
  // When that entry sent the newest heartbeat that has arrived, by its own
  // clock.
  Timestamp heard;
  // How long ago that entry sent the newest agent heartbeats that the sender
  // has from it, directly or through other entries.
  Duration informed_age{};
};
BOOST_DESCRIBE_STRUCT(PeerContact, (), (entry, heard, informed_age))

// Which agents and entries a heartbeat between entries covers.
// kAll: every entry, and every agent that may still run tasks.
// kRequested: the receiver, and what the receiver's latest heartbeat asked for.
// Of an agent that is not listed, the sender may have had contact just now.
BOOST_DEFINE_ENUM_CLASS(ContactCoverage, kAll, kRequested)

// Declared core times of queued tasks.
struct Backlog {
  // Of the jobs that can still meet their objective.
  Duration in_time{};
  // Of the others.
  Duration late{};

  [[nodiscard]] Duration Total() const { return this->in_time + this->late; }
  bool operator==(const Backlog&) const = default;
};
BOOST_DESCRIBE_STRUCT(Backlog, (), (in_time, late))

struct ServiceBacklog {
  ServiceName service;
  Backlog backlog;
};
BOOST_DESCRIBE_STRUCT(ServiceBacklog, (), (service, backlog))

struct PeerHeartbeat {
  static constexpr const char* kName = "peer_heartbeat";
  static constexpr std::size_t kRequiredMembers = 4;
  Epoch epoch;
  // By the sender's clock.
  Timestamp sent_at;
  std::vector<PeerContact> peers;
  std::vector<AgentContact> sightings;
  // Not set by versions that neither ask nor understand kRequested.
  std::optional<ContactCoverage> coverage;
  // The agents and entries that the sender does not hear itself, and asks the
  // receiver about.
  std::vector<AgentId> missing_agents;
  std::vector<EntryId> missing_entries;
  // The requested agents that the sender knows to be lost.
  std::vector<AgentSummary> lost_agents;
  // Not set by versions that don't ask for documents.
  std::optional<DocumentNews> documents;
  // The sender is behind with its events and shouldn't be home of buckets that
  // it isn't home of.
  bool declines_buckets = false;
  // The evacuated data centres that the sender knows. Not set as long as it
  // knows of no evacuation.
  std::optional<EvacuationSet> evacuations;
  // The services for which the sender queues tasks.
  std::vector<ServiceBacklog> backlogs;
};
BOOST_DESCRIBE_STRUCT(PeerHeartbeat, (),
                      (epoch, sent_at, peers, sightings, coverage,
                       missing_agents, missing_entries, lost_agents, documents,
                       declines_buckets, evacuations, backlogs))

using PeerMessage =
    std::variant<PeerState, PromiseRequest, PromiseReply, WitnessRequest,
                 WitnessReply, Relay, RelayAnswer, RelayMoved, CancelJob,
                 ConfirmRequest, ConfirmReply, HandOver, HandOverReply,
                 KeysReplicated, DocumentPush, PeerHeartbeat>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_
