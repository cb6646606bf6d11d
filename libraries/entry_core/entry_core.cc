#include "libraries/entry_core/entry_core.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// An agent is sent a new view by this many entries, so that it learns of it if
// some of them are lost.
constexpr std::size_t kViewSenders = 3;
// A release that the table has not carried out is repeated.
constexpr Duration kReleaseInterval = std::chrono::seconds(2);

}  // namespace

EntryCore::EntryCore(const EntryCoreSettings& configured)
    : settings(configured),
      lost_addresses(configured.self, this->registry),
      peers(configured.suspect_after),
      contacts(this->settings, this->registry, this->peers),
      view_spread(configured.self, this->peers),
      ownership(this->settings, this->registry, this->peers, this->contacts,
                this->outbox),
      confirmer(this->settings, this->ownership, this->registry, this->outbox),
      home(this->settings, this->ownership, this->registry, this->confirmer,
           this->outbox),
      relays(this->settings, this->ownership, this->peers, this->home,
             this->outbox),
      cancellations(this->settings, this->ownership, this->peers,
                    this->registry, this->home, this->outbox),
      hand_over(this->settings, this->ownership, this->peers, this->outbox),
      bucket_return(this->settings, this->peers, this->health, this->ownership),
      documents_in_force(this->settings, this->peers, this->home,
                         this->outbox) {}

std::vector<EntryEffect> EntryCore::Handle(const EntryEvent& event,
                                           Timestamp now) {
  this->current_time = now;
  // Before the event: it may be the first of many that waited meanwhile.
  const Duration away = this->health.NoteEvent(now);
  this->peers.ExcuseSilence(away, now);
  this->registry.ExcuseSilence(away, now);
  std::visit([this](const auto& alternative) { this->On(alternative); }, event);
  this->AdvanceState();
  return this->outbox.Take();
}

bool EntryCore::IsReady() const {
  const bool has_agent =
      std::any_of(this->registry.all().begin(), this->registry.all().end(),
                  [](const auto& item) {
                    return item.second.connected && item.second.ready;
                  });
  return !this->draining && this->IsMember() && has_agent &&
         this->ownership.KnowsAllRunningAgents(this->current_time) &&
         !this->documents_in_force.all().empty();
}

MemoryUse EntryCore::ComputeMemoryUse() const {
  return {this->home.HeldBytes(), this->relays.HeldBytes(),
          this->relays.ParkedBytes(), this->home.kept_answer_bytes()};
}

std::optional<EntryId> EntryCore::OtherHomeOf(const JobKey& key,
                                              Timestamp now) const {
  const BucketId bucket = this->ownership.BucketOfKey(key);
  if (this->ownership.IsActive(bucket)) return std::nullopt;
  const EntryId expected = this->ownership.ExpectedHome(bucket, now);
  const bool is_other =
      expected != EntryId() && expected != this->settings.self;
  return is_other ? std::optional(expected) : std::nullopt;
}

JobPreview EntryCore::Preview(const JobSubmission& job, Timestamp now) {
  const BucketId bucket = this->ownership.BucketOfKey(job.key);
  if (this->ownership.IsActive(bucket)) return this->home.Preview(job, now);
  JobPreview preview;
  preview.home = this->OtherHomeOf(job.key, now);
  if (preview.home) preview.outlook = JobOutlook::kElsewhere;
  return preview;
}

void EntryCore::On(const CallerSubmitted& event) {
  const JobKey& key = event.job.key;
  const CachedAnswer* answer = this->home.FindAnswer(key);
  if (answer != nullptr && event.job.Matches(answer->body_digest)) {
    this->outbox.Answer(event.request, key, answer->answer);
    return;
  }
  const BucketId bucket = this->ownership.BucketOfKey(key);
  if (this->ownership.IsActive(bucket)) {
    this->home.Accept(event.job, event.request, std::nullopt,
                      EarlierRelays::kSettled, this->current_time);
    return;
  }
  this->relays.Submit(
      {event.job, this->current_time + event.job.time_allowed, {event.request}},
      this->current_time);
}

void EntryCore::On(const CallerCancelled& event) {
  this->cancellations.OnCaller(event.key, event.request, this->current_time);
}

void EntryCore::On(const PeerConnected& event) {
  this->peers.Connected(event.peer, this->current_time);
  this->documents_in_force.OnLinkChange(event.peer);
  this->SendState(event.peer);
  this->ownership.ResumeFrom(event.peer, this->current_time);
  this->hand_over.ResumeTo(event.peer);
}

void EntryCore::On(const PeerDisconnected& event) {
  this->peers.Disconnected(event.peer, this->current_time);
  this->documents_in_force.OnLinkChange(event.peer);
  this->relays.ResubmitRelaysTo(event.peer);
}

void EntryCore::On(const PeerLinkRenewed& event) {
  this->renewed_links.insert(event.peer);
}

void EntryCore::On(const PeerProvenDead& event) {
  this->peers.ProvenDead(event.peer, this->current_time);
}

void EntryCore::On(const PeerRefusesConnections& event) {
  this->peers.RefusedConnection(event.peer, this->current_time);
}

void EntryCore::On(const PeerMessageReceived& event) {
  this->peers.NoteMessage(event.from, this->current_time);
  // The first message after the peer has reconnected shows that it can send
  // again. Its answers to relays and its acknowledgements may have been lost
  // before. All other requests are repeated periodically.
  if (this->renewed_links.erase(event.from) > 0) {
    this->relays.ResubmitRelaysTo(event.from);
    this->hand_over.ResumeTo(event.from);
    this->ownership.ResumeFrom(event.from, this->current_time);
  }
  std::visit([&](const auto& message) { this->OnPeer(event.from, message); },
             event.message);
}

void EntryCore::On(const AgentConnected& event) {
  KnownAgent& agent = this->registry.Add(event.agent);
  agent.connected = true;
  agent.refuses_connections = false;
  agent.last_heard = this->current_time;
  agent.contact_at = this->current_time;
  agent.acknowledged = false;
  agent.ResetSentStarts();
  agent.demand_notified = false;
  this->disconnected_agents.erase(event.agent);
  this->registry.RecountCapacity();
  this->ownership.ResumeFrom(event.agent, this->current_time);
  this->home.OnAgentConnected(event.agent);
}

void EntryCore::On(const AgentDisconnected& event) {
  KnownAgent* agent = this->registry.Find(event.agent);
  if (agent == nullptr) return;
  agent->connected = false;
  agent->ResetSentStarts();
  this->registry.RecountCapacity();
  this->disconnected_agents.emplace(event.agent, this->current_time);
  if (!agent->has_departed) return;
  this->MarkAgentLost(event.agent, AgentRuns::kEnded, DeathEvidence::kDeparted);
}

void EntryCore::On(const AgentRefusesConnections& event) {
  KnownAgent* agent = this->registry.Find(event.agent);
  if (agent == nullptr || agent->connected || agent->lost_at) return;
  agent->refuses_connections = true;
  // Behind a network partition the agent and its tasks run on, so only the
  // callers that can't wait until the leases have expired are answered.
  this->home.OnAgentLost(event.agent, AgentRuns::kMayContinue,
                         this->current_time);
}

void EntryCore::On(const AgentMessageReceived& event) {
  if (KnownAgent* agent = this->registry.Find(event.from)) {
    agent->last_heard = this->current_time;
  }
  std::visit([&](const auto& message) { this->OnAgent(event.from, message); },
             event.message);
}

void EntryCore::On(const ViewRead& event) { this->AdoptView(event.view); }

void EntryCore::On(const AgentAddressesRead& event) {
  const bool counts = this->member_since && event.epoch >= this->joined_epoch;
  if (counts) this->ownership.NoteAgentsListed(event.addresses);
}

void EntryCore::On(const DocumentRead& event) {
  this->documents_in_force.OnRead(event.document, this->current_time);
}

void EntryCore::On(const DrainRequested& /*event*/) {
  if (this->draining) return;
  this->draining = true;
  this->drain_began = this->current_time;
  this->relays.StopWitnessing();
  this->home.BeginDeparture();
  this->cancellations.BeginDeparture();
  this->hand_over.BeginDeparture(this->current_time);
}

void EntryCore::On(const EntryTick& event) {
  const Timestamp now = this->current_time;
  if (event.view_age) this->contacts.NoteViewCurrent(now - *event.view_age);
  this->home.NoteSendBacklog(event.send_backlog, now);
  this->home.Tick(now);
  this->relays.Tick(now);
  this->confirmer.Advance(now);
  this->cancellations.AnswerOverdue(now);
  if (now >= this->next_repeat) {
    this->next_repeat = now + this->settings.repeat_interval;
    this->ownership.RequestMissing(now);
    this->health.NoteDelay(this->peers.TypicalInboundDelay(), now);
    this->peers.NoteDeclines(this->settings.self,
                             DeclinesBuckets(this->health.KeptUpFor(now)));
    if (!this->draining) this->bucket_return.Advance(now);
    this->home.RepeatRequests(now);
    this->cancellations.Repeat(now);
    this->hand_over.ReplaceUnreachable(now);
    this->RemoveDeadMembers();
    this->ReleaseLostAddresses();
    this->ownership.Expire(now - this->settings.duplicate_window);
    this->registry.Expire(now - this->settings.duplicate_window);
  }
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + this->settings.heartbeat_interval;
    this->SendHeartbeats();
  }
  this->ContinueDrain();
}

void EntryCore::On(const EvacuationsRead& event) {
  this->AdoptEvacuations(event.evacuations);
}

void EntryCore::OnPeer(EntryId from, const PeerState& message) {
  for (const AgentSummary& summary : message.agents) {
    KnownAgent& agent = this->registry.Add(summary.agent);
    // Until sightings of the agent arrive, assume that it had contact just now.
    if (agent.contact_at == Timestamp()) agent.contact_at = this->current_time;
    if (!summary.lost_at) continue;
    this->MarkAgentLost(
        summary.agent,
        summary.ended_idle ? AgentRuns::kEnded : AgentRuns::kMayContinue,
        DeathEvidence::kToldByEntry);
  }
  this->peers.NoteEpoch(from, message.view.epoch, this->current_time);
  this->AdoptView(message.view);
  this->Observe(message.promises);
  const bool covers_membership =
      message.view.Find(this->settings.self) != nullptr && this->IsMember();
  if (!covers_membership) return;
  // Also of an entry that has yet to join: it won't repeat its state then.
  if (message.tells_agents) this->ownership.NoteAgentsTold(from);
  const bool is_member = this->view().Find(from) != nullptr;
  if (message.synchronized && is_member) this->ownership.MarkSynchronized();
}

void EntryCore::OnPeer(EntryId from, const PromiseRequest& message) {
  this->ResubmitJobs(this->ownership.OnPromiseRequest(from, message));
}

void EntryCore::OnPeer(EntryId from, const PromiseReply& message) {
  this->ResubmitJobs(
      this->ownership.OnPromiseReply(from, message, this->current_time));
}

void EntryCore::OnPeer(EntryId from, const WitnessRequest& message) {
  WitnessReply reply;
  for (const WitnessedKey& asked : message.keys) {
    const BucketId bucket = this->ownership.BucketOfKey(asked.known.key);
    const Ballot promised = this->ownership.Promised(bucket);
    if (promised > asked.ballot) {
      reply.higher.push_back({bucket, promised});
      continue;
    }
    // A draining entry has already handed over its keys, so it witnesses no
    // further ones.
    if (this->draining) {
      reply.declined.push_back(asked);
      continue;
    }
    this->Observe({{bucket, asked.ballot}});
    this->ownership.Remember(asked.known, this->current_time);
    reply.keys.push_back(asked);
  }
  this->outbox.ToPeer(from, std::move(reply));
}

void EntryCore::OnPeer(EntryId from, const WitnessReply& message) {
  this->Observe(message.higher);
  this->home.OnWitnessReply(from, message, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const Relay& message) {
  const Duration waited = this->peers.InboundDelay(from);
  // The relaying entry has already answered the caller.
  if (waited > Duration() && waited >= message.job.time_allowed) return;
  Relay relay = message;
  relay.job.SetTimeLeft(relay.job.time_allowed - waited);
  relay.job.UnshareBody();
  this->AcceptRelay(from, relay);
}

void EntryCore::AcceptRelay(EntryId from, const Relay& message) {
  const BucketId bucket = this->ownership.BucketOfKey(message.job.key);
  this->Observe({{bucket, message.promised}});
  if (this->ownership.IsActive(bucket)) {
    this->relays.AcceptAtHome(from, message, this->current_time);
    return;
  }
  const bool will_be_home =
      this->ownership.Phase(bucket) == OwnershipPhase::kCollecting ||
      (this->IsMember() &&
       this->ownership.ExpectedHome(bucket, this->current_time) ==
           this->settings.self);
  if (will_be_home) {
    this->relays.Park(
        {from, message, this->current_time + message.job.time_allowed});
    return;
  }
  this->home.ReturnRelay(message.job.key, {from, message.attempt},
                         RelayedStarts::kNone, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const RelayAnswer& message) {
  const BucketId bucket = this->ownership.BucketOfKey(message.key);
  this->Observe({{bucket, message.ballot}});
  this->relays.OnAnswer(from, message);
}

void EntryCore::OnPeer(EntryId from, const RelayMoved& message) {
  const BucketId bucket = this->ownership.BucketOfKey(message.key);
  this->Observe({{bucket, message.promised}});
  this->relays.OnMoved(from, message, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const CancelJob& message) {
  const BucketId bucket = this->ownership.BucketOfKey(message.key);
  this->Observe({{bucket, message.promised}});
  this->cancellations.OnMessage(from, message, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const ConfirmRequest& message) {
  ConfirmReply reply;
  reply.sequence = message.sequence;
  for (const BucketBallot& asked : message.buckets) {
    if (asked.bucket.value() >= this->settings.bucket_count) continue;
    const Ballot promised = this->ownership.Promised(asked.bucket);
    if (promised <= asked.ballot) {
      reply.confirmed.push_back(asked.bucket);
    } else {
      reply.higher.push_back({asked.bucket, promised});
    }
  }
  this->outbox.ToPeer(from, std::move(reply));
}

void EntryCore::OnPeer(EntryId /*from*/, const ConfirmReply& message) {
  this->Observe(message.higher);
  this->home.OnRefusalsConfirmed(this->confirmer.OnEntryReply(message),
                                 this->current_time);
  this->confirmer.Advance(this->current_time);
}

void EntryCore::OnPeer(EntryId from, const HandOver& message) {
  this->hand_over.Answer(from, message, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const HandOverReply& message) {
  this->Observe(message.higher);
  this->hand_over.OnReply(from, message);
}

void EntryCore::OnPeer(EntryId /*from*/, const KeysReplicated& message) {
  for (const BucketId bucket : message.buckets) {
    for (const EntryId lost : message.lost) {
      this->ownership.MarkReReplicated(bucket, lost);
    }
  }
}

void EntryCore::OnPeer(EntryId from, const DocumentPush& message) {
  this->documents_in_force.OnPush(from, message, this->current_time);
}

void EntryCore::OnPeer(EntryId from, const PeerHeartbeat& message) {
  this->peers.NoteEpoch(from, message.epoch, this->current_time);
  this->documents_in_force.OnHeartbeat(from, message);
  this->AdoptEvacuations(message.evacuations);
  for (const AgentSummary& lost :
       this->contacts.OnHeartbeat(from, message, this->current_time)) {
    this->MarkAgentLost(
        lost.agent,
        lost.ended_idle ? AgentRuns::kEnded : AgentRuns::kMayContinue,
        DeathEvidence::kToldByEntry);
  }
  this->home.NotePeerBacklogs(from, message.backlogs, this->current_time);
}

void EntryCore::OnAgent(AgentId from, const Register& message) {
  const KnownAgent* known = this->registry.Find(from);
  const bool has_shrunk =
      known != nullptr && known->description &&
      !known->description->capacity.FitsIn(message.description.capacity);
  for (const AgentId replaced : this->registry.Register(message.description)) {
    // An agent registers only once no task of its predecessor is running.
    this->MarkAgentLost(replaced, AgentRuns::kEnded,
                        DeathEvidence::kOtherIncarnation);
  }
  this->ownership.NoteAgentAccounted(message.description.admin_endpoint);
  KnownAgent& agent = this->registry.Add(from);
  agent.connected = true;
  agent.acknowledged = true;
  this->AdoptEvacuations(message.evacuations);
  this->registry.MarkEvacuated(this->known_evacuations, this->current_time);
  RegisterAcknowledged reply;
  reply.view.epoch = this->view().epoch;
  if (message.epoch < this->view().epoch) reply.view = this->view();
  reply.has_promises = !message.has_promises;
  if (reply.has_promises) reply.promises = this->ownership.Promises();
  reply.evacuations = this->known_evacuations.NewsFor(
      message.evacuations.value_or(EvacuationSet()).version);
  this->outbox.ToAgent(from, std::move(reply));
  if (!has_shrunk) return;
  this->home.OnCapacityShrunk(message.description.service, this->current_time);
}

void EntryCore::OnAgent(AgentId from, const AgentReady& /*message*/) {
  KnownAgent* agent = this->registry.Find(from);
  if (agent == nullptr) return;
  agent->ready = true;
  this->registry.RecountCapacity();
  this->ownership.RequestFrom(from, this->current_time);
}

void EntryCore::OnAgent(AgentId from, const AgentPromiseReply& message) {
  this->ResubmitJobs(
      this->ownership.OnAgentPromiseReply(from, message, this->current_time));
  this->home.OnUpstreamLosses(message.losses, this->current_time);
  this->home.AdvanceBlocked(this->current_time);
}

void EntryCore::OnAgent(AgentId from, const TaskFinished& message) {
  this->home.OnTaskFinished(from, message, this->current_time);
}

void EntryCore::OnAgent(AgentId from, const TaskNotRun& message) {
  const BucketId bucket = this->ownership.BucketOfKey(message.task.key);
  this->Observe({{bucket, message.promised}});
  this->home.OnTaskNotRun(from, message, this->current_time);
  if (message.job_cancelled) {
    this->cancellations.Learn(message.task.key, this->current_time);
  }
}

void EntryCore::OnAgent(AgentId from, const RenounceReply& message) {
  this->home.OnRenounceReply(from, message, this->current_time);
  this->cancellations.OnRenounceReply(from, message, this->current_time);
}

void EntryCore::OnAgent(AgentId from, const AgentLeaving& /*message*/) {
  KnownAgent* agent = this->registry.Find(from);
  if (agent == nullptr) return;
  agent->leaving = true;
  agent->has_announced_departure = true;
  this->registry.RecountCapacity();
}

void EntryCore::OnAgent(AgentId from, const AgentHeartbeat& message) {
  this->home.OnAgentLoad(from, message.load);
  this->home.OnRecentLosses(from, message.recent_losses, this->current_time);
  this->home.OnRunningGroups(from, message.running_groups);
  if (message.vacant_address) {
    this->ownership.NoteAgentAccounted(*message.vacant_address);
  }
  KnownAgent* agent = this->registry.Find(from);
  if (agent != nullptr) {
    // An older one may be read late, after the agent has registered.
    if (message.sent_at > agent->newest_heartbeat) {
      agent->is_vacant = message.vacant_address.has_value();
    }
    agent->NoteHeartbeat(message.sent_at, this->current_time);
    agent->reports_epoch = message.epoch != Epoch();
    if (agent->reports_epoch) this->SendViewIfOutdated(*agent, message.epoch);
  }
  if (agent == nullptr || this->current_time < agent->next_reply) return;
  // An entry without contact to most others must not keep tasks running whose
  // leases the others consider expired.
  const bool may_confirm = this->MayRenewLeases();
  EntryHeartbeat reply;
  if (may_confirm) reply.heard = message.sent_at;
  reply.evacuations = this->known_evacuations.NewsFor(message.evacuations);
  if (!may_confirm && !reply.evacuations) return;
  agent->next_reply = this->current_time + this->settings.agent_reply_interval;
  this->outbox.ToAgent(from, std::move(reply));
}

void EntryCore::OnAgent(AgentId /*from*/, const ConfirmReply& message) {
  this->Observe(message.higher);
  this->home.OnRefusalsConfirmed(this->confirmer.OnAgentReply(message),
                                 this->current_time);
  this->confirmer.Advance(this->current_time);
}

void EntryCore::AdoptView(const View& view) {
  if (view.epoch <= this->view().epoch) return;
  const View former = this->view();
  const bool removed_may_act =
      this->contacts.NoteRemovals(former, view, this->current_time);
  this->contacts.NoteMembersLeft(former, view);
  const Ownership::ViewChange change = this->ownership.AdoptView(
      view, removed_may_act ? OtherHomes::kPossible : OtherHomes::kNone,
      this->current_time);
  this->view_spread.OnAdopted(this->current_time);
  this->NoteUntoldDepartures(former);
  this->ResubmitJobs(change.released);
  this->hand_over.OnViewChange(this->current_time);
  this->hand_over.ReReplicate(change.kept, this->current_time);
  for (const ViewMember& member : view.members) {
    if (member.entry == this->settings.self) continue;
    this->peers.TrackMember(member.entry, this->current_time);
  }
  this->peers.NoteViewInForce(view.epoch, this->current_time);
  this->outbox.Add(ViewInForce{view});
  if (!this->IsMember()) {
    const bool unexpected = this->member_since && !this->draining;
    if (unexpected && !this->removal_reported) {
      this->removal_reported = true;
      this->outbox.Add(RemovedFromView{});
    }
    return;
  }
  if (!this->member_since) {
    this->member_since = this->current_time;
    this->joined_epoch = view.epoch;
    this->ownership.NoteJoined(this->current_time);
    // No agent can be ready that a member of the first view has not
    // acknowledged.
    const bool first_ever = view.epoch == Epoch(1) && view.losses.empty();
    if (first_ever) this->ownership.MarkSynchronized();
  }
  for (const ViewMember& member : view.members) {
    // Former members receive each other's states when they connect.
    if (former.Find(member.entry) == nullptr) this->SendState(member.entry);
  }
  this->SendViewToAgents();
}

void EntryCore::AdoptEvacuations(const std::optional<EvacuationSet>& told) {
  if (!told) return;
  const std::optional<EvacuationDifference> difference =
      this->known_evacuations.Adopt(*told);
  if (!difference) return;
  this->registry.MarkEvacuated(this->known_evacuations, this->current_time);
  const EvacuationVersion version = this->evacuations().version;
  for (const DataCentreName& begun : difference->begun) {
    this->outbox.Add(
        EvacuationChanged{EvacuationPhase::kBegun, begun, version});
  }
  for (const DataCentreName& ended : difference->ended) {
    this->outbox.Add(
        EvacuationChanged{EvacuationPhase::kEnded, ended, version});
  }
  this->home.OnEvacuationChanged(this->current_time);
}

void EntryCore::NoteUntoldDepartures(const View& former) {
  for (const ViewMember& member : former.members) {
    const bool matters = member.entry != this->settings.self &&
                         this->view().Find(member.entry) == nullptr &&
                         !this->ownership.HasToldAgents(member.entry);
    if (!matters) continue;
    this->ownership.NoteLeftUntold(
        this->peers.DeadSince(member.entry).value_or(this->current_time));
  }
}

void EntryCore::SendViewToAgents() {
  // An agent without an upstream does not register, but takers need its promise
  // as well, so it must connect to entries that join.
  const std::vector<AgentId> ids = this->registry.Connected();
  for (const AgentId id : ids) {
    KnownAgent& agent = *this->registry.Find(id);
    const bool learns_from_others =
        agent.reports_epoch &&
        !this->view().IsAmongFirst(this->settings.self, id, kViewSenders);
    if (!learns_from_others) this->SendView(agent);
  }
}

void EntryCore::SendView(KnownAgent& agent) {
  agent.next_view = this->current_time + kViewPatience;
  RegisterAcknowledged message{this->view(), {}, false};
  // An earlier version takes any view for an acknowledgement.
  if (!agent.acknowledged && !agent.reports_epoch) {
    message.promises = this->ownership.Promises();
    message.has_promises = true;
  }
  this->outbox.ToAgent(agent.agent, std::move(message));
}

void EntryCore::SendViewIfOutdated(KnownAgent& agent, Epoch epoch) {
  const bool is_outdated = epoch < this->view().epoch;
  const bool had_time =
      this->current_time >= this->view_spread.adopted_at() + kViewPatience &&
      this->current_time >= agent.next_view;
  if (is_outdated && had_time) this->SendView(agent);
}

void EntryCore::SendViewToOutdatedPeers() {
  for (const EntryId peer :
       this->view_spread.TakeOutdated(this->view(), this->current_time)) {
    // It has the rest of the state since it connected.
    this->outbox.ToPeer(peer, PeerState{this->view(), false, {}, {}, false});
  }
}

PeerState EntryCore::StateForPeers() const {
  return PeerState{this->view(), this->ownership.IsSynchronized(),
                   this->registry.Summaries(), this->ownership.Promises(),
                   true};
}

void EntryCore::SendState(EntryId peer) {
  if (peer == this->settings.self || !this->peers.IsConnected(peer)) return;
  this->outbox.ToPeer(peer, this->StateForPeers());
}

void EntryCore::AdvanceState() {
  const Timestamp now = this->current_time;
  if (!this->draining) this->ownership.AcquireVacant(now);
  const Ownership::Activation activation = this->ownership.ActivateReady(now);
  this->relays.OnActivated(activation.activated, now);
  this->hand_over.ReReplicate(activation.fully_recovered, now);
  this->home.Dispatch(now);
}

void EntryCore::ResubmitJobs(const std::vector<BucketId>& lost) {
  for (const BucketId bucket : lost) {
    for (const CallerJob& job : this->home.Evict(bucket, this->current_time)) {
      this->relays.Submit(job, this->current_time);
    }
    this->relays.OnBucketLost(bucket, this->current_time);
  }
}

void EntryCore::Observe(const std::vector<BucketBallot>& seen) {
  std::vector<BucketId> lost;
  for (const BucketBallot& ballot : seen) {
    if (this->ownership.Observe(ballot)) lost.push_back(ballot.bucket);
  }
  this->ResubmitJobs(lost);
}

void EntryCore::MarkAgentLost(AgentId agent, AgentRuns runs,
                              DeathEvidence evidence) {
  const KnownAgent* known = this->registry.Find(agent);
  const bool is_new = known == nullptr || !known->lost_at ||
                      (runs == AgentRuns::kEnded && !known->ended_idle);
  if (!is_new) return;
  const bool idle =
      runs == AgentRuns::kEnded || (known != nullptr && known->has_departed);
  this->registry.MarkLost(agent, idle, this->current_time);
  this->registry.RecountCapacity();
  this->disconnected_agents.erase(agent);
  this->outbox.Add(AgentLost{agent, runs == AgentRuns::kEnded,
                             this->home.StartedAt(agent), evidence,
                             this->home.UnconfirmedAt(agent)});
  this->home.OnAgentLost(agent, runs, this->current_time);
}

void EntryCore::RemoveDeadMembers() {
  const Timestamp now = this->current_time;
  // An agent takes no action once the duplicate window has passed since its
  // connection was lost: docs/design/at-most-once.md, assumption on pauses.
  const std::map<AgentId, Timestamp> disconnected = this->disconnected_agents;
  for (const auto& [agent, since] : disconnected) {
    if (now - since > this->settings.duplicate_window) {
      this->MarkAgentLost(agent, AgentRuns::kMayContinue,
                          DeathEvidence::kLongSilence);
    }
  }
  if (!this->IsMember() || this->draining) return;
  if (this->member_since &&
      now - *this->member_since > this->settings.duplicate_window) {
    // Starts from before this entry joined belong to keys that are too old to
    // run by now.
    this->ownership.MarkSynchronized();
  }
  const std::vector<EntryLoss> losses = this->LostMembers();
  if (losses.empty()) return;
  const Timestamp horizon = now - this->settings.duplicate_window;
  this->outbox.Add(ProposeView{
      WithLosses(WithoutLossesBefore(this->view(), horizon), losses)});
}

void EntryCore::ReleaseLostAddresses() {
  if (!this->IsMember() || this->current_time < this->next_release) return;
  this->next_release = this->current_time + kReleaseInterval;
  constexpr auto kStarts = StartConfirmation::kUnconfirmed;
  const std::vector<Endpoint> released =
      this->lost_addresses.Find(this->view(), [&](AgentId agent) {
        return this->ownership.RunsAreOver(agent, kStarts, this->current_time);
      });
  for (const Endpoint& address : released) {
    this->outbox.Add(
        ReleaseAgentAddress{address, this->settings.RunsOver(kStarts)});
  }
}

std::vector<EntryLoss> EntryCore::LostMembers() const {
  const Timestamp now = this->current_time;
  std::vector<EntryLoss> losses;
  for (const ViewMember& member : this->view().members) {
    const EntryId entry = member.entry;
    if (entry == this->settings.self) continue;
    if (const std::optional<Timestamp> dead = this->peers.DeadSince(entry)) {
      losses.push_back({entry, *dead, LossProof::kProvenDead});
      continue;
    }
    // A removed member counts no longer when this entry concludes that the runs
    // of an agent are over, so the leases that it may have confirmed must be.
    // An entry that hears the member tells those that miss it.
    const bool leases_over = now >= this->peers.MayConfirmAgentsUntil(entry) +
                                        this->settings.lease_over_after;
    const bool unresponsive = this->peers.TimeSinceLastMessage(entry, now) >
                              this->settings.remove_after;
    const bool refuses =
        this->peers.RefusesConnections(entry) &&
        this->health.KeptUpFor(now) >= this->settings.suspect_after;
    if (!leases_over || (!unresponsive && !refuses)) continue;
    losses.push_back({entry, now, LossProof::kSilent});
  }
  return losses;
}

void EntryCore::SendHeartbeats() {
  this->SendViewToOutdatedPeers();
  this->documents_in_force.BeginRound(this->current_time);
  const std::vector<ServiceBacklog> backlogs = this->home.Backlogs();
  // Also to former members: they still relay their callers' jobs, to members
  // that they hear.
  for (const EntryId peer : this->peers.Connected()) {
    PeerHeartbeat heartbeat =
        this->contacts.HeartbeatFor(peer, this->view(), this->current_time);
    heartbeat.documents = this->documents_in_force.NewsFor(peer);
    heartbeat.evacuations = this->known_evacuations.News();
    heartbeat.backlogs = backlogs;
    this->outbox.ToPeer(peer, std::move(heartbeat));
  }
}

bool EntryCore::MayRenewLeases() const {
  // The view may lack this entry as soon as it has proposed that.
  if (!this->IsMember() || this->departure_proposed) {
    return this->draining && !this->WasRemoved() &&
           this->contacts.IsHeardByMostMembers(this->view(),
                                               this->current_time);
  }
  return this->contacts.HearsMostMembers(this->view(), this->current_time);
}

bool EntryCore::WasRemoved() const {
  const std::vector<EntryLoss>& losses = this->view().losses;
  return std::any_of(losses.begin(), losses.end(),
                     [this](const EntryLoss& loss) {
                       return loss.entry == this->settings.self;
                     });
}

void EntryCore::ContinueDrain() {
  if (!this->draining || this->drained_reported) return;
  const Duration elapsed = this->current_time - this->drain_began;
  if (this->IsMember()) this->LeaveView();
  // The view can't change while the table is unreachable. An overdue drain then
  // ends with this entry still a member: the others find its process dead, and
  // have recorded its keys if they have acknowledged the hand-over.
  const bool overdue = elapsed >= this->settings.drain_limit;
  const bool alone = this->view().members.size() == 1;
  if (this->IsMember() && !alone && !overdue) return;
  if (elapsed < this->settings.drain_accepts) return;
  const bool idle = this->home.size() == 0 && this->relays.size() == 0 &&
                    !this->cancellations.HasCallers();
  if (!idle) return;
  this->drained_reported = true;
  this->outbox.Add(EntryDrained{});
}

void EntryCore::LeaveView() {
  // The only member has no other entry to hand over to, so it completes its
  // jobs and stays in the view.
  const bool alone = this->view().members.size() == 1;
  if (alone || !this->hand_over.DepartureComplete()) return;
  if (this->current_time < this->next_departure) return;
  this->next_departure = this->current_time + this->settings.repeat_interval;
  this->departure_proposed = true;
  this->outbox.Add(
      ProposeView{WithoutMember(this->view(), this->settings.self)});
}

}  // namespace dandelionspur
