#include "libraries/upstream_session/session_reporter.h"

namespace dandelionspur {
namespace {

AgentDescription Describe(const UpstreamHeartbeat& heartbeat) {
  AgentDescription description;
  description.service = heartbeat.service;
  description.upstream = heartbeat.incarnation.id;
  description.capacity = heartbeat.capacity;
  if (!heartbeat.labels.empty()) description.rack = heartbeat.labels.back();
  return description;
}

}  // namespace

void SessionReporter::Announce(const UpstreamHeartbeat& heartbeat) {
  this->current_contact = UpstreamContact::kAnswering;
  this->leaving_reported = false;
  this->Add(UpstreamAnnounced{Describe(heartbeat)});
  if (heartbeat.state == UpstreamState::kLeaving) this->ReportLeaving();
}

void SessionReporter::ReportLeaving() {
  if (!this->leaving_reported) this->Add(UpstreamLeaving{});
  this->leaving_reported = true;
}

void SessionReporter::SetContact(UpstreamContact wanted) {
  if (wanted == this->current_contact) return;
  this->current_contact = wanted;
  this->Add(UpstreamContactChanged{wanted});
}

void SessionReporter::ReportCompletion(const TaskId& task,
                                       UpstreamResult result,
                                       Duration elapsed) {
  this->Add(UpstreamTaskCompleted{task, result, Payload(), elapsed});
}

}  // namespace dandelionspur
