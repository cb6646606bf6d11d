#include "libraries/decision_log/entry_decision_log.h"

#include <utility>

namespace dandelionspur {

void EntryDecisionLog::Observe(const EntryEvent& event,
                               const std::vector<EntryEffect>& effects,
                               Timestamp at) {
  this->now = at;
  std::visit([this](const auto& seen) { this->See(seen); }, event);
  for (const EntryEffect& effect : effects) {
    std::visit([this](const auto& told) { this->Tell(told); }, effect);
  }
}

void EntryDecisionLog::See(const CallerSubmitted& event) {
  const JobSubmission& job = event.job;
  JobTrails::Trail& trail = this->trails.Begin(job.key, job.name, this->now);
  trail.objective = job.objective;
  JobTrails::Add(trail,
                 RequestReceived{job.name, job.key.ToHex(), job.service.value(),
                                 job.client_account.value(), job.tasks.size(),
                                 job.time_allowed, job.objective},
                 this->now);
}

void EntryDecisionLog::See(const CallerCancelled& event) {
  this->AddStep(event.key,
                [](const std::string& job) { return CancelReceived{job}; });
}

void EntryDecisionLog::See(const PeerConnected& event) {
  LogStateChange(PeerReached{event.peer});
}

void EntryDecisionLog::See(const PeerDisconnected& event) {
  LogStateChange(PeerOutOfReach{event.peer});
}

void EntryDecisionLog::See(const PeerLinkRenewed& event) {
  LogStateChange(PeerReachesThis{event.peer});
}

void EntryDecisionLog::See(const PeerProvenDead& event) {
  LogStateChange(PeerDead{event.peer});
}

void EntryDecisionLog::See(const PeerMessageReceived& event) {
  std::visit([&](const auto& message) { this->SeePeer(event.from, message); },
             event.message);
}

void EntryDecisionLog::See(const AgentConnected& event) {
  LogStateChange(AgentReached{event.agent});
}

void EntryDecisionLog::See(const AgentDisconnected& event) {
  LogStateChange(AgentOutOfReach{event.agent, this->UnheardFor(event.agent)});
}

void EntryDecisionLog::See(const AgentMessageReceived& event) {
  std::visit([&](const auto& message) { this->SeeAgent(event.from, message); },
             event.message);
}

void EntryDecisionLog::SeePeer(EntryId from, const Relay& message) {
  const JobSubmission& job = message.job;
  JobTrails::Trail& trail = this->trails.Begin(job.key, job.name, this->now);
  trail.objective = job.objective;
  JobTrails::Add(trail,
                 RelayReceived{job.name, job.key.ToHex(), job.service.value(),
                               from, message.attempt.value(), job.tasks.size(),
                               job.time_allowed},
                 this->now);
}

void EntryDecisionLog::SeePeer(EntryId from, const RelayMoved& message) {
  this->AddStep(message.key, [&](const std::string& job) {
    return RelayReturned{job, from};
  });
}

void EntryDecisionLog::SeeAgent(AgentId from, const TaskFinished& message) {
  const TaskReport& report = message.report;
  this->AddStep(report.task.key, [&](const std::string& job) {
    return TaskEnded{job, report.task.task.value(), from, report.outcome,
                     message.elapsed};
  });
}

void EntryDecisionLog::SeeAgent(AgentId from, const TaskNotRun& message) {
  this->AddStep(message.task.key, [&](const std::string& job) {
    return TaskStartRefused{job, message.task.task.value(), from,
                            message.reason};
  });
}

void EntryDecisionLog::SeeAgent(AgentId from, const RenounceReply& message) {
  const TaskReport& report = message.report;
  this->AddStep(report.task.key, [&](const std::string& job) {
    return TaskToldOf{job, report.task.task.value(), from, report.state,
                      report.outcome};
  });
}

void EntryDecisionLog::SeeAgent(AgentId from, const AgentLeaving& /*message*/) {
  LogStateChange(AgentLeaves{from});
}

void EntryDecisionLog::Tell(const AnswerCaller& effect) {
  this->End(effect.key, EntryId(), effect.answer);
}

void EntryDecisionLog::Tell(const SendToPeer& effect) {
  if (const auto* relay = std::get_if<Relay>(&effect.message)) {
    this->AddStep(relay->job.key, [&](const std::string& job) {
      return RelaySent{job, effect.to, relay->attempt.value(),
                       this->core.view().epoch.value()};
    });
  } else if (const auto* answer = std::get_if<RelayAnswer>(&effect.message)) {
    this->End(answer->key, effect.to, answer->answer);
  }
}

void EntryDecisionLog::Tell(const SendToAgent& effect) {
  if (const auto* start = std::get_if<Start>(&effect.message)) {
    this->TellStart(*start);
  } else if (const auto* stop = std::get_if<StopTask>(&effect.message)) {
    this->AddStep(stop->task.key, [&](const std::string& job) {
      return TaskStopSent{job, stop->task.task.value(), effect.to};
    });
  } else if (const auto* asked = std::get_if<Renounce>(&effect.message)) {
    this->AddStep(asked->task.key, [&](const std::string& job) {
      return TaskAskedFor{job, asked->task.task.value(), effect.to};
    });
  }
}

void EntryDecisionLog::TellStart(const Start& start) {
  JobTrails::Trail* trail = this->trails.Find(start.task.key);
  if (trail != nullptr && !trail->first_start) trail->first_start = this->now;
  this->AddStep(start.task.key, [&](const std::string& job) {
    TaskStartSent line{job, start.task.task.value(), start.attempt, start.agent,
                       start.placement};
    line.still_queued = start.queued;
    const KnownAgent* agent = this->core.agents().Find(start.agent);
    if (agent == nullptr) return line;
    line.millicores_in_use = agent->load.running.millicores +
                             agent->load.waiting.millicores +
                             agent->unseen_total.millicores;
    line.millicores = agent->load.capacity.millicores;
    line.report_age_ms = this->now - agent->last_heard;
    return line;
  });
}

void EntryDecisionLog::Tell(const JobRefused& effect) {
  this->AddStep(effect.key, [&](const std::string& job) {
    return RefusalDecided{job, effect.reason, effect.queued_tasks,
                          effect.expected_wait, effect.cores};
  });
}

void EntryDecisionLog::Tell(const RetryCounted& effect) {
  JobTrails::Trail* trail = this->trails.Find(effect.task.key);
  if (trail == nullptr) return;
  trail->troubled = true;
  JobTrails::Add(
      *trail, TaskRetried{trail->job, effect.task.task.value(), effect.reason},
      this->now);
}

void EntryDecisionLog::Tell(const AgentLost& effect) {
  const KnownAgent* agent = this->core.agents().Find(effect.agent);
  const bool described = agent != nullptr && agent->description.has_value();
  LogStateChange(
      AgentGivenUp{effect.agent, described ? agent->description->upstream : "",
                   effect.runs_are_over, this->UnheardFor(effect.agent),
                   effect.tasks_started});
}

void EntryDecisionLog::End(const JobKey& key, EntryId to,
                           const JobAnswer& answer) {
  JobTrails::Trail* trail = this->trails.Find(key);
  if (trail == nullptr) return;
  const Duration took = this->now - trail->began;
  const bool late = trail->objective > Duration() && took > trail->objective;
  JobTrails::AddLast(
      *trail,
      JobAnswered{trail->job, key.ToHex(), to, answer.verdict, answer.reason,
                  answer.retry_after, took, late, trail->steps_left_out},
      this->now);
  this->MeasureStages(*trail, answer);
  const bool good = answer.reason == Reason::kComplete;
  const bool told = late || trail->troubled ||
                    IsFollowed(key.low, this->followed_per_thousand);
  if (!good) {
    JobTrails::Tell(*trail, LogCategory::kFailure, this->now);
  } else if (told) {
    // Under overload most are late; they must not crowd out what failed.
    JobTrails::Tell(*trail, LogCategory::kDetail, this->now);
  }
  this->trails.Forget(key);
}

void EntryDecisionLog::MeasureStages(const JobTrails::Trail& trail,
                                     const JobAnswer& answer) {
  const auto seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  if (answer.verdict == Verdict::kNotRun) {
    this->refusal_times.Observe(seconds(this->now - trail.began));
  }
  // Elsewhere for a job that was relayed.
  if (!trail.first_start) return;
  this->queue_times.Observe(seconds(*trail.first_start - trail.began));
  this->run_times.Observe(seconds(this->now - *trail.first_start));
}

Duration EntryDecisionLog::UnheardFor(AgentId agent) const {
  const KnownAgent* known = this->core.agents().Find(agent);
  return known == nullptr ? Duration() : this->now - known->last_heard;
}

}  // namespace dandelionspur
