#ifndef DANDELIONSPUR_SERVICES_ENTRY_PREVIEW_ROUTE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_PREVIEW_ROUTE_H_

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "libraries/entry_core/entry_core.h"
#include "libraries/network/http_messages.h"
#include "services/entry/submission_reader.h"

namespace dandelionspur {

// Answers what would become of a caller's request if it came now, without
// sending anything: docs/api.md.
class PreviewRoute {
 public:
  PreviewRoute(boost::asio::io_context& core_context, EntryCore& entry_core,
               const PublishedServingState& state, TaskBodies task_bodies)
      : context(core_context),
        core(entry_core),
        serving(state),
        bodies(task_bodies) {}

  // `request` carries the caller's request as JSON. Safe from any thread.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  // On the core's thread.
  [[nodiscard]] nlohmann::json Describe(const SubmissionCall& call);
  void DescribeHome(nlohmann::json& answer, EntryId home) const;
  [[nodiscard]] nlohmann::json DescribeCandidate(
      const CandidatePreview& candidate) const;

  boost::asio::io_context& context;
  EntryCore& core;
  const PublishedServingState& serving;
  TaskBodies bodies;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_PREVIEW_ROUTE_H_
