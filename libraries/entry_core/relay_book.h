#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_BOOK_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// A submission that another entry relayed here while this entry was acquiring
// the bucket.
struct ParkedRelay {
  EntryId from;
  Relay relay;
  Timestamp deadline;
};

// The submissions that callers of this entry wait for and whose home is
// another entry, or is still being decided. One rule serves every change of
// home: the whole job is submitted to the home of now, under its key.
class RelayBook {
 public:
  RelayBook(const EntryCoreSettings& configured, Ownership& owner,
            PeerDirectory& directory, HomeJobs& jobs, EntryOutbox& effects);

  void Submit(const EvictedJob& job, Timestamp now);
  // A relay from another entry, for a bucket that is active here.
  void AcceptAtHome(EntryId from, const Relay& relay, Timestamp now);
  void Park(const ParkedRelay& parked);
  void OnAnswer(EntryId from, const RelayAnswer& answer);
  void OnMoved(EntryId from, const RelayMoved& moved, Timestamp now);
  // Passes a cancellation on; false if the key is not relayed from here.
  bool Cancel(const JobKey& key);
  // Relays to the peer, or their answers, may be lost: submits them again.
  void AskAgain(EntryId peer);
  // Hands what waits for these buckets to the jobs at home.
  void OnActivated(const std::vector<BucketId>& buckets, Timestamp now);
  // This entry lost the bucket: the entries whose relays are parked must turn
  // to the new home.
  void OnBucketLost(BucketId bucket, Timestamp now);
  // Submits again where the home has changed, and gives up what is overdue.
  void Tick(Timestamp now);

  // This entry is leaving: it offers itself as witness no more.
  void StopWitnessing() { this->offer = WitnessOffer::kNone; }

  [[nodiscard]] std::size_t size() const { return this->relayed.size(); }

 private:
  struct Relayed {
    JobSubmission submission;
    Timestamp deadline;
    // The callers get an answer then, whatever the home does.
    Timestamp answer_by;
    std::vector<RequestId> callers;
    AttemptNumber attempt;
    // Where the attempt went; nothing while no home is known.
    std::optional<EntryId> target;
    // Not before this time, after the home has moved.
    Timestamp submit_from;
    // The entries that may still act on a relay, each with the highest attempt
    // that it was sent.
    std::map<EntryId, AttemptNumber> open;
    // Of relays before this entry was the job's home.
    EarlierRelays earlier = EarlierRelays::kSettled;

    void SetDeadline(Timestamp end, Timestamp now);
  };

  void Route(Relayed& job, Timestamp now);
  // The entry has refused or returned an attempt, and so acts on no earlier one
  // either.
  static void Settle(Relayed& job, EntryId entry, AttemptNumber attempt);
  // Whether an entry may still act on what it was sent.
  [[nodiscard]] EarlierRelays OpenRelays(const Relayed& job) const;
  // The sender of a relay, if it is a witness under this entry's ballot.
  [[nodiscard]] std::optional<EntryId> WitnessOf(EntryId from,
                                                 const Relay& relay) const;
  void AnswerCallers(const Relayed& job, const JobAnswer& answer);

  EntryCoreSettings settings;
  Ownership& ownership;
  PeerDirectory& peers;
  HomeJobs& home;
  EntryOutbox& outbox;
  std::unordered_map<JobKey, Relayed> relayed;
  std::vector<ParkedRelay> parked_relays;
  std::uint64_t last_attempt = 0;
  WitnessOffer offer = WitnessOffer::kOffered;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_BOOK_H_
