#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/protocol/job.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// An agent as one entry tells another of it.
struct AgentSummary {
  AgentId agent;
  // Set once the agent is proven dead.
  std::optional<Timestamp> lost_at;
  // Nothing ran there when it ended.
  bool ended_idle = false;
};
BOOST_DESCRIBE_STRUCT(AgentSummary, (), (agent, lost_at, ended_idle))

// A key that an entry has heard of, and when first.
struct KnownKey {
  JobKey key;
  Timestamp first_seen;
};
BOOST_DESCRIBE_STRUCT(KnownKey, (), (key, first_seen))

// Sent when a connection opens and whenever the sender's view changes: what a
// new entry must know before it may decide anything.
struct PeerState {
  static constexpr const char* kName = "peer_state";
  View view;
  // Whether the sender knows of every agent that any entry uses.
  bool synchronized = false;
  std::vector<AgentSummary> agents;
  std::vector<BucketBallot> promises;
};
BOOST_DESCRIBE_STRUCT(PeerState, (), (view, synchronized, agents, promises))

// Asks for a promise to refuse everything under lower ballots.
struct PromiseRequest {
  static constexpr const char* kName = "promise_request";
  std::vector<BucketBallot> buckets;
};
BOOST_DESCRIBE_STRUCT(PromiseRequest, (), (buckets))

struct BucketPromise {
  BucketId bucket;
  // The ballot asked for if granted, else the higher one that forbids it.
  Ballot ballot;
  bool granted = false;
  std::vector<KnownKey> known;
  // The highest ballot that the sender had promised before.
  Ballot previous;
  // The last ballot under which the sender acted as home, and whether it then
  // knew every key of the bucket that had been started.
  Ballot held;
  bool knew_all_starts = false;
};
BOOST_DESCRIBE_STRUCT(BucketPromise, (),
                      (bucket, ballot, granted, known, previous, held,
                       knew_all_starts))

struct PromiseReply {
  static constexpr const char* kName = "promise_reply";
  std::vector<BucketPromise> buckets;
};
BOOST_DESCRIBE_STRUCT(PromiseReply, (), (buckets))

struct WitnessedKey {
  KnownKey known;
  Ballot ballot;
};
BOOST_DESCRIBE_STRUCT(WitnessedKey, (), (known, ballot))

// Asks to remember keys before their first start, or after the loss of
// another witness.
struct WitnessRequest {
  static constexpr const char* kName = "witness_request";
  std::vector<WitnessedKey> keys;
};
BOOST_DESCRIBE_STRUCT(WitnessRequest, (), (keys))

// The keys of a request that are now remembered under their ballots.
struct WitnessReply {
  static constexpr const char* kName = "witness_reply";
  std::vector<WitnessedKey> keys;
  // Higher ballots that kept the others from being witnessed.
  std::vector<BucketBallot> higher;
};
BOOST_DESCRIBE_STRUCT(WitnessReply, (), (keys, higher))

// Numbers the submissions of one relaying entry.
using AttemptNumber = StrongType<std::uint64_t, struct AttemptNumberTag>;

// Whether the sender of a relay remembers the key for as long as a witness
// must. An entry that is leaving does not.
BOOST_DEFINE_ENUM_CLASS(WitnessOffer, kOffered, kNone)

// Passes a whole job to its home. The sender is the job's witness if it offers
// so and the home's ballot is no lower than `promised`.
struct Relay {
  static constexpr const char* kName = "relay";
  AttemptNumber attempt;
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

// The receiver of a relay is not the home (any more); `promised` is the
// highest ballot that it knows.
struct RelayMoved {
  static constexpr const char* kName = "relay_moved";
  JobKey key;
  AttemptNumber attempt;
  Ballot promised;
};
BOOST_DESCRIBE_STRUCT(RelayMoved, (), (key, attempt, promised))

struct CancelJob {
  static constexpr const char* kName = "cancel_job";
  JobKey key;
};
BOOST_DESCRIBE_STRUCT(CancelJob, (), (key))

// Asks whether nothing above these ballots has been promised.
struct ConfirmRequest {
  static constexpr const char* kName = "confirm_request";
  std::uint64_t sequence = 0;
  std::vector<BucketBallot> buckets;
};
BOOST_DESCRIBE_STRUCT(ConfirmRequest, (), (sequence, buckets))

// The buckets of the request for which nothing higher was promised.
struct ConfirmReply {
  static constexpr const char* kName = "confirm_reply";
  std::uint64_t sequence = 0;
  std::vector<BucketId> confirmed;
  std::vector<BucketBallot> higher;
};
BOOST_DESCRIBE_STRUCT(ConfirmReply, (), (sequence, confirmed, higher))

// Gives another entry keys to remember: after a loss, by the home of their
// buckets; before a planned stop, by the entry that leaves.
struct HandOver {
  static constexpr const char* kName = "hand_over";
  std::uint64_t sequence = 0;
  // The sender's ballots for the keys' buckets; empty before a planned stop.
  std::vector<BucketBallot> buckets;
  std::vector<KnownKey> keys;
};
BOOST_DESCRIBE_STRUCT(HandOver, (), (sequence, buckets, keys))

struct HandOverReply {
  static constexpr const char* kName = "hand_over_reply";
  std::uint64_t sequence = 0;
  // Buckets of which the keys were not taken, since a higher ballot is known.
  std::vector<BucketBallot> higher;
};
BOOST_DESCRIBE_STRUCT(HandOverReply, (), (sequence, higher))

// Every member now knows every key of these buckets, so `lost` need no longer
// be asked about them.
struct Healed {
  static constexpr const char* kName = "healed";
  std::vector<BucketId> buckets;
  std::vector<EntryId> lost;
};
BOOST_DESCRIBE_STRUCT(Healed, (), (buckets, lost))

struct VersionedDocument {
  ServiceName service;
  DocumentVersion version;
  // The document as the operator wrote it.
  std::string text;
  bool operator==(const VersionedDocument&) const = default;
};
BOOST_DESCRIBE_STRUCT(VersionedDocument, (), (service, version, text))

struct DocumentPush {
  static constexpr const char* kName = "document_push";
  std::vector<VersionedDocument> documents;
};
BOOST_DESCRIBE_STRUCT(DocumentPush, (), (documents))

// The newest heartbeat of an agent that an entry, or one that told it, knows.
struct AgentSighting {
  AgentId agent;
  // By the agent's clock; tells new sightings from old ones that go round.
  Timestamp heartbeat;
  // Since it came.
  Duration age{};
};
BOOST_DESCRIBE_STRUCT(AgentSighting, (), (agent, heartbeat, age))

// What the sender of a heartbeat has from another entry.
struct PeerKnowledge {
  EntryId entry;
  // When, by that entry's clock, it sent the latest heartbeat that has come.
  Timestamp heard;
  // Age of the latest agents' heartbeats that are known of that entry.
  Duration informed_age{};
};
BOOST_DESCRIBE_STRUCT(PeerKnowledge, (), (entry, heard, informed_age))

struct PeerHeartbeat {
  static constexpr const char* kName = "peer_heartbeat";
  Epoch epoch;
  // The sender's clock.
  Timestamp sent_at;
  std::vector<PeerKnowledge> peers;
  // Agents that may still run tasks.
  std::vector<AgentSighting> sightings;
};
BOOST_DESCRIBE_STRUCT(PeerHeartbeat, (), (epoch, sent_at, peers, sightings))

using PeerMessage =
    std::variant<PeerState, PromiseRequest, PromiseReply, WitnessRequest,
                 WitnessReply, Relay, RelayAnswer, RelayMoved, CancelJob,
                 ConfirmRequest, ConfirmReply, HandOver, HandOverReply, Healed,
                 DocumentPush, PeerHeartbeat>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_ENTRY_MESSAGES_H_
