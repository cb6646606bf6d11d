#include "tests/support/entry_harness.h"

#include <deque>
#include <utility>

namespace dandelionspur {
namespace {

constexpr EntryId::ValueType kSelf = 1;
constexpr AgentId::ValueType kFirstAgent = 1000;
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

EntryCoreSettings HarnessSettings() {
  EntryCoreSettings settings;
  settings.self = EntryId(kSelf);
  settings.bucket_count = kHarnessBuckets;
  return settings;
}

View SingleMemberView() {
  ViewMember member;
  member.entry = EntryId(kSelf);
  member.peer_endpoint.port = 1;
  return WithMember(View(), member, Timestamp());
}

}  // namespace

EntryHarness::EntryHarness(std::uint32_t agent_count, std::uint32_t slots,
                           std::optional<std::uint64_t> reported)
    : entry(HarnessSettings()),
      slots_per_agent(slots),
      reported_job(reported),
      time(std::chrono::seconds(1)) {
  const ServiceName service("s");
  this->Handle(
      DocumentRead{{service, DocumentVersion(1),
                    R"({"service": "s", "owner": "o", "order": "least_slack",
           "maximum_queued_tasks": 1000000})"}});
  this->Handle(ViewRead{SingleMemberView()});
  for (std::uint32_t i = 0; i < agent_count; ++i) {
    AgentDescription description;
    description.agent = this->Agent(i);
    description.service = service;
    description.capacity.millicores = slots * kOneSlot.millicores;
    description.admin_endpoint.port = static_cast<std::uint16_t>(i + 1);
    const AgentId agent = description.agent;
    this->Handle(AgentConnected{agent});
    this->Handle(AgentMessageReceived{
        agent, Register{description, SingleMemberView().epoch}});
    this->Handle(
        AgentMessageReceived{agent, AgentReady{SingleMemberView().epoch}});
    this->SendHeartbeat(agent, this->Load(0, 0));
  }
  this->Advance(std::chrono::milliseconds(500));
  for (std::uint32_t i = 0; i < agent_count; ++i) {
    this->SendHeartbeat(this->Agent(i), this->Load(0, 0));
  }
}

std::vector<EntryEffect> EntryHarness::Handle(const EntryEvent& event) {
  return this->DeliverReplies(this->entry.Handle(event, this->time));
}

std::vector<EntryEffect> EntryHarness::Advance(Duration step) {
  std::vector<EntryEffect> all;
  const Timestamp until = this->time + step;
  while (this->time < until) {
    this->time = std::min(until, this->time + kTickInterval);
    for (EntryEffect& effect : this->Handle(EntryTick{})) {
      all.push_back(std::move(effect));
    }
  }
  return all;
}

std::vector<EntryEffect> EntryHarness::Submit(std::uint64_t number,
                                              std::uint32_t tasks,
                                              Duration time_allowed,
                                              Duration objective) {
  return this->Handle(
      HarnessSubmission(number, tasks, time_allowed, objective));
}

std::vector<EntryEffect> EntryHarness::RefuseStart(const SendToAgent& sent,
                                                   Reason reason,
                                                   const AgentLoad& load) {
  const Start& start = std::get<Start>(sent.message);
  TaskNotRun refused;
  refused.task = start.task;
  refused.start = {start.ballot, start.attempt};
  refused.reason = reason;
  refused.load = load;
  return this->Handle(AgentMessageReceived{sent.to, refused});
}

std::vector<EntryEffect> EntryHarness::SendHeartbeat(AgentId agent,
                                                     const AgentLoad& load) {
  return this->Handle(
      AgentMessageReceived{agent, AgentHeartbeat{load, this->time}});
}

AgentId EntryHarness::Agent(std::uint32_t index) const {
  return AgentId(kFirstAgent + index);
}

AgentLoad EntryHarness::Load(std::uint32_t running,
                             std::uint64_t starts_seen) const {
  AgentLoad load;
  load.capacity.millicores = this->slots_per_agent * kOneSlot.millicores;
  load.running.millicores = running * kOneSlot.millicores;
  load.starts_seen = starts_seen;
  load.accepting = true;
  load.starts_unconfirmed = 0;
  return load;
}

std::vector<EntryEffect> EntryHarness::DeliverReplies(
    std::vector<EntryEffect> effects) {
  std::vector<EntryEffect> all;
  std::deque<EntryEffect> pending(effects.begin(), effects.end());
  while (!pending.empty()) {
    all.push_back(std::move(pending.front()));
    pending.pop_front();
    const std::optional<EntryEvent> answer = this->ReplyTo(all.back());
    if (!answer) continue;
    for (EntryEffect& effect : this->entry.Handle(*answer, this->time)) {
      pending.push_back(std::move(effect));
    }
  }
  return all;
}

std::optional<EntryEvent> EntryHarness::ReplyTo(
    const EntryEffect& effect) const {
  const auto* sent = std::get_if<SendToAgent>(&effect);
  if (sent == nullptr) return std::nullopt;
  if (const auto* asked = std::get_if<PromiseRequest>(&sent->message)) {
    AgentPromiseReply reply;
    for (const BucketBallot& bucket : asked->buckets) {
      reply.buckets.push_back({bucket.bucket, bucket.ballot, true});
      if (!this->reported_job) continue;
      const JobKey key = HarnessKey(*this->reported_job);
      if (BucketOf(key, kHarnessBuckets) != bucket.bucket) continue;
      reply.started.push_back({key, {TaskIndex(0)}});
    }
    return AgentMessageReceived{sent->to, reply};
  }
  const auto* confirm = std::get_if<ConfirmRequest>(&sent->message);
  if (confirm == nullptr || !this->sends_confirmations) return std::nullopt;
  ConfirmReply reply;
  reply.sequence = confirm->sequence;
  for (const BucketBallot& bucket : confirm->buckets) {
    reply.confirmed.push_back(bucket.bucket);
  }
  return AgentMessageReceived{sent->to, reply};
}

JobKey HarnessKey(std::uint64_t number) {
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
  return {number * kSpread, number};
}

CallerSubmitted HarnessSubmission(std::uint64_t number, std::uint32_t tasks,
                                  Duration time_allowed, Duration objective) {
  CallerSubmitted submitted;
  submitted.request = RequestId(number);
  submitted.job.key = HarnessKey(number);
  submitted.job.service = ServiceName("s");
  submitted.job.client_account = ClientAccount("t");
  submitted.job.time_allowed = time_allowed;
  submitted.job.objective = objective;
  submitted.job.rerun = RerunPolicy::kAfterLease;
  submitted.job.tasks.resize(
      tasks, TaskRequest{Payload(), std::chrono::milliseconds(100), kOneSlot});
  return submitted;
}

std::vector<SendToAgent> StartsIn(const std::vector<EntryEffect>& effects) {
  std::vector<SendToAgent> starts;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr || !std::holds_alternative<Start>(sent->message)) {
      continue;
    }
    starts.push_back(*sent);
  }
  return starts;
}

std::vector<AnswerCaller> AnswersIn(const std::vector<EntryEffect>& effects) {
  std::vector<AnswerCaller> answers;
  for (const EntryEffect& effect : effects) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      answers.push_back(*answer);
    }
  }
  return answers;
}

}  // namespace dandelionspur
