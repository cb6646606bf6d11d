#include "utilities/dandelionspur/step_description.h"

#include <chrono>
#include <variant>

#include "libraries/base/enum_name.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

template <typename Id>
std::string FormatId(const Id& id) {
  return std::to_string(id.value());
}

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

std::string Format(const Ballot& ballot) {
  return "ballot (" + FormatId(ballot.epoch) + ", " +
         std::to_string(ballot.round) + ", entry " + FormatId(ballot.entry) +
         ")";
}

std::string Format(const TaskId& id) { return "task " + FormatId(id.task); }

std::string Format(const JobAnswer& answer) {
  return std::string(VerdictName(answer.verdict)) + ", " +
         std::string(ReasonName(answer.reason));
}

std::string Format(const JobSubmission& job) {
  return std::to_string(job.tasks.size()) + " tasks of client account " +
         job.client_account.value() + ", " +
         FormatMilliseconds(job.time_allowed) + " left";
}

// Nothing if no upstream was lost under the task.
std::string Format(const std::vector<UpstreamLoss>& losses) {
  if (losses.empty()) return "";
  std::string text = "; this task was running on " +
                     std::to_string(losses.size()) +
                     " upstreams when they were lost:";
  for (const UpstreamLoss& loss : losses) {
    text += " that of agent " + FormatId(loss.agent) + " (" +
            std::string(EnumName(loss.role)) + ")";
  }
  return text;
}

std::string Format(const TaskReport& report) {
  return Format(report.task) + ": " + std::string(EnumName(report.state)) +
         ", " + std::string(EnumName(report.outcome));
}

// Describes messages between processes, as sent or as received.
struct MessageDescription {
  const JobKey& key;

  std::string operator()(const Relay& message) const {
    return "relay of the job, attempt " + FormatId(message.attempt) + ": " +
           Format(message.job);
  }
  std::string operator()(const RelayAnswer& message) const {
    return "answer to the relay under " + Format(message.ballot) + ": " +
           Format(message.answer);
  }
  std::string operator()(const RelayMoved& message) const {
    return "is not the home of the job's bucket; highest promised ballot: " +
           Format(message.promised);
  }
  std::string operator()(const CancelJob&) const { return "cancel the job"; }
  std::string operator()(const WitnessRequest& message) const {
    return "witness the key under " + Format(message.keys.front().ballot);
  }
  std::string operator()(const WitnessReply& message) const {
    return message.keys.empty() ? "has not witnessed the key"
                                : "has witnessed the key";
  }
  std::string operator()(const Start& message) const {
    return "start " + Format(message.task) + " under " +
           Format(message.ballot) + ", attempt " +
           std::to_string(message.attempt) +
           ", placement reason: " + std::string(EnumName(message.PlacedFor())) +
           Format(message.losses);
  }
  std::string operator()(const Renounce& message) const {
    return "query the state of " + Format(message.task) +
           " and rule out a later start";
  }
  std::string operator()(const StopTask& message) const {
    return "stop " + Format(message.task);
  }
  std::string operator()(const TaskFinished& message) const {
    return Format(message.report) + " after " +
           FormatMilliseconds(message.elapsed) + Format(message.report.losses);
  }
  std::string operator()(const TaskNotRun& message) const {
    return Format(message.task) +
           " was not started, and a later start is ruled out: " +
           std::string(ReasonName(message.reason));
  }
  std::string operator()(const RenounceReply& message) const {
    return Format(message.report) + Format(message.report.losses);
  }
  std::string operator()(const AgentPromiseReply& message) const {
    for (const StartedJob& job : message.started) {
      if (job.key != this->key) continue;
      return "promises the bucket; has started " +
             std::to_string(job.tasks.size()) + " tasks of the job";
    }
    return "";
  }
  template <typename Other>
  std::string operator()(const Other& /*message*/) const {
    return Other::kName;
  }
};

template <typename Message>
std::string DescribeMessage(const Message& message, const JobKey& key) {
  return std::visit(MessageDescription{key}, message);
}

struct EntryStepDescription {
  const JobKey& key;

  std::string operator()(const CallerSubmitted& event) const {
    return "a caller submits the job (request " + FormatId(event.request) +
           "): " + Format(event.job);
  }
  std::string operator()(const CallerCancelled&) const {
    return "a caller cancels the job";
  }
  std::string operator()(const PeerMessageReceived& event) const {
    return "from entry " + FormatId(event.from) + ": " +
           DescribeMessage(event.message, this->key);
  }
  std::string operator()(const AgentMessageReceived& event) const {
    return "from agent " + FormatId(event.from) + ": " +
           DescribeMessage(event.message, this->key);
  }
  std::string operator()(const AnswerCaller& effect) const {
    return "answers the caller (request " + FormatId(effect.request) +
           "): " + Format(effect.answer);
  }
  std::string operator()(const CancelAnswered& effect) const {
    return "answers the cancelling (request " + FormatId(effect.request) +
           "): " + std::string(EnumName(effect.outcome));
  }
  std::string operator()(const SendToPeer& effect) const {
    return "to entry " + FormatId(effect.to) + ": " +
           DescribeMessage(effect.message, this->key);
  }
  std::string operator()(const SendToAgent& effect) const {
    return "to agent " + FormatId(effect.to) + ": " +
           DescribeMessage(effect.message, this->key);
  }
  std::string operator()(const ViewInForce& effect) const {
    return "view " + FormatId(effect.view.epoch) + " with " +
           std::to_string(effect.view.members.size()) + " entries is in force";
  }
  std::string operator()(const DocumentInForce& effect) const {
    return "version " + FormatId(effect.document.version) +
           " of the service's document is in force";
  }
  std::string operator()(const JobRefused& effect) const {
    return "refuses the job: " + std::string(ReasonName(effect.reason)) + ", " +
           std::to_string(effect.queued_tasks) + " tasks queued, " +
           FormatMilliseconds(effect.expected_wait) + " expected wait, " +
           std::to_string(effect.cores) + " cores";
  }
  std::string operator()(const OwnershipChanged& effect) const {
    for (const BucketBallot& bucket : effect.buckets) {
      if (effect.phase == OwnershipPhase::kActive) {
        return "is home of the job's bucket under " + Format(bucket.ballot);
      }
      return "requests promises to become home of the job's bucket, " +
             Format(bucket.ballot);
    }
    return "";
  }
  template <typename Other>
  std::string operator()(const Other& /*other*/) const {
    return Other::kName;
  }
};

struct AgentStepDescription {
  const JobKey& key;

  std::string operator()(const EntryMessageReceived& event) const {
    return "from entry " + FormatId(event.from) + ": " +
           DescribeMessage(event.message, this->key);
  }
  std::string operator()(const UpstreamTaskCompleted& event) const {
    return "the upstream call for " + Format(event.task) + " completed after " +
           FormatMilliseconds(event.elapsed) + ": " +
           std::string(EnumName(event.result));
  }
  std::string operator()(const SendToEntry& effect) const {
    return "to entry " + FormatId(effect.to) + ": " +
           DescribeMessage(effect.message, this->key);
  }
  std::string operator()(const RunOnUpstream& effect) const {
    return "calls the upstream with " + Format(effect.task);
  }
  std::string operator()(const StopOnUpstream& effect) const {
    return "asks the upstream to stop " + Format(effect.task);
  }
  template <typename Other>
  std::string operator()(const Other& /*other*/) const {
    return Other::kName;
  }
};

}  // namespace

std::string Describe(const EntryEvent& event, const JobKey& key) {
  return std::visit(EntryStepDescription{key}, event);
}

std::string Describe(const EntryEffect& effect, const JobKey& key) {
  return std::visit(EntryStepDescription{key}, effect);
}

std::string Describe(const AgentEvent& event, const JobKey& key) {
  return std::visit(AgentStepDescription{key}, event);
}

std::string Describe(const AgentEffect& effect, const JobKey& key) {
  return std::visit(AgentStepDescription{key}, effect);
}

}  // namespace dandelionspur
