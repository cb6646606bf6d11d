#include "tests/support/simulated_cluster.h"

namespace dandelionspur {

bool SimulatedCluster::InjectFault(NodeId from, NodeId to, Message& message) {
  auto* agent_message = std::get_if<AgentMessage>(&message);
  auto* peer_message = std::get_if<PeerMessage>(&message);
  auto* to_agent = std::get_if<EntryToAgentMessage>(&message);
  switch (this->options.fault) {
    case DeliberateFault::kSkipBallotCheck:
      if (to_agent != nullptr) {
        if (auto* start = std::get_if<Start>(to_agent)) {
          start->ballot.epoch = Epoch(UINT32_MAX);
        }
      }
      return true;
    case DeliberateFault::kSkipWitness:
      if (peer_message != nullptr) {
        if (auto* request = std::get_if<WitnessRequest>(peer_message)) {
          this->SendOnConnection(to, from,
                                 PeerMessage(WitnessReply{request->keys, {}}));
          return false;
        }
      }
      return true;
    case DeliberateFault::kForgetStartedSet:
      if (agent_message != nullptr) {
        if (auto* reply = std::get_if<AgentPromiseReply>(agent_message)) {
          reply->started.clear();
        }
      }
      return true;
    case DeliberateFault::kForgetWitnessedKeys:
      if (peer_message != nullptr) {
        if (auto* reply = std::get_if<PromiseReply>(peer_message)) {
          for (BucketPromise& bucket : reply->buckets) bucket.known.clear();
        }
      }
      return true;
    case DeliberateFault::kRerunAfterBrokenConnection:
      if (agent_message != nullptr) {
        if (auto* reply = std::get_if<RenounceReply>(agent_message)) {
          reply->report.state = StartedState::kNeverStarted;
        }
      }
      return true;
    case DeliberateFault::kRefuseWithoutConfirmation: {
      const ConfirmRequest* request = nullptr;
      if (peer_message != nullptr) {
        request = std::get_if<ConfirmRequest>(peer_message);
      } else if (to_agent != nullptr) {
        request = std::get_if<ConfirmRequest>(to_agent);
      }
      if (request == nullptr) return true;
      ConfirmReply reply{request->sequence, {}, {}};
      for (const BucketBallot& bucket : request->buckets) {
        reply.confirmed.push_back(bucket.bucket);
      }
      if (peer_message != nullptr) {
        this->SendOnConnection(to, from, PeerMessage(reply));
      } else {
        this->SendOnConnection(to, from, AgentMessage(reply));
      }
      return false;
    }
    case DeliberateFault::kWrongResult:
      if (agent_message != nullptr) {
        if (auto* finished = std::get_if<TaskFinished>(agent_message)) {
          finished->report.result =
              ResultOf({finished->report.task.key, TaskIndex(0)});
        }
      }
      return true;
    case DeliberateFault::kInflateDocumentVersion:
      if (peer_message != nullptr) {
        if (auto* push = std::get_if<DocumentPush>(peer_message)) {
          for (VersionedDocument& document : push->documents) {
            document.version = DocumentVersion(document.version.value() + 1);
          }
        }
      }
      return true;
    case DeliberateFault::kHideSightings:
      if (peer_message != nullptr) {
        if (auto* heartbeat = std::get_if<PeerHeartbeat>(peer_message)) {
          for (AgentContact& sighting : heartbeat->sightings) {
            sighting.heartbeat = Timestamp();
          }
        }
      }
      return true;
    default:
      return true;
  }
}

}  // namespace dandelionspur
