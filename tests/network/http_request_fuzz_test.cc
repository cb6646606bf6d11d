// Feeds the reader of a connection with mutated requests, divided at random. CI
// runs the fixed seed; HTTP_FUZZ_SEED and HTTP_FUZZ_RUNS choose others.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "libraries/network/http_request_reader.h"

namespace dandelionspur {
namespace {

constexpr std::uint64_t kSeed = 20261207;
constexpr std::uint64_t kRuns = 20'000;

const std::string kChunked =
    "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

HttpLimits SmallLimits() {
  HttpLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = 4096;
  limits.framing_bytes = 2048;
  return limits;
}

// The most that a reader with these limits may hold: the body's string grows by
// doubling, and the fields are counted as objects.
std::size_t MostHeld(const HttpLimits& limits) {
  return 2 * limits.body_bytes + 16 * std::size_t{limits.header_bytes};
}

class Stream {
 public:
  explicit Stream(std::uint64_t seed) : random(seed) {}

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }

  // Some requests in a row, with parts that end nowhere.
  std::string Generate() {
    static const std::vector<std::string> requests = {
        "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nbody1",
        kChunked + "4;e=v\r\nbody\r\n1\r\n2\r\n0;f\r\nt: v\r\n\r\n",
        kChunked + "0\r\n",
        "POST /e HTTP/1.1\r\nContent-Length: 4000\r\n\r\n",
        "POST /f HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
    };
    static const std::vector<std::string> pieces = {
        "x: y\r\n", "1\r\nb\r\n", ";e=v", "\r\n", "\r\n\r\n",
        "0\r\n",    "vvvvvvvv",   "\xff", "\"",   "ffffffffffffffff\r\n"};
    std::string bytes;
    for (std::size_t i = this->Below(4) + 1; i > 0; --i) {
      std::string request = requests[this->Below(requests.size())];
      if (this->Below(2) == 0) {
        const std::string& piece = pieces[this->Below(pieces.size())];
        std::string repeated;
        for (std::size_t n = this->Below(600); n > 0; --n) repeated += piece;
        request.insert(this->Below(request.size() + 1), repeated);
      }
      if (this->Below(4) == 0) request.resize(this->Below(request.size()));
      bytes += request;
    }
    return bytes;
  }

 private:
  std::mt19937_64 random;
};

// Returns the bodies of all requests in `bytes`, which arrive in pieces of a
// random size up to `piece`.
std::vector<std::string> ReadAll(const std::string& bytes, std::size_t piece,
                                 Stream& stream) {
  const HttpLimits limits = SmallLimits();
  HttpRequestReader reader(limits);
  std::vector<std::string> bodies;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto room = reader.Room();
    EXPECT_GT(room.size(), 0U);
    const std::size_t size =
        std::min({stream.Below(piece) + 1, room.size(), bytes.size() - at});
    std::memcpy(room.data(), bytes.data() + at, size);
    reader.Add(size);
    at += size;
    HttpReadState state = reader.Parse();
    EXPECT_LE(reader.held_bytes(), MostHeld(limits));
    while (state == HttpReadState::kComplete) {
      HttpRequest request = reader.Take();
      EXPECT_LE(request.body().size(), limits.body_bytes);
      bodies.push_back(std::move(request.body()));
      state = reader.Parse();
    }
    if (state == HttpReadState::kRefused) {
      EXPECT_GE(reader.refusal_status(), 400U);
      break;
    }
  }
  return bodies;
}

// Guards against a caller's bytes that make a process hold memory without end,
// and against requests that depend on how their bytes arrive.
TEST(HttpRequestFuzzTest, IsBoundedAndTheSameHoweverItArrives) {
  const std::uint64_t seed = NumberFrom("HTTP_FUZZ_SEED", kSeed);
  const std::uint64_t runs = NumberFrom("HTTP_FUZZ_RUNS", kRuns);
  Stream stream(seed);
  std::size_t complete = 0;
  for (std::uint64_t run = 0; run < runs && !HasFailure(); ++run) {
    const std::string bytes = stream.Generate();
    SCOPED_TRACE("seed " + std::to_string(seed) + ", run " +
                 std::to_string(run) + ": " + testing::PrintToString(bytes));
    const std::vector<std::string> whole =
        ReadAll(bytes, bytes.size() + 1, stream);
    EXPECT_EQ(ReadAll(bytes, 1 + stream.Below(40), stream), whole);
    complete += whole.size();
  }
  EXPECT_GT(complete, runs / 4);
}

// Guards against work that grows with the square of what arrives in small
// pieces: the parser must not look at the same bytes again and again.
TEST(HttpRequestFuzzTest, ReadsALargeBodyOfOneByteChunks) {
  HttpLimits limits;
  limits.framing_bytes = 64ULL * 1024 * 1024;
  HttpRequestReader reader(limits);
  constexpr std::size_t kChunks = 2'000'000;
  std::string bytes = kChunked;
  for (std::size_t i = 0; i < kChunks; ++i) bytes += "1\r\nb\r\n";
  bytes += "0\r\n\r\n";
  HttpReadState state = HttpReadState::kIncomplete;
  for (std::size_t at = 0; at < bytes.size();) {
    ASSERT_EQ(state, HttpReadState::kIncomplete);
    const auto room = reader.Room();
    const std::size_t size = std::min(room.size(), bytes.size() - at);
    std::memcpy(room.data(), bytes.data() + at, size);
    reader.Add(size);
    at += size;
    state = reader.Parse();
  }
  ASSERT_EQ(state, HttpReadState::kComplete);
  EXPECT_EQ(reader.Take().body(), std::string(kChunks, 'b'));
}

}  // namespace
}  // namespace dandelionspur
