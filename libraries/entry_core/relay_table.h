#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/entry_core/caller_job.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// A relay (a forwarded submission) from another entry that arrived while this
// entry was acquiring, or about to acquire, the bucket.
struct ParkedRelay {
  EntryId from;
  Relay relay;
  Timestamp deadline;
};

// Submissions from callers of this entry whose home, the entry that owns the
// bucket of the job's key, is another entry or not yet determined. After any
// change of home the whole job is submitted again, under the same key, to the
// current home.
class RelayTable {
 public:
  RelayTable(const EntryCoreSettings& configured, Ownership& owner,
             PeerDirectory& directory, HomeJobs& jobs, EntryOutbox& effects);

  void Submit(const CallerJob& job, Timestamp now);
  // Accepts a relay from another entry for a bucket that is active here.
  void AcceptAtHome(EntryId from, const Relay& relay, Timestamp now);
  void Park(const ParkedRelay& parked);
  void OnAnswer(EntryId from, const RelayAnswer& answer);
  void OnMoved(EntryId from, const RelayMoved& moved, Timestamp now);
  // Marks the submissions relayed to the peer for another relay at the next
  // tick, since relays or their answers may have been lost.
  void ResubmitRelaysTo(EntryId peer);
  // Accepts the submissions and parked relays of these buckets at this entry,
  // which has become their home.
  void OnActivated(const std::vector<BucketId>& buckets, Timestamp now);
  // Returns the bucket's parked relays to their senders, which then submit them
  // to the new home.
  void OnBucketLost(BucketId bucket, Timestamp now);
  // Submits jobs again whose home has changed or is not connected, and answers
  // the callers of overdue jobs.
  void Tick(Timestamp now);

  // Stops offering this entry as witness, since it is draining.
  void StopWitnessing() { this->offer = WitnessOffer::kNone; }

  [[nodiscard]] std::size_t size() const { return this->relayed.size(); }
  // The memory that the relayed submissions take, approximately.
  [[nodiscard]] std::uint64_t HeldBytes() const;
  [[nodiscard]] std::uint64_t ParkedBytes() const;

 private:
  // Delay before a job is submitted to its new home. Limits how often a job is
  // passed between two entries that disagree about the home.
  static constexpr Duration kResubmitPause = std::chrono::milliseconds(20);

  struct Relayed {
    JobSubmission submission;
    Timestamp deadline;
    // At this time the callers are answered, even without an answer from the
    // home.
    Timestamp answer_by;
    std::vector<RequestId> callers;
    AttemptNumber attempt;
    // The entry that the latest attempt was sent to; nothing if the job must be
    // submitted again.
    std::optional<EntryId> target;
    // After an entry has returned the job, it is not submitted to that entry
    // again before this time, and to another one not before `move_from`.
    Timestamp submit_from;
    Timestamp move_from;
    std::optional<EntryId> returned_by;
    // The next pause before the job is submitted to the entry that returned it.
    Duration pause = kResubmitPause;
    // The entries that have neither refused nor returned their relays, with the
    // highest attempt sent to each.
    std::map<EntryId, AttemptNumber> pending;
    // Whether relays sent before this entry was the job's home are settled, and
    // none was returned after tasks were started for it.
    EarlierRelays earlier = EarlierRelays::kSettled;

    void SetDeadline(Timestamp end, Timestamp now);
  };

  void Route(Relayed& job, Timestamp now);
  // Whether a returned job must wait before it is submitted to `target`.
  [[nodiscard]] static bool MustPause(const Relayed& job, EntryId target,
                                      Timestamp now);
  // Records that the entry has refused or returned an attempt, which means that
  // it does not act on earlier attempts either.
  static void SettleAttempts(Relayed& job, EntryId entry,
                             AttemptNumber attempt);
  // Whether an entry may still act on a relay of the job, or may have started
  // tasks for one of which a new home does not learn.
  [[nodiscard]] EarlierRelays OpenRelays(const Relayed& job) const;
  // The sender of a relay if it is a witness under this entry's ballot, else
  // nothing.
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

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RELAY_TABLE_H_
