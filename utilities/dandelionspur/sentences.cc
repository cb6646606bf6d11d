#include "utilities/dandelionspur/sentences.h"

#include <chrono>
#include <variant>

#include "libraries/base/enum_name.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

template <typename Id>
std::string Number(const Id& id) {
  return std::to_string(id.value());
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

std::string Name(const Ballot& ballot) {
  return "ballot (" + Number(ballot.epoch) + ", " +
         std::to_string(ballot.round) + ", entry " + Number(ballot.entry) + ")";
}

std::string Name(const TaskId& id) { return "task " + Number(id.task); }

std::string Name(const JobAnswer& answer) {
  return std::string(VerdictName(answer.verdict)) + ", " +
         std::string(ReasonName(answer.reason));
}

std::string Name(const JobSubmission& job) {
  return std::to_string(job.tasks.size()) + " tasks of client_account " +
         job.client_account.value() + ", " + Milliseconds(job.time_allowed) +
         " left";
}

std::string Name(const TaskReport& report) {
  return Name(report.task) + ": " + std::string(EnumName(report.state)) + ", " +
         std::string(EnumName(report.outcome));
}

// The messages between processes, from either side.
struct MessageSentence {
  const JobKey& key;

  std::string operator()(const Relay& message) const {
    return "relay of the job, attempt " + Number(message.attempt) + ": " +
           Name(message.job);
  }
  std::string operator()(const RelayAnswer& message) const {
    return "answer to the relay under " + Name(message.ballot) + ": " +
           Name(message.answer);
  }
  std::string operator()(const RelayMoved& message) const {
    return "not the home; the highest ballot known is " +
           Name(message.promised);
  }
  std::string operator()(const CancelJob&) const { return "cancel the job"; }
  std::string operator()(const WitnessRequest& message) const {
    return "remember the key under " + Name(message.keys.front().ballot);
  }
  std::string operator()(const WitnessReply& message) const {
    return message.keys.empty() ? "the key is not witnessed"
                                : "the key is remembered";
  }
  std::string operator()(const Start& message) const {
    return "start " + Name(message.task) + " under " + Name(message.ballot) +
           ", attempt " + std::to_string(message.attempt) + ", because " +
           std::string(EnumName(message.placement));
  }
  std::string operator()(const Renounce& message) const {
    return "what became of " + Name(message.task) +
           "? if it was not started, never start it";
  }
  std::string operator()(const StopTask& message) const {
    return "stop " + Name(message.task);
  }
  std::string operator()(const TaskFinished& message) const {
    return Name(message.report) + " after " + Milliseconds(message.elapsed);
  }
  std::string operator()(const TaskNotRun& message) const {
    return Name(message.task) + " was not started and never will be: " +
           std::string(ReasonName(message.reason));
  }
  std::string operator()(const RenounceReply& message) const {
    return Name(message.report);
  }
  std::string operator()(const AgentPromiseReply& message) const {
    for (const StartedJob& job : message.started) {
      if (job.key != this->key) continue;
      return "promises; it has started " + std::to_string(job.tasks.size()) +
             " tasks of the job";
    }
    return "";
  }
  template <typename Other>
  std::string operator()(const Other& /*message*/) const {
    return Other::kName;
  }
};

template <typename Message>
std::string MessageText(const Message& message, const JobKey& key) {
  return std::visit(MessageSentence{key}, message);
}

struct EntrySentence {
  const JobKey& key;

  std::string operator()(const CallerSubmitted& event) const {
    return "a caller submits the job (request " + Number(event.request) +
           "): " + Name(event.job);
  }
  std::string operator()(const CallerCancelled&) const {
    return "a caller cancels the job";
  }
  std::string operator()(const PeerMessageReceived& event) const {
    return "from entry " + Number(event.from) + ": " +
           MessageText(event.message, this->key);
  }
  std::string operator()(const AgentMessageReceived& event) const {
    return "from agent " + Number(event.from) + ": " +
           MessageText(event.message, this->key);
  }
  std::string operator()(const AnswerCaller& effect) const {
    return "answers the caller (request " + Number(effect.request) +
           "): " + Name(effect.answer);
  }
  std::string operator()(const SendToPeer& effect) const {
    return "to entry " + Number(effect.to) + ": " +
           MessageText(effect.message, this->key);
  }
  std::string operator()(const SendToAgent& effect) const {
    return "to agent " + Number(effect.to) + ": " +
           MessageText(effect.message, this->key);
  }
  std::string operator()(const ViewInForce& effect) const {
    return "view " + Number(effect.view.epoch) + " with " +
           std::to_string(effect.view.members.size()) + " entries is in force";
  }
  std::string operator()(const DocumentInForce& effect) const {
    return "version " + Number(effect.document.version) +
           " of the service's document is in force";
  }
  std::string operator()(const JobRefused& effect) const {
    return "decides to refuse the job: " +
           std::string(ReasonName(effect.reason)) + ", " +
           std::to_string(effect.queued_tasks) + " tasks queued, " +
           Milliseconds(effect.expected_wait) + " to wait, " +
           std::to_string(effect.cores) + " cores";
  }
  std::string operator()(const OwnershipChanged& effect) const {
    for (const BucketBallot& bucket : effect.buckets) {
      if (effect.phase == OwnershipPhase::kActive) {
        return "is home of the job's bucket under " + Name(bucket.ballot);
      }
      return "asks for promises to be home of the job's bucket, " +
             Name(bucket.ballot);
    }
    return "";
  }
  template <typename Other>
  std::string operator()(const Other& /*other*/) const {
    return Other::kName;
  }
};

struct AgentSentence {
  const JobKey& key;

  std::string operator()(const EntryMessageReceived& event) const {
    return "from entry " + Number(event.from) + ": " +
           MessageText(event.message, this->key);
  }
  std::string operator()(const UpstreamTaskCompleted& event) const {
    return "the upstream ended " + Name(event.task) + " after " +
           Milliseconds(event.elapsed) + ": " +
           std::string(EnumName(event.result));
  }
  std::string operator()(const SendToEntry& effect) const {
    return "to entry " + Number(effect.to) + ": " +
           MessageText(effect.message, this->key);
  }
  std::string operator()(const RunOnUpstream& effect) const {
    return "calls the upstream with " + Name(effect.task);
  }
  std::string operator()(const StopOnUpstream& effect) const {
    return "tells the upstream to stop " + Name(effect.task);
  }
  template <typename Other>
  std::string operator()(const Other& /*other*/) const {
    return Other::kName;
  }
};

}  // namespace

std::string Describe(const EntryEvent& event, const JobKey& key) {
  return std::visit(EntrySentence{key}, event);
}

std::string Describe(const EntryEffect& effect, const JobKey& key) {
  return std::visit(EntrySentence{key}, effect);
}

std::string Describe(const AgentEvent& event, const JobKey& key) {
  return std::visit(AgentSentence{key}, event);
}

std::string Describe(const AgentEffect& effect, const JobKey& key) {
  return std::visit(AgentSentence{key}, effect);
}

}  // namespace dandelionspur
