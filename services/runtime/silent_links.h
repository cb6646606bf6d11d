#ifndef DANDELIONSPUR_SERVICES_RUNTIME_SILENT_LINKS_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_SILENT_LINKS_H_

#include "libraries/decision_log/log_events.h"
#include "libraries/network/answer_watch.h"
#include "libraries/protocol/hello.h"
#include "libraries/telemetry/log.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

// Logs and counts a link that was closed because `other` was silent on it.
inline void ReportSilentLink(const Hello& other, const LinkSilence& silence,
                             Metrics& metrics) {
  metrics.Count("links_closed_silent_total", "peer",
                other.role == ProcessRole::kEntry ? "entry" : "agent");
  LogStateChange(LinkSilent{other.role, other.id, silence.last_heard_age,
                            silence.unanswered_bytes});
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_SILENT_LINKS_H_
