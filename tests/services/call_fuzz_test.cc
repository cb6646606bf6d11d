// Sends mutated requests of callers and upstreams to what handles them. CI runs
// the fixed seed; CALL_FUZZ_SEED and CALL_FUZZ_RUNS choose others.

#include <gtest/gtest.h>

#include <boost/beast/http/parser.hpp>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libraries/configuration/stored_document.h"
#include "libraries/network/rcu_value.h"
#include "platform/job_calls.h"
#include "platform/upstream_calls.h"
#include "platform/upstream_heartbeat.h"
#include "services/entry/caller_routes.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kSeed = 20261205;
constexpr std::uint64_t kRuns = 20'000;

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string RequestText(const std::string& line, const std::string& headers,
                        const std::string& body) {
  return line + " HTTP/1.1\r\nHost: queue.example\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Changes a text at some random places.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random(seed) {}

  std::string Mutate(std::string text) {
    constexpr std::size_t kMaximumChanges = 4;
    const std::size_t changes = this->Below(kMaximumChanges) + 1;
    for (std::size_t i = 0; i < changes; ++i) this->ChangeOnce(text);
    return text;
  }

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }

 private:
  void ChangeOnce(std::string& text) {
    // What has been hard for parsers before.
    static const std::vector<std::string> tokens = {
        "\xff",    "\xc3",    std::string(1, '\0'),
        "\\ud800", "\\u0000", "\"",
        "{",       "[[[[[[",  "-1",
        "1e999",   "null",    "18446744073709551616",
        "/",       "//",      "?",
        "%",       "\r\n",    ": ",
        "~",       "999999",  "a\xed\xa0\x80"};
    constexpr std::size_t kKinds = 4;
    const std::size_t at = this->Below(text.size() + 1);
    switch (this->Below(kKinds)) {
      case 0:
        text.insert(at, tokens[this->Below(tokens.size())]);
        break;
      case 1:
        text.erase(at, this->Below(8) + 1);
        break;
      case 2:
        if (at < text.size()) text[at] = static_cast<char>(this->Below(256));
        break;
      default:
        text.insert(at, text.substr(this->Below(text.size() + 1), 40));
        break;
    }
  }

  std::mt19937_64 random;
};

// Parses a request as the server does; nothing if the server refuses it.
std::optional<HttpRequest> ParseRequest(const std::string& text) {
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(text), error);
  if (error || !parser.is_done()) return std::nullopt;
  return parser.release();
}

const std::string kUuidKey =
    "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n";

// Each kind of call, before it is mutated.
const std::vector<std::string>& CallerCorpus() {
  static const std::vector<std::string> corpus = {
      RequestText("POST /v1/services/demo/jobs", "Idempotency-Key: k\r\n",
                  R"({"tasks":[{"body":{"a":[1,"b"]},"declared_ms":50}],)"
                  R"("deadline_ms":5000,"client_account":"guides"})"),
      RequestText("POST /v1/services/demo/jobs", kUuidKey,
                  R"({"tasks":[{"body":"text"},{"body":null}]})"),
      RequestText("POST /v1/services/demo/requests",
                  "Idempotency-Key: k\xff\r\nClient-Account: a\xff\r\n",
                  "\x89PNG"),
      RequestText("GET /v1/services/demo/jobs/key", "", ""),
      RequestText("DELETE /v1/services/demo/jobs/key", "", ""),
      RequestText("POST /jobs/5c0e7a21d94b36f8", "X-Deadline-Ms: 900\r\n",
                  R"({"spec":"t","best_effort":true,"steps":[{"count":4,)"
                  R"("cpu":500,"mem_mb":256,"estimate_ms":900}]})"),
      RequestText("GET /jobs/5c0e7a21d94b36f8", "", ""),
      RequestText("DELETE /jobs/5c0e7a21d94b36f8", "", ""),
      RequestText("GET /jobs/", "", ""),
  };
  return corpus;
}

const std::vector<std::string>& UpstreamCorpus() {
  static const std::vector<std::string> corpus = {
      RequestText("POST /-/Instances.Heartbeat/i-7f3a91c2", "",
                  R"({"service":"demo","address":"10.0.0.9:80","zone":"z",)"
                  R"("version":"v1","slots":8,"state":"ready",)"
                  R"("cold_left_ms":0,"capacity":{"cpu":1,"mem_mb":2},)"
                  R"("labels":["a"],"clock_ms":482113,"seq":4,"born":5})"),
      RequestText("POST /-/Instances.Leave/i-7f3a91c2", "", R"({"born":5})"),
  };
  return corpus;
}

const std::vector<std::string>& AnswerCorpus() {
  static const std::vector<std::string> corpus = {
      R"({"clock_ms":482113})",
      R"({"clock_ms":482113,"reason":"fence"})",
      R"({"clock_ms":482113,"born":7,"running":[["a.0.0.17",2,"s",41]],)"
      R"("finished":[[58,"a.0.0.9",1,"done",""]]})",
  };
  return corpus;
}

class CallFuzzTest : public testing::Test {
 protected:
  // Calls `check` with mutated items of the corpus.
  template <typename Check>
  void Run(const std::vector<std::string>& corpus, Check&& check) {
    const std::uint64_t seed = NumberFrom("CALL_FUZZ_SEED", kSeed);
    const std::uint64_t runs = NumberFrom("CALL_FUZZ_RUNS", kRuns);
    Mutator mutator(seed);
    for (std::uint64_t run = 0; run < runs && !this->HasFailure(); ++run) {
      const std::string text =
          mutator.Mutate(corpus[mutator.Below(corpus.size())]);
      SCOPED_TRACE("seed " + std::to_string(seed) + ", run " +
                   std::to_string(run) + ": " + testing::PrintToString(text));
      EXPECT_NO_THROW(check(text));
    }
  }

  const RcuReaderRegistration reader;
};

class CallerFuzzTest : public CallFuzzTest,
                       public testing::WithParamInterface<UpstreamProtocol> {
 protected:
  CallerFuzzTest() {
    ServingState state;
    state.Adopt({ServiceName("demo"), DocumentVersion(1),
                 R"({"service":"demo","owner":"o","routes":[{)"
                 R"("host":"queue.example","path_prefix":"/jobs/",)"
                 R"("timeout_ms":1500}]})"});
    this->serving.Publish(std::move(state));
  }

  CoreInterface Core() {
    CoreInterface core;
    core.submit = [this](const JobSubmission& job, const auto&... /*rest*/) {
      ++this->core_calls;
      this->CheckSubmission(job);
    };
    core.cancel = [this](const auto&... /*rest*/) { ++this->core_calls; };
    return core;
  }

  // What the core accepts has a key, and can be sent to the upstream.
  void CheckSubmission(const JobSubmission& job) {
    if (job.kind != SubmissionKind::kRun) return;
    ++this->accepted;
    EXPECT_FALSE(job.tasks.empty());
    EXPECT_LE(job.tasks.size(), kMaximumTasksPerJob);
    if (this->GetParam() == UpstreamProtocol::kOwn) return;
    StartOrder order;
    order.run.task = UpstreamTaskName(job.name, 0);
    order.body = job.tasks.front().body.bytes();
    EXPECT_TRUE(CanCarryBody(order.body));
    EncodeOrder(order, {});
  }

  Metrics metrics;
  PublishedServingState serving;
  std::size_t core_calls = 0;
  std::size_t accepted = 0;
};

// Guards against processes that end because of a caller's bytes, and against
// calls that nobody answers.
TEST_P(CallerFuzzTest, EachCallIsAnsweredOrPassedOn) {
  CallerRoutes routes(this->serving, this->Core(), this->GetParam(),
                      this->metrics);
  this->Run(CallerCorpus(), [&](const std::string& text) {
    const std::optional<HttpRequest> request = ParseRequest(text);
    if (!request) return;
    std::size_t answers = 0;
    this->core_calls = 0;
    routes.Handle(*request, HttpResponder([&](const HttpResponseFactory& make) {
      ++answers;
      EXPECT_GE(make().result_int(), 200U);
    }));
    EXPECT_GE(answers + this->core_calls, 1U);
    EXPECT_LE(answers, 1U);
  });
  // The corpus still reaches the core.
  EXPECT_GT(this->accepted, 0U);
}

INSTANTIATE_TEST_SUITE_P(Protocols, CallerFuzzTest,
                         testing::Values(UpstreamProtocol::kOwn,
                                         UpstreamProtocol::kPlatform));

// Guards against agents that end because of an upstream's bytes.
TEST_F(CallFuzzTest, UpstreamCallsAreDecodedOrRefused) {
  std::size_t decoded = 0;
  this->Run(UpstreamCorpus(), [&](const std::string& text) {
    const std::optional<HttpRequest> request = ParseRequest(text);
    if (!request) return;
    decoded += OrElse(
        [&]() -> Result<std::size_t> {
          BOOST_LEAF_CHECK(DecodeUpstreamCall(*request));
          return 1;
        },
        [](const std::string&) { return std::size_t{0}; });
  });
  EXPECT_GT(decoded, 0U);
}

TEST_F(CallFuzzTest, UpstreamAnswersAreDecodedOrUnknown) {
  this->Run(AnswerCorpus(), [](const std::string& text) {
    const HttpResult result{HttpProgress::kAnswered,
                            MakeHttpResponse(200, "application/json", text)};
    DecodeOrderAnswer(result);
    DecodeListAnswer(result);
  });
}

}  // namespace
}  // namespace dandelionspur
