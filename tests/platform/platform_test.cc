#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "libraries/configuration/service_document.h"
#include "platform/base64.h"
#include "platform/desired_state.h"
#include "platform/job_calls.h"
#include "platform/upstream_calls.h"
#include "platform/upstream_heartbeat.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

HttpResult Answered(unsigned status, const std::string& body) {
  return {HttpProgress::kAnswered,
          MakeHttpResponse(status, "application/json", body)};
}

struct Base64Case {
  std::string plain;
  std::string encoded;
};

class Base64Test : public testing::TestWithParam<Base64Case> {};

// The test vectors of RFC 4648, section 10, and binary data.
TEST_P(Base64Test, EncodesAndDecodes) {
  const Base64Case& tested = this->GetParam();
  EXPECT_EQ(EncodeBase64(tested.plain), tested.encoded);
  EXPECT_EQ(DecodeBase64(tested.encoded), std::optional(tested.plain));
}

INSTANTIATE_TEST_SUITE_P(
    Vectors, Base64Test,
    testing::Values(Base64Case{"", ""}, Base64Case{"f", "Zg=="},
                    Base64Case{"fo", "Zm8="}, Base64Case{"foo", "Zm9v"},
                    Base64Case{"foob", "Zm9vYg=="},
                    Base64Case{"fooba", "Zm9vYmE="},
                    Base64Case{"foobar", "Zm9vYmFy"},
                    Base64Case{std::string("\0\xff\x80", 3), "AP+A"}));

TEST(Base64Test, RejectsInvalidText) {
  for (const char* text : {"Zg", "Z===", "====", "Zm9*", "Zm9v\n"}) {
    EXPECT_FALSE(DecodeBase64(text)) << text;
  }
}

struct JobCase {
  const char* name;
  std::string body;
  // Nullopt: the job is accepted.
  std::optional<Reason> refusal;
};

class DecodeJobTest : public testing::TestWithParam<JobCase> {};

TEST_P(DecodeJobTest, AcceptsOrGivesTheReason) {
  const auto decoded = DecodeJob(this->GetParam().body);
  const auto* refused = std::get_if<JobDecodeError>(&decoded);
  ASSERT_EQ(refused != nullptr, this->GetParam().refusal.has_value());
  if (refused != nullptr) {
    EXPECT_EQ(refused->reason, *this->GetParam().refusal);
    return;
  }
  const DecodedJob& job = std::get<DecodedJob>(decoded);
  ASSERT_EQ(job.tasks.size(), 2U);
  EXPECT_EQ(job.rerun, RerunPolicy::kAfterLease);
  EXPECT_EQ(job.tasks[1].need, (Resources{3100, 64, 0}));
  EXPECT_EQ(job.tasks[1].declared, std::chrono::milliseconds(200));
  EXPECT_EQ(job.tasks[1].body.bytes(), "text");
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, DecodeJobTest,
    testing::Values(
        JobCase{"Plain",
                R"({"spec":"text","best_effort":true,"steps":[{"count":2,)"
                R"("cpu":3100,"mem_mb":64,"estimate_ms":200}]})",
                std::nullopt},
        JobCase{"Durable",
                R"({"spec":"text","steps":[{"count":2,"cpu":3100}]})",
                Reason::kUnsupportedJob},
        JobCase{"TwoSteps",
                R"({"best_effort":true,"steps":[{"count":1},{"count":1}]})",
                Reason::kUnsupportedJob},
        JobCase{"Gang",
                R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})",
                Reason::kUnsupportedJob},
        JobCase{"Repeated",
                R"({"best_effort":true,"repeat_count":3,)"
                R"("steps":[{"count":1}]})",
                Reason::kUnsupportedJob},
        JobCase{"NoTasks", R"({"best_effort":true,"steps":[{"cpu":1}]})",
                Reason::kMalformedRequest},
        JobCase{"TooManyTasks",
                R"({"best_effort":true,"steps":[{"count":861}]})",
                Reason::kMalformedRequest},
        JobCase{"StepsMissing", R"({"best_effort":true})",
                Reason::kMalformedRequest},
        JobCase{"CpuIsText",
                R"({"best_effort":true,"steps":[{"count":1,"cpu":"x"}]})",
                Reason::kMalformedRequest},
        JobCase{"NotJson", "\xc1\xc1", Reason::kMalformedRequest},
        JobCase{"NotAnObject", "[1]", Reason::kMalformedRequest}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct AnswerCase {
  const char* name;
  JobAnswer answer;
  unsigned status;
  const char* state;
};

class EncodeJobAnswerTest : public testing::TestWithParam<AnswerCase> {};

TEST_P(EncodeJobAnswerTest, HasStatusAndState) {
  const HttpResponse response = EncodeJobAnswer(this->GetParam().answer);
  EXPECT_EQ(response.result_int(), this->GetParam().status);
  EXPECT_NE(response.body().find(this->GetParam().state), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EncodeJobAnswerTest,
    testing::Values(
        AnswerCase{"Complete", JobAnswer::Complete({}), 200, "completed"},
        AnswerCase{"Failed", JobAnswer::Ran(Reason::kTaskFailed), 200,
                   "failed"},
        AnswerCase{"CrashesUpstreams",
                   JobAnswer::Ran(Reason::kTaskCrashesUpstreams), 200,
                   "failed"},
        AnswerCase{"Cancelled", JobAnswer::MayHaveRun(Reason::kCancelled), 200,
                   "cancelled"},
        AnswerCase{"Late", JobAnswer::MayHaveRun(Reason::kDeadlineExceeded),
                   504, "deadline"},
        AnswerCase{"Lost", JobAnswer::MayHaveRun(Reason::kAgentLost), 502,
                   "agent_lost"},
        AnswerCase{"NotRun",
                   {Verdict::kNotRun,
                    Reason::kQueueFull,
                    {},
                    std::chrono::milliseconds(1500)},
                   503,
                   "queue_full"},
        AnswerCase{"Quota",
                   {Verdict::kNotRun, Reason::kQuotaExceeded, {}, {}},
                   429,
                   "quota"},
        AnswerCase{"NoService",
                   {Verdict::kNotRun, Reason::kUnknownService, {}, {}},
                   404,
                   "unknown_service"}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(EncodeJobAnswerTest, RetryAfterIsWholeSecondsRoundedUp) {
  JobAnswer answer;
  answer.verdict = Verdict::kNotRun;
  answer.reason = Reason::kQueueFull;
  answer.retry_after = std::chrono::milliseconds(1200);
  EXPECT_EQ(EncodeJobAnswer(answer)[http::field::retry_after], "2");
}

struct HeartbeatCase {
  const char* name;
  std::string target;
  std::string body;
  bool readable;
};

class HeartbeatTest : public testing::TestWithParam<HeartbeatCase> {};

constexpr const char* kGoodHeartbeat =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":32000,)"
    R"("mem_mb":1024,"gpu":0},"labels":["a","r1"],"clock_ms":5,"seq":4,)"
    R"("born":99})";

TEST_P(HeartbeatTest, IsDecodedOrRejected) {
  HttpRequest request{http::verb::post, this->GetParam().target, 11};
  request.body() = this->GetParam().body;
  const bool readable = OrElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeUpstreamCall(request));
        return true;
      },
      [](const std::string& problem) {
        EXPECT_FALSE(problem.empty());
        return false;
      });
  EXPECT_EQ(readable, this->GetParam().readable);
}

INSTANTIATE_TEST_SUITE_P(
    Calls, HeartbeatTest,
    testing::Values(
        HeartbeatCase{"Good", "/-/Instances.Heartbeat/i-1", kGoodHeartbeat,
                      true},
        HeartbeatCase{"Leave", "/-/Instances.Leave/i-1", "", true},
        HeartbeatCase{"UnknownPath", "/-/Other/i-1", kGoodHeartbeat, false},
        HeartbeatCase{"UnknownState", "/-/Instances.Heartbeat/i-1",
                      R"({"service":"s","address":"10.0.0.1:80",)"
                      R"("state":"odd","capacity":{},"clock_ms":5,"seq":4})",
                      false},
        HeartbeatCase{"NoService", "/-/Instances.Heartbeat/i-1",
                      R"({"address":"10.0.0.1:80","state":"ready",)"
                      R"("capacity":{},"clock_ms":5,"seq":4})",
                      false},
        HeartbeatCase{"AddressWithoutPort", "/-/Instances.Heartbeat/i-1",
                      R"({"service":"s","address":"10.0.0.1",)"
                      R"("state":"ready","capacity":{},"clock_ms":5,"seq":4})",
                      false},
        HeartbeatCase{"SequenceIsText", "/-/Instances.Heartbeat/i-1",
                      R"({"service":"s","address":"10.0.0.1:80",)"
                      R"("state":"ready","capacity":{},"clock_ms":5,)"
                      R"("seq":"x"})",
                      false},
        HeartbeatCase{"Bytes", "/-/Instances.Heartbeat/i-1", "\x93\xff", false},
        HeartbeatCase{"Empty", "/-/Instances.Heartbeat/i-1", "", false}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct GoneCase {
  const char* name;
  std::string body;
  // Nothing if the notice is unreadable.
  std::optional<std::int64_t> started_milliseconds;
};

class GoneTest : public testing::TestWithParam<GoneCase> {};

// Guards against a notice of an earlier process that is taken for one of the
// present process under the same id.
TEST_P(GoneTest, DecodesWhichProcessHasEnded) {
  HttpRequest request{http::verb::post, "/-/Instances.Leave/i-1", 11};
  request.body() = this->GetParam().body;
  const std::optional<UpstreamIncarnation> ended = OrElse(
      [&]() -> Result<std::optional<UpstreamIncarnation>> {
        BOOST_LEAF_AUTO(call, DecodeUpstreamCall(request));
        return std::optional(std::get<UpstreamGone>(call).incarnation);
      },
      [](const std::string&) { return std::optional<UpstreamIncarnation>(); });
  ASSERT_EQ(ended.has_value(),
            this->GetParam().started_milliseconds.has_value());
  if (!ended) return;
  EXPECT_EQ(ended->id, "i-1");
  EXPECT_EQ(ended->started_milliseconds,
            *this->GetParam().started_milliseconds);
}

INSTANTIATE_TEST_SUITE_P(
    Notices, GoneTest,
    testing::Values(GoneCase{"Dated", R"({"born":99})", 99},
                    GoneCase{"Undated", "{}", 0}, GoneCase{"Empty", "", 0},
                    GoneCase{"BornIsText", R"({"born":"x"})", std::nullopt},
                    GoneCase{"List", "[]", std::nullopt},
                    GoneCase{"Bytes", "\x93\xff", std::nullopt}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct TaskNameCase {
  std::string name;
  std::string job;
  std::string task;
};

class TaskNameTest : public testing::TestWithParam<TaskNameCase> {};

// Guards against an agent that ends by an exception: a caller's key may hold
// any byte, and names the task in each order.
TEST_P(TaskNameTest, FitsIntoAnOrder) {
  const std::string task = UpstreamTaskName(this->GetParam().job, 3);
  EXPECT_EQ(task, this->GetParam().task);
  StartOrder start;
  start.run.task = task;
  StopOrder stop;
  stop.run.task = task;
  EXPECT_NE(EncodeOrder(start, {}).body().find(task), std::string::npos);
  EXPECT_NE(EncodeOrder(stop, {}).body().find(task), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Names, TaskNameTest,
    testing::Values(TaskNameCase{"Identifier", "5c0e7a21d94b36f8",
                                 "5c0e7a21d94b36f8.0.0.3"},
                    TaskNameCase{"Text", "größe 1", "größe 1.0.0.3"},
                    TaskNameCase{"NoText", "k\xff", "~6bff.0.0.3"},
                    // Two jobs must not have tasks of the same name.
                    TaskNameCase{"LikeAnEncodedOne", "~6bff",
                                 "~7e36626666.0.0.3"}),
    [](const auto& tested) { return tested.param.name; });

struct BodyCase {
  std::string name;
  std::string body;
  bool can_carry;
};

class StartBodyTest : public testing::TestWithParam<BodyCase> {};

// Guards against an agent that ends by an exception, or an upstream that is
// sent another body than the caller's.
TEST_P(StartBodyTest, IsCarriedAsItIsOrRefused) {
  const BodyCase& tested = this->GetParam();
  ASSERT_EQ(CanCarryBody(tested.body), tested.can_carry);
  if (!tested.can_carry) return;
  StartOrder start;
  start.body = tested.body;
  const auto wire = nlohmann::json::parse(EncodeOrder(start, {}).body());
  EXPECT_EQ(wire.at("spec"), tested.body);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, StartBodyTest,
    testing::Values(BodyCase{"Empty", "", true}, BodyCase{"Ascii", "a\n", true},
                    BodyCase{"Zero", std::string("a\0b", 3), true},
                    BodyCase{"Utf8", "größe", true},
                    BodyCase{"LoneByte", "\x89PNG", false},
                    BodyCase{"CutSequence", "a\xc3", false},
                    BodyCase{"Overlong", "\xc0\xaf", false},
                    BodyCase{"Surrogate", "\xed\xa0\x80", false}),
    [](const auto& tested) { return tested.param.name; });

struct OrderCase {
  const char* name;
  HttpResult result;
  OrderOutcome outcome;
};

class OrderAnswerTest : public testing::TestWithParam<OrderCase> {};

TEST_P(OrderAnswerTest, DecodesTheOutcome) {
  EXPECT_EQ(DecodeOrderAnswer(this->GetParam().result).outcome,
            this->GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, OrderAnswerTest,
    testing::Values(
        OrderCase{"Done", Answered(200, R"({"clock_ms":7})"),
                  OrderOutcome::kDone},
        OrderCase{"Fence", Answered(409, R"({"reason":"fence"})"),
                  OrderOutcome::kFenced},
        OrderCase{"Old", Answered(409, R"({"reason":"old"})"),
                  OrderOutcome::kStaleRunNumber},
        OrderCase{"Late", Answered(409, R"({"reason":"late"})"),
                  OrderOutcome::kLeaseExpired},
        OrderCase{"Room", Answered(409, R"({"reason":"room"})"),
                  OrderOutcome::kNoCapacity},
        OrderCase{"Ticket", Answered(409, R"({"reason":"ticket"})"),
                  OrderOutcome::kRefused},
        OrderCase{"ReasonMissing", Answered(409, "{}"), OrderOutcome::kRefused},
        OrderCase{"Unhealthy", Answered(503, ""), OrderOutcome::kRefused},
        OrderCase{"Misdirected", Answered(421, ""),
                  OrderOutcome::kOtherIncarnation},
        OrderCase{"ClockIsText", Answered(200, R"({"clock_ms":"x"})"),
                  OrderOutcome::kUnknown},
        OrderCase{
            "NotSent", {HttpProgress::kNotSent, {}}, OrderOutcome::kNotSent},
        OrderCase{"ConnectionRefused",
                  {HttpProgress::kConnectionRefused, {}},
                  OrderOutcome::kConnectionRefused},
        OrderCase{
            "NoAnswer", {HttpProgress::kUnknown, {}}, OrderOutcome::kUnknown}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(ListAnswerTest, DecodesRunningAndCompletedRuns) {
  const ListAnswer list = DecodeListAnswer(Answered(
      200, R"({"clock_ms":7,"born":5,"running":[["a.0.0.1",2,"",41,3]],)"
           R"("finished":[[58,"a.0.0.9",1,"done",""],)"
           R"([59,"a.0.0.2",1,"lapsed",""]]})"));
  ASSERT_EQ(list.answer.outcome, OrderOutcome::kDone);
  EXPECT_EQ(list.started_milliseconds, 5);
  ASSERT_EQ(list.running.size(), 1U);
  EXPECT_EQ(list.running[0], (TaskRun{"a.0.0.1", RunNumber(2)}));
  ASSERT_EQ(list.completed.size(), 2U);
  EXPECT_EQ(list.completed[0].outcome, RunOutcome::kDone);
  EXPECT_EQ(list.completed[1].outcome, RunOutcome::kLapsed);
  EXPECT_EQ(list.completed[1].number, CompletionNumber(59));
}

TEST(ListAnswerTest, MalformedListHasUnknownOutcomeAndNoRuns) {
  for (const char* body :
       {"", R"({"clock_ms":7})", R"({"running":[[1]],"finished":[]})",
        R"({"running":[],"finished":[["x","a",1,"done",""]]})"}) {
    const ListAnswer list = DecodeListAnswer(Answered(200, body));
    EXPECT_EQ(list.answer.outcome, OrderOutcome::kUnknown) << body;
    EXPECT_TRUE(list.completed.empty());
  }
}

TEST(ConfigurationTest, IsConvertedToOneDocumentForEachService) {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
      R"("path_prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,)"
      R"("priority":2,"service":"s1","max_attempts":4,"stretch":1.6}],)"
      R"("services":[{"name":"s1"},{"name":"s2"}],"limits":{}})";
  const auto documents = OrElse([&] { return DecodeConfiguration(text); },
                                [](const std::string& problem) {
                                  ADD_FAILURE() << problem;
                                  return std::vector<VersionedDocument>();
                                });
  ASSERT_EQ(documents.size(), 2U);
  EXPECT_EQ(documents[0].version, DocumentVersion(7));
  const auto parsed =
      OrElse([&] { return ParseServiceDocument(documents[0].text, "s1"); },
             [](const std::string& problem) {
               ADD_FAILURE() << problem;
               return ServiceDocument();
             });
  ASSERT_EQ(parsed.routes.size(), 1U);
  EXPECT_EQ(parsed.routes[0].maximum_attempts, 4U);
  EXPECT_EQ(parsed.routes[0].Objective(std::chrono::milliseconds(100)),
            std::chrono::milliseconds(220));
}

TEST(ConfigurationTest, MalformedConfigurationIsRejected) {
  for (const char* text :
       {"", "[]", R"({"version":"x","routes":[],"services":[]})",
        R"({"version":1,"routes":[{"host":"h"}],"services":[]})",
        R"({"version":1,"services":[]})"}) {
    const bool refused = OrElse(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(DecodeConfiguration(text));
          return false;
        },
        [](const std::string&) { return true; });
    EXPECT_TRUE(refused) << text;
  }
}

}  // namespace
}  // namespace dandelionspur
