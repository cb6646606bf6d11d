#include "libraries/entry_core/submission_validator.h"

#include <xxhash.h>

#include <array>
#include <optional>
#include <utility>

#include "libraries/configuration/object_reader.h"
#include "libraries/protocol/parse_json.h"

namespace dandelionspur {
namespace {

constexpr std::size_t kMaximumKeyLength = 255;
constexpr std::size_t kMaximumAccountLength = 255;
// A job has at most five values beside those of its tasks, and a task three.
constexpr std::size_t kMaximumJobValues = 8 * kMaximumTasksPerJob;
constexpr IntegerRange kDeadlineRangeMilliseconds{1, 3'600'000};
constexpr IntegerRange kDeclaredRangeMilliseconds{1, 3'600'000};
constexpr Duration kDefaultDeclared = std::chrono::milliseconds(300);
constexpr Duration kRejectedRetryAfter{};
const char* const kDefaultClientAccount = "default";

std::optional<std::string> KeyProblem(const RawSubmission& raw) {
  if (raw.key.empty()) return "the Idempotency-Key header is missing";
  if (raw.key.size() > kMaximumKeyLength) {
    return "the Idempotency-Key header has more than 255 characters";
  }
  return std::nullopt;
}

// `origin`: the route of a queue, or the service for jobs of the API.
JobGroupId GroupOf(const ClientAccount& client_account,
                   const std::string& origin) {
  const std::string name = client_account.value() + '\n' + origin;
  return JobGroupId(XXH3_64bits(name.data(), name.size()));
}

JobSubmission NewSubmission(const RawSubmission& raw,
                            const ServiceDocument& document) {
  JobSubmission job;
  job.key = JobKey::FromText(raw.service, raw.key);
  job.created = CreationTime(raw.key);
  job.service = raw.service;
  job.client_account = ClientAccount(raw.client_account.empty()
                                         ? kDefaultClientAccount
                                         : std::string(raw.client_account));
  job.body_digest = XXH3_64bits(raw.body.data(), raw.body.size());
  job.name = std::string(raw.key);
  job.time_allowed = document.default_deadline;
  job.group = GroupOf(job.client_account, job.service.value());
  return job;
}

// Parses a job, but for the bodies of its tasks, which no one here reads: they
// are kept as text.
Result<nlohmann::json> ParseJob(std::string_view text) {
  static constexpr std::array<std::string_view, 3> kBodies = {"tasks", kAnyItem,
                                                              "body"};
  JsonLimits limits;
  limits.values = kMaximumJobValues;
  limits.text_path = kBodies;
  limits.text_bytes = kMaximumTaskBodyBytes;
  return ParseJson(text, "request", JsonComments::kIgnored, limits);
}

// Takes the body out of `task`, which has come from ParseJob.
TaskRequest ReadTask(ObjectReader& reader, nlohmann::json& task) {
  TaskRequest request;
  request.declared = reader.MillisecondsOr(
      "declared_ms", kDeclaredRangeMilliseconds, kDefaultDeclared);
  if (!reader.Has("body")) reader.ReportProblem("body", "is missing");
  reader.IgnoreField("body");
  const auto body = task.is_object() ? task.find("body") : task.end();
  if (!task.is_object() || body == task.end()) return request;
  auto& bytes = body->get_ref<std::string&>();
  if (bytes.size() > kMaximumTaskBodyBytes) {
    reader.ReportProblem("body", "must not exceed 1048576 bytes");
  }
  request.body = Payload::FromBytes(std::move(bytes));
  return request;
}

Result<JobSubmission> ReadJob(const RawSubmission& raw,
                              const ServiceDocument& document) {
  BOOST_LEAF_AUTO(json, ParseJob(raw.body));
  ObjectReader reader("request", "", json);
  JobSubmission job = NewSubmission(raw, document);
  job.client_account = ClientAccount(
      reader.TextOr("client_account", job.client_account.value()));
  if (job.client_account.value().size() > kMaximumAccountLength) {
    reader.ReportProblem("client_account", "must not exceed 255 bytes");
  }
  job.group = GroupOf(job.client_account, job.service.value());
  job.time_allowed = reader.MillisecondsOr(
      "deadline_ms", kDeadlineRangeMilliseconds, document.default_deadline);
  if (job.time_allowed > document.maximum_deadline) {
    reader.ReportProblem("deadline_ms",
                         "must not exceed the service's maximum_deadline_ms");
  }
  std::vector<ObjectReader> tasks = reader.Objects("tasks");
  if (tasks.empty() || tasks.size() > kMaximumTasksPerJob) {
    reader.ReportProblem("tasks", "must have from 1 to 860 items");
  }
  if (tasks.size() <= kMaximumTasksPerJob) {
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      job.tasks.push_back(ReadTask(tasks[i], json.at("tasks").at(i)));
      reader.FinishNested(tasks[i]);
    }
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return job;
}

}  // namespace

RejectedSubmission SubmissionValidator::Reject(Reason reason,
                                               std::string detail) {
  return RejectedSubmission{
      JobAnswer::NotRun(reason, NotRunProof(), kRejectedRetryAfter),
      std::move(detail)};
}

JobSubmission SubmissionValidator::QueuedJob(const ServiceName& service,
                                             const Route& route,
                                             std::string_view key,
                                             std::string_view body) {
  JobSubmission job;
  job.key = JobKey::FromText(service, key);
  job.service = service;
  job.client_account = ClientAccount(kDefaultClientAccount);
  job.time_allowed = route.timeout;
  job.body_digest = XXH3_64bits(body.data(), body.size());
  job.name = std::string(key);
  job.maximum_attempts = route.maximum_attempts;
  job.group = GroupOf(job.client_account, route.host + route.path_prefix);
  return job;
}

ValidatedSubmission SubmissionValidator::Job(const RawSubmission& raw,
                                             const ServiceDocument* document) {
  if (document == nullptr) {
    return Reject(Reason::kUnknownService,
                  "no document names this service: " + raw.service.value());
  }
  const std::optional<std::string> problem = KeyProblem(raw);
  if (problem) return Reject(Reason::kMalformedRequest, *problem);
  return OrElse(
      [&]() -> Result<ValidatedSubmission> {
        BOOST_LEAF_AUTO(job, ReadJob(raw, *document));
        return ValidatedSubmission(std::move(job));
      },
      [](const std::string& message) {
        return ValidatedSubmission(Reject(Reason::kMalformedRequest, message));
      });
}

ValidatedSubmission SubmissionValidator::Request(
    const RawSubmission& raw, const ServiceDocument* document,
    TaskBodies bodies) {
  if (document == nullptr) {
    return Reject(Reason::kUnknownService,
                  "no document names this service: " + raw.service.value());
  }
  const std::optional<std::string> problem = KeyProblem(raw);
  if (problem) return Reject(Reason::kMalformedRequest, *problem);
  if (bodies == TaskBodies::kText && !IsUtf8(raw.body)) {
    return Reject(Reason::kMalformedRequest,
                  "request: field \"body\" must be UTF-8, since the upstreams "
                  "of this service take text only");
  }
  if (raw.body.size() > kMaximumTaskBodyBytes) {
    return Reject(Reason::kMalformedRequest,
                  "the body must not exceed 1048576 bytes");
  }
  if (raw.client_account.size() > kMaximumAccountLength) {
    return Reject(Reason::kMalformedRequest,
                  "the Client-Account header has more than 255 characters");
  }
  JobSubmission job = NewSubmission(raw, *document);
  job.tasks.push_back(
      {Payload::FromBytes(std::string(raw.body)), kDefaultDeclared, kOneSlot});
  return job;
}

}  // namespace dandelionspur
