#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_REPORTER_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_REPORTER_H_

#include <utility>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/upstream_session/session_effects.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// Collects the effects of a session, and remembers what its owner was told of
// the upstream, so that nothing is reported twice.
class SessionReporter {
 public:
  void Add(SessionEffect effect) { this->effects.push_back(std::move(effect)); }
  std::vector<SessionEffect> Take() { return std::exchange(this->effects, {}); }

  // The session is with another incarnation, which may be leaving as well.
  void BeginIncarnation() { this->leaving_reported = false; }
  // The upstream can run tasks: it answers calls.
  void Announce(const UpstreamHeartbeat& heartbeat);
  void ReportLeaving();
  void SetContact(UpstreamContact wanted);
  void ReportCompletion(const TaskId& task, UpstreamResult result,
                        Duration elapsed);

  [[nodiscard]] UpstreamContact contact() const {
    return this->current_contact;
  }

 private:
  std::vector<SessionEffect> effects;
  UpstreamContact current_contact = UpstreamContact::kSilent;
  bool leaving_reported = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_REPORTER_H_
