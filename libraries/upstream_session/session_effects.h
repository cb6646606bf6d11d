#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_EFFECTS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_EFFECTS_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <variant>

#include "libraries/agent_core/agent_events.h"
#include "libraries/upstream_session/list_number.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// The calls to the upstream that the owner of the session must make.
struct SendStart {
  UpstreamHeartbeat receiver;
  StartOrder order;
};
struct SendStop {
  UpstreamHeartbeat receiver;
  StopOrder order;
};
struct SendList {
  UpstreamHeartbeat receiver;
  ListNumber number;
  ListOrder order;
};

// A departure notice was ignored, since the session is with another incarnation
// or with none. The notice may have been delayed.
struct ForeignDeparture {
  UpstreamIncarnation sender;
};

// Why the session takes the tasks at an incarnation for ended.
// kSuccessorAnswered: another incarnation answers at its address, or answers
// elsewhere while no task runs.
// kDepartureNotice: it has announced its end.
// kLeasesExpired: it has not answered until all leases had expired.
BOOST_DEFINE_ENUM_CLASS(SessionEndEvidence, kSuccessorAnswered,
                        kDepartureNotice, kLeasesExpired)

struct SessionEnded {
  UpstreamIncarnation incarnation;
  SessionEndEvidence evidence = SessionEndEvidence::kSuccessorAnswered;
  std::uint64_t tasks_running = 0;
};

// What the owner of the session must carry out, in order. An AgentEvent is
// passed to the agent's core.
using SessionEffect = std::variant<SendStart, SendStop, SendList,
                                   ForeignDeparture, SessionEnded, AgentEvent>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SESSION_EFFECTS_H_
