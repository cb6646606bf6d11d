#include "libraries/entry_core/submission_validator.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

const ServiceDocument& Document() {
  static const ServiceDocument document = OrElse(
      [] {
        return ParseServiceDocument(R"({"service": "s", "owner": "o"})", "d");
      },
      [](const std::string&) { return ServiceDocument(); });
  return document;
}

std::string Tasks(std::size_t count) {
  std::string list;
  for (std::size_t i = 0; i < count; ++i) {
    list += std::string(i == 0 ? "" : ",") + R"({"body": 1})";
  }
  return R"({"tasks": [)" + list + "]}";
}

std::string Zeros(std::size_t count) {
  std::string list;
  for (std::size_t i = 0; i < count; ++i) list += ",0";
  return list;
}

struct BadCase {
  const char* name;
  std::string key;
  std::string body;
  Reason reason;
  std::string detail;
};

class BadSubmissionTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadSubmissionTest, IsRefusedAsNotRun) {
  const BadCase& bad = this->GetParam();
  const RawSubmission raw{ServiceName("s"), bad.key, bad.body, ""};
  const ValidatedSubmission validated = SubmissionValidator::Job(
      raw, bad.reason == Reason::kUnknownService ? nullptr : &Document());
  const auto* rejected = std::get_if<RejectedSubmission>(&validated);
  ASSERT_NE(rejected, nullptr);
  EXPECT_EQ(rejected->answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(rejected->answer.reason, bad.reason);
  EXPECT_EQ(rejected->detail.substr(0, bad.detail.size()), bad.detail);
}

INSTANTIATE_TEST_SUITE_P(
    Submissions, BadSubmissionTest,
    testing::Values(
        BadCase{"NoKey", "", Tasks(1), Reason::kMalformedRequest,
                "the Idempotency-Key header is missing"},
        BadCase{"LongKey", std::string(256, 'k'), Tasks(1),
                Reason::kMalformedRequest,
                "the Idempotency-Key header has more"},
        BadCase{"BrokenJson", "k", "{", Reason::kMalformedRequest,
                "request: not valid JSON"},
        BadCase{"NotUtf8", "k", "{\"\xff\": 1}", Reason::kMalformedRequest,
                "request: not valid JSON"},
        BadCase{"NotAnObject", "k", "[]", Reason::kMalformedRequest,
                "request: the document must be an object"},
        BadCase{"NoTasks", "k", "{}", Reason::kMalformedRequest,
                "request: field \"tasks\" is missing"},
        BadCase{"ZeroTasks", "k", Tasks(0), Reason::kMalformedRequest,
                "request: field \"tasks\" must have from 1 to 860 items"},
        BadCase{"TooManyTasks", "k", Tasks(861), Reason::kMalformedRequest,
                "request: field \"tasks\" must have from 1 to 860 items"},
        BadCase{"TaskWithoutBody", "k", R"({"tasks": [{}]})",
                Reason::kMalformedRequest,
                "request: field \"tasks[0].body\" is missing"},
        BadCase{"TaskNotAnObject", "k", R"({"tasks": [1]})",
                Reason::kMalformedRequest,
                "request: tasks[0]. must be an object"},
        BadCase{"ZeroDeadline", "k",
                R"({"tasks": [{"body": 1}], "deadline_ms": 0})",
                Reason::kMalformedRequest,
                "request: field \"deadline_ms\" must be an integer from 1"},
        BadCase{"NegativeDeadline", "k",
                R"({"tasks": [{"body": 1}], "deadline_ms": -5})",
                Reason::kMalformedRequest,
                "request: field \"deadline_ms\" must be an integer from 1"},
        BadCase{"DeadlineBeyondDocument", "k",
                R"({"tasks": [{"body": 1}], "deadline_ms": 900000})",
                Reason::kMalformedRequest,
                "request: field \"deadline_ms\" must not exceed"},
        BadCase{"LongAccount", "k",
                R"({"tasks": [{"body": 1}], "client_account": ")" +
                    std::string(256, 'a') + R"("})",
                Reason::kMalformedRequest,
                "request: field \"client_account\" must not exceed 255"},
        BadCase{"LongBody", "k",
                R"({"tasks": [{"body": [")" + std::string(1'048'576, 'b') +
                    R"("]}]})",
                Reason::kMalformedRequest,
                "request: field \"tasks[0].body\" must not exceed 1048576"},
        BadCase{"TooManyValues", "k",
                R"({"tasks": [{"body": 1}], "x": [0)" + Zeros(7'000) + "]}",
                Reason::kMalformedRequest,
                "request: not valid JSON: more than 6880 values"},
        BadCase{"UnknownField", "k", R"({"tasks": [{"body": 1}], "x": 1})",
                Reason::kMalformedRequest, "request: field \"x\" is unknown"},
        BadCase{"UnknownService", "k", Tasks(1), Reason::kUnknownService,
                "no document names this service"}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct RequestCase {
  const char* name;
  TaskBodies bodies;
  std::string key;
  std::string body;
  bool is_accepted;
};

class RequestBytesTest : public testing::TestWithParam<RequestCase> {};

// Guards against a body that the upstreams' protocol can't carry and that is
// found only after the key was recorded, or ends the agent.
TEST_P(RequestBytesTest, AreAcceptedWhereTheProtocolCarriesThem) {
  const RequestCase& tested = this->GetParam();
  const RawSubmission raw{ServiceName("s"), tested.key, tested.body, "\xff"};
  const ValidatedSubmission validated =
      SubmissionValidator::Request(raw, &Document(), tested.bodies);
  const auto* rejected = std::get_if<RejectedSubmission>(&validated);
  ASSERT_EQ(rejected == nullptr, tested.is_accepted);
  if (rejected == nullptr) {
    const auto& job = std::get<JobSubmission>(validated);
    EXPECT_EQ(job.name, tested.key);
    EXPECT_EQ(job.tasks.front().body.bytes(), tested.body);
    return;
  }
  EXPECT_EQ(rejected->answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(rejected->answer.reason, Reason::kMalformedRequest);
  EXPECT_NE(rejected->detail.find("field \"body\""), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, RequestBytesTest,
    testing::Values(
        RequestCase{"TextAsText", TaskBodies::kText, "k", "größe", true},
        RequestCase{"BytesAsBytes", TaskBodies::kBytes, "k", "\x89PNG", true},
        RequestCase{"BytesAsText", TaskBodies::kText, "k", "\x89PNG", false},
        RequestCase{"KeyOfBytes", TaskBodies::kText, "k\xff", "a", true}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(SubmissionValidatorTest, SoundJobIsAccepted) {
  const std::string body = Tasks(860);
  const RawSubmission raw{ServiceName("s"), "k", body, ""};
  const ValidatedSubmission validated =
      SubmissionValidator::Job(raw, &Document());
  const auto* rejected = std::get_if<RejectedSubmission>(&validated);
  ASSERT_EQ(rejected, nullptr) << rejected->detail;
  const auto* job = std::get_if<JobSubmission>(&validated);
  EXPECT_EQ(job->tasks.size(), kMaximumTasksPerJob);
  EXPECT_EQ(job->time_allowed, Document().default_deadline);
}

}  // namespace
}  // namespace dandelionspur
