#include "tests/support/fault_injector.h"

#include <utility>

#include "tests/support/simulated_workload.h"

namespace dandelionspur {
namespace {

// The content of a message if it is of type `Content` and is sent between the
// processes that exchange messages of type `Family`; null otherwise.
template <typename Family, typename Content>
Content* FindContent(SimulatedMessage& message) {
  auto* family = std::get_if<Family>(&message);
  return family == nullptr ? nullptr : std::get_if<Content>(family);
}

template <typename Family, typename Content>
const Content* FindContent(const SimulatedMessage& message) {
  const auto* family = std::get_if<Family>(&message);
  return family == nullptr ? nullptr : std::get_if<Content>(family);
}

void RaiseBallot(SimulatedMessage& message) {
  auto* start = FindContent<EntryToAgentMessage, Start>(message);
  if (start != nullptr) start->ballot.epoch = Epoch(UINT32_MAX);
}

void ForgetStartedSet(SimulatedMessage& message) {
  auto* reply = FindContent<AgentMessage, AgentPromiseReply>(message);
  if (reply != nullptr) reply->started.clear();
}

void ForgetWitnessedKeys(SimulatedMessage& message) {
  auto* reply = FindContent<PeerMessage, PromiseReply>(message);
  if (reply == nullptr) return;
  for (BucketPromise& bucket : reply->buckets) bucket.known.clear();
}

void ReportNeverStarted(SimulatedMessage& message) {
  auto* reply = FindContent<AgentMessage, RenounceReply>(message);
  if (reply != nullptr) reply->report.state = StartedState::kNeverStarted;
}

void ReplaceResult(SimulatedMessage& message) {
  auto* finished = FindContent<AgentMessage, TaskFinished>(message);
  if (finished == nullptr) return;
  finished->report.result = ResultOf({finished->report.task.key, TaskIndex(0)});
}

void InflateDocumentVersion(SimulatedMessage& message) {
  auto* push = FindContent<PeerMessage, DocumentPush>(message);
  if (push == nullptr) return;
  for (VersionedDocument& document : push->documents) {
    document.version = DocumentVersion(document.version.value() + 1);
  }
}

void HideSightings(SimulatedMessage& message) {
  auto* heartbeat = FindContent<PeerMessage, PeerHeartbeat>(message);
  if (heartbeat == nullptr) return;
  for (AgentContact& sighting : heartbeat->sightings) {
    sighting.heartbeat = Timestamp();
  }
}

void OmitLossesFromStart(SimulatedMessage& message) {
  auto* start = FindContent<EntryToAgentMessage, Start>(message);
  if (start != nullptr) start->losses.clear();
}

void OmitReportedLosses(SimulatedMessage& message) {
  if (auto* done = FindContent<AgentMessage, TaskFinished>(message)) {
    done->report.losses.clear();
  }
  if (auto* known = FindContent<AgentMessage, RenounceReply>(message)) {
    known->report.losses.clear();
  }
  if (auto* promise = FindContent<AgentMessage, AgentPromiseReply>(message)) {
    promise->losses.clear();
  }
}

ConfirmReply ConfirmationOf(const ConfirmRequest& request) {
  ConfirmReply reply{request.sequence, {}, {}};
  for (const BucketBallot& bucket : request.buckets) {
    reply.confirmed.push_back(bucket.bucket);
  }
  return reply;
}

}  // namespace

FaultInjector::Outcome FaultInjector::AlterMessage(NodeId from, NodeId to,
                                                   SimulatedMessage& message) {
  switch (this->fault) {
    case DeliberateFault::kSkipWitness:
      return this->ForgeWitnessReply(from, to, message);
    case DeliberateFault::kForgetCancelling:
      this->HideCancelling(message);
      return this->ForgeCancelConfirmation(from, to, message);
    case DeliberateFault::kRefuseWithoutConfirmation:
      return this->ForgeConfirmReply(from, to, message);
    case DeliberateFault::kSkipBallotCheck:
      RaiseBallot(message);
      break;
    case DeliberateFault::kForgetStartedSet:
      ForgetStartedSet(message);
      break;
    case DeliberateFault::kForgetWitnessedKeys:
      ForgetWitnessedKeys(message);
      break;
    case DeliberateFault::kRerunAfterBrokenConnection:
      ReportNeverStarted(message);
      break;
    case DeliberateFault::kWrongResult:
      ReplaceResult(message);
      break;
    case DeliberateFault::kInflateDocumentVersion:
      InflateDocumentVersion(message);
      break;
    case DeliberateFault::kHideSightings:
      HideSightings(message);
      break;
    case DeliberateFault::kReturnRelaysOfEndedHome:
      this->RecordRelay(from, to, message);
      break;
    case DeliberateFault::kOmitLossesFromStarts:
      OmitLossesFromStart(message);
      break;
    case DeliberateFault::kIgnoreLosses:
      OmitReportedLosses(message);
      break;
    default:
      break;
  }
  return Outcome::kSend;
}

void FaultInjector::HideCancelling(SimulatedMessage& message) {
  if (auto* order = FindContent<EntryToAgentMessage, Renounce>(message)) {
    if (order->cancelled) this->hidden_cancellings.insert(order->task.key);
    order->cancelled = false;
  }
  if (auto* reply = FindContent<AgentMessage, RenounceReply>(message)) {
    reply->cancelled =
        this->hidden_cancellings.contains(reply->report.task.key);
  }
}

void FaultInjector::RecordRelay(NodeId from, NodeId to,
                                const SimulatedMessage& message) {
  const auto* relay = FindContent<PeerMessage, Relay>(message);
  if (relay == nullptr) return;
  const RelayMoved forged{relay->job.key, relay->attempt, relay->promised};
  this->forged_returns[to].push_back({from, forged});
}

std::vector<FaultInjector::ForgedReturn> FaultInjector::TakeReturnsOf(
    NodeId ended) {
  return std::exchange(this->forged_returns[ended], {});
}

FaultInjector::Outcome FaultInjector::ForgeWitnessReply(
    NodeId from, NodeId to, const SimulatedMessage& message) {
  const auto* request = FindContent<PeerMessage, WitnessRequest>(message);
  if (request == nullptr) return Outcome::kSend;
  this->network.Send(to, from,
                     PeerMessage(WitnessReply{request->keys, {}, {}}));
  return Outcome::kDrop;
}

FaultInjector::Outcome FaultInjector::ForgeCancelConfirmation(
    NodeId from, NodeId to, const SimulatedMessage& message) {
  const auto* request = FindContent<PeerMessage, CancelJob>(message);
  const bool is_request =
      request != nullptr && request->step == CancelStep::kRequested;
  if (!is_request) return Outcome::kSend;
  this->network.Send(to, from,
                     PeerMessage(CancelJob{request->key, request->promised,
                                           CancelStep::kConfirmed}));
  return Outcome::kDrop;
}

FaultInjector::Outcome FaultInjector::ForgeConfirmReply(
    NodeId from, NodeId to, const SimulatedMessage& message) {
  if (const auto* asked = FindContent<PeerMessage, ConfirmRequest>(message)) {
    this->network.Send(to, from, PeerMessage(ConfirmationOf(*asked)));
    return Outcome::kDrop;
  }
  if (const auto* asked =
          FindContent<EntryToAgentMessage, ConfirmRequest>(message)) {
    this->network.Send(to, from, AgentMessage(ConfirmationOf(*asked)));
    return Outcome::kDrop;
  }
  return Outcome::kSend;
}

AgentEvent FaultInjector::ForgeContact(AgentCore& agent,
                                       AgentEvent event) const {
  if (this->fault != DeliberateFault::kRenewUnconfirmed) return event;
  const Timestamp now = this->clock.Now();
  agent.Handle(EntryMessageReceived{EntryId(), EntryHeartbeat{now}}, now);
  auto* received = std::get_if<EntryMessageReceived>(&event);
  if (received == nullptr) return event;
  if (auto* start = std::get_if<Start>(&received->message)) {
    start->contact = now;
  }
  return event;
}

}  // namespace dandelionspur
