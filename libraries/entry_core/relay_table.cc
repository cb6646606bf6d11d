#include "libraries/entry_core/relay_table.h"

#include <algorithm>
#include <utility>

#include "libraries/entry_core/answer_times.h"

namespace dandelionspur {
namespace {

// Each return of a job doubles the pause before it is submitted to the same
// entry, up to this one: views reach all entries within 400 ms.
constexpr Duration kLongestPause = std::chrono::milliseconds(320);

}  // namespace

RelayTable::RelayTable(const EntryCoreSettings& configured, Ownership& owner,
                       PeerDirectory& directory, HomeJobs& jobs,
                       EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      peers(directory),
      home(jobs),
      outbox(effects) {}

void RelayTable::Submit(const CallerJob& submitted, Timestamp now) {
  const JobSubmission& submission = submitted.submission;
  const std::vector<RequestId>& callers = submitted.callers;
  const auto existing = this->relayed.find(submission.key);
  if (existing != this->relayed.end()) {
    Relayed& job = existing->second;
    const bool only_joined = job.submission.kind == SubmissionKind::kJoin;
    if (!only_joined && !submission.Matches(job.submission.body_digest)) {
      for (const RequestId caller : callers) {
        this->outbox.Answer(caller, submission.key,
                            JobAnswer::MayHaveRun(Reason::kKeyReused));
      }
      return;
    }
    job.callers.insert(job.callers.end(), callers.begin(), callers.end());
    if (submitted.earlier == EarlierRelays::kOpen) {
      job.earlier = submitted.earlier;
    }
    if (only_joined && submission.kind == SubmissionKind::kRun) {
      job.submission = submission;
      job.SetDeadline(submitted.deadline, now);
      this->Route(job, now);
    }
    return;
  }
  Relayed& job = this->relayed[submission.key];
  job.submission = submission;
  job.SetDeadline(submitted.deadline, now);
  job.callers = callers;
  job.earlier = submitted.earlier;
  this->Route(job, now);
}

void RelayTable::Relayed::SetDeadline(Timestamp end, Timestamp now) {
  this->deadline = end;
  this->answer_by = DecideBy(end, end - now, kCallerAnswerLead);
}

void RelayTable::Park(const ParkedRelay& parked) {
  this->parked_relays.push_back(parked);
}

void RelayTable::Route(Relayed& job, Timestamp now) {
  const JobKey key = job.submission.key;
  const BucketId bucket = this->ownership.BucketOfKey(key);
  job.target.reset();
  JobSubmission submission = job.submission;
  submission.SetTimeLeft(job.deadline - now);
  if (this->ownership.IsActive(bucket)) {
    const std::vector<RequestId> callers = job.callers;
    const EarlierRelays earlier = this->OpenRelays(job);
    this->relayed.erase(key);
    for (const RequestId caller : callers) {
      this->home.Accept(submission, caller, std::nullopt, earlier, now);
    }
    return;
  }
  // A home that doesn't know of the cancelling yet would start the job.
  if (this->ownership.IsCancelled(key)) {
    this->AnswerCallers(job, JobAnswer::MayHaveRun(Reason::kCancelled));
    this->relayed.erase(key);
    return;
  }
  const EntryId target = this->ownership.ExpectedHome(bucket, now);
  const bool reachable =
      target != this->settings.self && this->peers.IsConnected(target);
  if (!reachable) return;
  // This entry becomes the job's witness by recording the key.
  if (job.submission.kind == SubmissionKind::kRun) {
    this->ownership.Remember({key, now}, now);
  }
  job.attempt = AttemptNumber(++this->last_attempt);
  job.target = target;
  job.pending[target] = job.attempt;
  if (this->peers.Understands(target)) submission.ShareBody();
  this->outbox.ToPeer(
      target, Relay{job.attempt, this->ownership.Promised(bucket), this->offer,
                    std::move(submission)});
}

void RelayTable::OnAnswer(EntryId from, const RelayAnswer& answer) {
  const auto found = this->relayed.find(answer.key);
  if (found == this->relayed.end()) return;
  Relayed& job = found->second;
  const bool not_run = answer.answer.verdict == Verdict::kNotRun;
  if (not_run) SettleAttempts(job, from, answer.attempt);
  // An earlier attempt may have gone to a former home, whose answer says
  // nothing about what the current home does.
  if (answer.attempt != job.attempt || job.target != from) return;
  const bool may_run_elsewhere =
      not_run && this->OpenRelays(job) == EarlierRelays::kOpen;
  this->AnswerCallers(job, may_run_elsewhere
                               ? JobAnswer::MayHaveRun(answer.answer.reason)
                               : answer.answer);
  this->relayed.erase(found);
}

void RelayTable::SettleAttempts(Relayed& job, EntryId entry,
                                AttemptNumber attempt) {
  const auto it = job.pending.find(entry);
  if (it != job.pending.end() && it->second <= attempt) job.pending.erase(it);
}

EarlierRelays RelayTable::OpenRelays(const Relayed& job) const {
  // A new home knows what a dead one has started of jobs that must not run
  // again, but not the ended runs of the others.
  const bool is_rerunnable = job.submission.rerun == RerunPolicy::kAfterLease;
  const bool is_open = std::any_of(
      job.pending.begin(), job.pending.end(), [&](const auto& sent) {
        return is_rerunnable || !this->peers.DeadSince(sent.first);
      });
  return is_open ? EarlierRelays::kOpen : job.earlier;
}

void RelayTable::OnMoved(EntryId from, const RelayMoved& moved, Timestamp now) {
  const auto found = this->relayed.find(moved.key);
  if (found == this->relayed.end()) return;
  Relayed& job = found->second;
  SettleAttempts(job, from, moved.attempt);
  if (moved.starts == RelayedStarts::kPossible) {
    job.earlier = EarlierRelays::kOpen;
  }
  if (moved.attempt != job.attempt) return;
  job.target.reset();
  // Half of the time that is left, so that a pause never takes all of it.
  const Duration left = (job.answer_by - now) / 2;
  job.returned_by = from;
  job.move_from = now + kResubmitPause;
  job.submit_from = now + std::max(kResubmitPause, std::min(job.pause, left));
  job.pause = std::min(2 * job.pause, kLongestPause);
}

bool RelayTable::MustPause(const Relayed& job, EntryId target, Timestamp now) {
  if (now < job.move_from) return true;
  return target == job.returned_by && now < job.submit_from;
}

void RelayTable::ResubmitRelaysTo(EntryId peer) {
  // A second relay of the same job is safe: the home joins it to the first.
  for (auto& [key, job] : this->relayed) {
    if (job.target == peer) job.target.reset();
  }
}

void RelayTable::OnActivated(const std::vector<BucketId>& buckets,
                             Timestamp now) {
  if (buckets.empty()) return;
  const std::set<BucketId> active(buckets.begin(), buckets.end());
  std::vector<JobKey> keys;
  for (const auto& [key, job] : this->relayed) {
    if (active.contains(this->ownership.BucketOfKey(key))) {
      keys.push_back(key);
    }
  }
  std::sort(keys.begin(), keys.end());
  for (const JobKey& key : keys) this->Route(this->relayed.at(key), now);
  std::vector<ParkedRelay> waiting;
  waiting.swap(this->parked_relays);
  for (ParkedRelay& parked : waiting) {
    const JobKey& key = parked.relay.job.key;
    const BucketId bucket = this->ownership.BucketOfKey(key);
    if (!active.contains(bucket)) {
      this->parked_relays.push_back(std::move(parked));
      continue;
    }
    // The relaying entry has already answered the caller.
    if (parked.deadline <= now) continue;
    parked.relay.job.SetTimeLeft(parked.deadline - now);
    this->AcceptAtHome(parked.from, parked.relay, now);
  }
}

void RelayTable::AcceptAtHome(EntryId from, const Relay& relay, Timestamp now) {
  this->home.Accept(relay.job, RelayOrigin{from, relay.attempt},
                    this->WitnessOf(from, relay), EarlierRelays::kSettled, now);
}

std::optional<EntryId> RelayTable::WitnessOf(EntryId from,
                                             const Relay& relay) const {
  // A sender with a higher promised ballot may have replied to that ballot's
  // owner before it recorded the key, and thus without reporting it.
  const BucketId bucket = this->ownership.BucketOfKey(relay.job.key);
  const bool is_witness = relay.witness == WitnessOffer::kOffered &&
                          relay.promised <= this->ownership.Promised(bucket) &&
                          this->ownership.MayWitness(from, bucket);
  return is_witness ? std::optional(from) : std::nullopt;
}

void RelayTable::OnBucketLost(BucketId bucket, Timestamp now) {
  std::erase_if(this->parked_relays, [&](const ParkedRelay& parked) {
    const JobKey& key = parked.relay.job.key;
    if (this->ownership.BucketOfKey(key) != bucket) return false;
    this->home.ReturnRelay(key, {parked.from, parked.relay.attempt},
                           RelayedStarts::kNone, now);
    return true;
  });
}

void RelayTable::Tick(Timestamp now) {
  std::vector<JobKey> keys;
  keys.reserve(this->relayed.size());
  for (const auto& [key, job] : this->relayed) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  for (const JobKey& key : keys) {
    Relayed& job = this->relayed.at(key);
    if (now >= job.answer_by) {
      const bool home_reachable =
          job.target && this->peers.IsConnected(*job.target);
      this->AnswerCallers(job, JobAnswer::MayHaveRun(
                                   home_reachable ? Reason::kDeadlineExceeded
                                                  : Reason::kHomeUnreachable));
      this->relayed.erase(key);
      continue;
    }
    const BucketId bucket = this->ownership.BucketOfKey(key);
    const EntryId home_now = this->ownership.ExpectedHome(bucket, now);
    const bool awaiting_answer =
        job.target == home_now && this->peers.IsConnected(*job.target);
    if (awaiting_answer || MustPause(job, home_now, now)) continue;
    this->Route(job, now);
  }
  std::erase_if(this->parked_relays, [&](const ParkedRelay& parked) {
    return now >= parked.deadline;
  });
}

std::uint64_t RelayTable::HeldBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [key, job] : this->relayed) {
    bytes += sizeof(Relayed) + job.submission.HeldBytes();
  }
  return bytes;
}

std::uint64_t RelayTable::ParkedBytes() const {
  std::uint64_t bytes = 0;
  for (const ParkedRelay& parked : this->parked_relays) {
    bytes += sizeof(ParkedRelay) + parked.relay.job.HeldBytes();
  }
  return bytes;
}

void RelayTable::AnswerCallers(const Relayed& job, const JobAnswer& answer) {
  for (const RequestId caller : job.callers) {
    this->outbox.Answer(caller, job.submission.key, answer);
  }
}

}  // namespace dandelionspur
