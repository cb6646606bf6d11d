#include "libraries/decision_log/entry_decision_log.h"

#include <utility>

namespace dandelionspur {

void EntryDecisionLog::Observe(const EntryEvent& event,
                               const std::vector<EntryEffect>& effects,
                               Timestamp at) {
  this->now = at;
  std::visit([this](const auto& specific) { this->OnEvent(specific); }, event);
  for (const EntryEffect& effect : effects) {
    std::visit([this](const auto& specific) { this->OnEffect(specific); },
               effect);
  }
}

void EntryDecisionLog::OnEvent(const CallerSubmitted& event) {
  const JobSubmission& job = event.job;
  JobTraces::Trace& trace =
      this->traces.FindOrStart(job.key, job.name, this->now);
  trace.objective = job.objective;
  JobTraces::Add(trace,
                 RequestReceived{job.name, job.key.ToHex(), job.service.value(),
                                 job.client_account.value(), job.tasks.size(),
                                 job.time_allowed, job.objective},
                 this->now);
}

void EntryDecisionLog::OnEvent(const CallerCancelled& event) {
  this->AddStep(event.key,
                [](const std::string& job) { return CancelReceived{job}; });
}

void EntryDecisionLog::OnEvent(const PeerConnected& event) {
  LogStateChange(PeerReached{event.peer});
}

void EntryDecisionLog::OnEvent(const PeerDisconnected& event) {
  LogStateChange(PeerOutOfReach{event.peer});
}

void EntryDecisionLog::OnEvent(const PeerLinkRenewed& event) {
  LogStateChange(PeerLinkRenewedLine{event.peer});
}

void EntryDecisionLog::OnEvent(const PeerProvenDead& event) {
  LogStateChange(PeerDead{event.peer});
}

void EntryDecisionLog::OnEvent(const PeerRefusesConnections& event) {
  LogStateChange(PeerRefuses{event.peer});
}

void EntryDecisionLog::OnEvent(const AgentRefusesConnections& event) {
  const KnownAgent* agent = this->core.agents().Find(event.agent);
  LogStateChange(AgentRefuses{event.agent, this->UnheardFor(event.agent),
                              agent == nullptr ? 0 : agent->running});
}

void EntryDecisionLog::OnEvent(const PeerMessageReceived& event) {
  std::visit(
      [&](const auto& message) { this->OnPeerMessage(event.from, message); },
      event.message);
}

void EntryDecisionLog::OnEvent(const AgentConnected& event) {
  LogStateChange(AgentReached{event.agent});
}

void EntryDecisionLog::OnEvent(const AgentDisconnected& event) {
  LogStateChange(AgentOutOfReach{event.agent, this->UnheardFor(event.agent)});
}

void EntryDecisionLog::OnEvent(const AgentMessageReceived& event) {
  std::visit(
      [&](const auto& message) { this->OnAgentMessage(event.from, message); },
      event.message);
}

void EntryDecisionLog::OnPeerMessage(EntryId from, const Relay& message) {
  const JobSubmission& job = message.job;
  JobTraces::Trace& trace =
      this->traces.FindOrStart(job.key, job.name, this->now);
  trace.objective = job.objective;
  JobTraces::Add(trace,
                 RelayReceived{job.name, job.key.ToHex(), job.service.value(),
                               from, message.attempt.value(), job.tasks.size(),
                               job.time_allowed},
                 this->now);
}

void EntryDecisionLog::OnPeerMessage(EntryId from, const RelayMoved& message) {
  this->AddStep(message.key, [&](const std::string& job) {
    return RelayReturned{job, from};
  });
}

void EntryDecisionLog::OnAgentMessage(AgentId from,
                                      const TaskFinished& message) {
  const TaskReport& report = message.report;
  this->AddStep(report.task.key, [&](const std::string& job) {
    return TaskEnded{job, report.task.task.value(), from, report.outcome,
                     message.elapsed};
  });
}

void EntryDecisionLog::OnAgentMessage(AgentId from, const TaskNotRun& message) {
  this->AddStep(message.task.key, [&](const std::string& job) {
    return TaskStartRefused{job, message.task.task.value(), from,
                            message.reason};
  });
}

void EntryDecisionLog::OnAgentMessage(AgentId from,
                                      const RenounceReply& message) {
  const TaskReport& report = message.report;
  this->AddStep(report.task.key, [&](const std::string& job) {
    return TaskStateReceived{job, report.task.task.value(), from, report.state,
                             report.outcome};
  });
}

void EntryDecisionLog::OnAgentMessage(AgentId from,
                                      const AgentLeaving& /*message*/) {
  LogStateChange(AgentLeaves{from});
}

void EntryDecisionLog::OnEffect(const AnswerCaller& effect) {
  this->Finish(effect.key, EntryId(), effect.answer);
}

void EntryDecisionLog::OnEffect(const CancelAnswered& effect) {
  this->AddStep(effect.key, [&](const std::string& job) {
    return CancelSettled{job, effect.outcome};
  });
}

void EntryDecisionLog::OnEffect(const SendToPeer& effect) {
  if (const auto* relay = std::get_if<Relay>(&effect.message)) {
    this->AddStep(relay->job.key, [&](const std::string& job) {
      return RelaySent{job, effect.to, relay->attempt.value(),
                       this->core.view().epoch.value()};
    });
  } else if (const auto* answer = std::get_if<RelayAnswer>(&effect.message)) {
    this->Finish(answer->key, effect.to, answer->answer);
  }
}

void EntryDecisionLog::OnEffect(const SendToAgent& effect) {
  if (const auto* start = std::get_if<Start>(&effect.message)) {
    this->AddStartStep(*start);
  } else if (const auto* stop = std::get_if<StopTask>(&effect.message)) {
    this->AddStep(stop->task.key, [&](const std::string& job) {
      return TaskStopSent{job, stop->task.task.value(), effect.to};
    });
  } else if (const auto* asked = std::get_if<Renounce>(&effect.message)) {
    JobTraces::Trace* trace = this->traces.Find(asked->task.key);
    // Starts of this home have attempt numbers from 1.
    if (trace != nullptr && asked->attempt == 0) trace->taken_over = true;
    this->AddStep(asked->task.key, [&](const std::string& job) {
      return TaskStateRequested{job, asked->task.task.value(), effect.to};
    });
  }
}

void EntryDecisionLog::AddStartStep(const Start& start) {
  JobTraces::Trace* trace = this->traces.Find(start.task.key);
  if (trace != nullptr && !trace->first_start) trace->first_start = this->now;
  this->AddStep(start.task.key, [&](const std::string& job) {
    TaskStartSent line{job, start.task.task.value(), start.attempt, start.agent,
                       start.PlacedFor()};
    line.still_queued = start.queued;
    line.scope = start.scope;
    const KnownAgent* agent = this->core.agents().Find(start.agent);
    if (agent == nullptr) return line;
    line.millicores_in_use = agent->load.running.millicores +
                             agent->load.waiting.millicores +
                             agent->unreported_total.millicores;
    line.millicores = agent->load.capacity.millicores;
    line.report_age_ms = this->now - agent->last_heard;
    return line;
  });
}

void EntryDecisionLog::OnEffect(const JobRefused& effect) {
  this->AddStep(effect.key, [&](const std::string& job) {
    return RefusalDecided{job, effect.reason, effect.queued_tasks,
                          effect.expected_wait, effect.cores};
  });
}

void EntryDecisionLog::OnEffect(const RetryCounted& effect) {
  JobTraces::Trace* trace = this->traces.Find(effect.task.key);
  if (trace == nullptr) return;
  trace->retried = true;
  TaskRetried line{trace->job, effect.task.task.value(), effect.reason,
                   effect.agent};
  const KnownAgent* agent = this->core.agents().Find(effect.agent);
  if (agent != nullptr) {
    line.since_contact_ms = this->now - agent->contact_at;
    line.agent_dead = agent->lost_at.has_value();
  }
  JobTraces::Add(*trace, line, this->now);
}

void EntryDecisionLog::OnEffect(const AgentLost& effect) {
  const KnownAgent* agent = this->core.agents().Find(effect.agent);
  const bool described = agent != nullptr && agent->description.has_value();
  LogStateChange(AgentGivenUp{
      effect.agent, described ? agent->description->upstream : "",
      effect.runs_are_over, this->UnheardFor(effect.agent),
      effect.tasks_started, effect.evidence, effect.tasks_unconfirmed});
}

void EntryDecisionLog::Finish(const JobKey& key, EntryId to,
                              const JobAnswer& answer) {
  JobTraces::Trace* trace = this->traces.Find(key);
  if (trace == nullptr) return;
  const Duration took = this->now - trace->began;
  const bool late = trace->objective > Duration() && took > trace->objective;
  JobTraces::AddFinal(
      *trace,
      JobAnswered{trace->job, key.ToHex(), to, answer.verdict, answer.reason,
                  answer.retry_after, took, late, trace->steps_left_out},
      this->now);
  this->MeasureStages(*trace, answer);
  const bool good = answer.reason == Reason::kComplete;
  // A job that was taken over may be late without this home knowing, since its
  // time counts from the latest relay here.
  const bool is_logged = late || trace->retried || trace->taken_over ||
                         IsTraced(key.low, this->followed_per_thousand);
  if (!good) {
    JobTraces::WriteLines(*trace, LogCategory::kFailure, this->now);
  } else if (is_logged) {
    // Under overload most jobs are late. Their lines must not use up the budget
    // for failures.
    JobTraces::WriteLines(*trace, LogCategory::kDetail, this->now);
  }
  this->traces.Remove(key);
}

void EntryDecisionLog::MeasureStages(const JobTraces::Trace& trace,
                                     const JobAnswer& answer) {
  const auto seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  if (answer.verdict == Verdict::kNotRun) {
    this->refusal_times.Observe(seconds(this->now - trace.began));
  }
  // A relayed job is started, and its stages measured, by its home.
  if (!trace.first_start) return;
  this->queue_times.Observe(seconds(*trace.first_start - trace.began));
  this->run_times.Observe(seconds(this->now - *trace.first_start));
}

Duration EntryDecisionLog::UnheardFor(AgentId agent) const {
  const KnownAgent* known = this->core.agents().Find(agent);
  return known == nullptr ? Duration() : this->now - known->last_heard;
}

}  // namespace dandelionspur
