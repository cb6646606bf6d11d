#include "libraries/recording/segment.h"

#include <gtest/gtest.h>

#include "libraries/agent_core/agent_core.h"
#include "libraries/recording/recorder.h"
#include "libraries/recording/replayer.h"

namespace dandelionspur {
namespace {

AgentCoreSettings Settings() {
  AgentCoreSettings settings;
  settings.self = AgentId(7);
  settings.bucket_count = 4;
  return settings;
}

// Returns a segment with a few recorded steps of a core.
std::string RecordedSegment() {
  AgentCore core(Settings());
  Recorder<AgentCore> recorder(ProcessRole::kAgent, 7, Settings(), 1 << 20);
  const std::vector<AgentEvent> events = {EntryConnected{EntryId(1)},
                                          UpstreamAnnounced{}, LeaveRequested{},
                                          AgentTick{}};
  Timestamp now(std::chrono::seconds(1));
  for (const AgentEvent& event : events) {
    now += std::chrono::seconds(1);
    recorder.Record(event, now, core.Handle(event, now));
  }
  recorder.Close();
  return recorder.Oldest()->bytes;
}

// The error of decoding or replaying a segment; "replayed" if there is none.
std::string ProblemOf(const std::string& bytes) {
  return OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(segment, DecodeSegment(bytes, "segment"));
        Replayer<AgentCore> replayer;
        BOOST_LEAF_CHECK(
            replayer.Run(segment, "segment",
                         [](Timestamp, const AgentEvent&, const auto&) {}));
        return std::string("replayed");
      },
      [](const std::string& message) { return message; });
}

TEST(SegmentTest, IntactSegmentReplays) {
  EXPECT_EQ(ProblemOf(RecordedSegment()), "replayed");
}

TEST(SegmentTest, BytesOfAnotherFormatAreRefused) {
  EXPECT_EQ(ProblemOf("these bytes are from elsewhere"),
            "segment: offset 0: not a segment of dandelionspur");
}

// Guards the recordings of earlier versions, whose steps are not compressed.
TEST(SegmentTest, UncompressedSegmentsAreReadAsWell) {
  const std::string sealed = RecordedSegment();
  const auto problem = OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(segment, DecodeSegment(sealed, "segment"));
        std::string earlier = EncodeSegmentStart(segment.header);
        for (const RecordedStep& step : segment.steps) {
          AppendStep(earlier, step);
        }
        earlier.replace(0, 8, "DSPRSEG1");
        const std::uint64_t checksum = DigestOf(earlier.substr(16));
        for (unsigned i = 0; i < 8; ++i) {
          earlier[8 + i] = static_cast<char>(checksum >> (56U - 8U * i));
        }
        return ProblemOf(earlier);
      },
      [](const std::string& message) { return message; });
  EXPECT_EQ(problem, "replayed");
}

// Guards against recordings that compete with the work for a small link.
TEST(SegmentTest, HeartbeatsTakeFewBytes) {
  constexpr std::size_t kSteps = 1'000;
  constexpr std::size_t kMaximumBytesPerStep = 40;
  AgentCore core(Settings());
  Recorder<AgentCore> recorder(ProcessRole::kAgent, 7, Settings(), 1 << 20);
  Timestamp now(std::chrono::seconds(1));
  for (std::size_t i = 0; i < kSteps; ++i) {
    now += std::chrono::milliseconds(150);
    const AgentEvent event =
        EntryMessageReceived{EntryId(1 + i % 3), EntryHeartbeat{now}};
    recorder.Record(event, now, core.Handle(event, now));
  }
  recorder.Close();
  std::size_t bytes = 0;
  for (const FinishedSegment& segment : recorder.unsent()) {
    bytes += segment.bytes.size();
  }
  EXPECT_LE(bytes, kSteps * kMaximumBytesPerStep);
}

TEST(SegmentTest, EveryTruncationIsReported) {
  const std::string bytes = RecordedSegment();
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const std::string problem = ProblemOf(bytes.substr(0, length));
    EXPECT_NE(problem.find("offset"), std::string::npos) << length;
  }
}

TEST(SegmentTest, EveryChangedByteIsReported) {
  const std::string bytes = RecordedSegment();
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 0x40);
    EXPECT_NE(ProblemOf(changed), "replayed") << i;
  }
}

TEST(SegmentTest, DifferingEffectsAreReported) {
  std::string segment = EncodeSegmentStart(
      {ProcessRole::kAgent, 7, 0, 0, RecordCodec::ToMessagePack(Settings())});
  AppendStep(
      segment,
      {Timestamp(), RecordCodec::ToMessagePack(AgentEvent(AgentTick{})), 1234});
  SealSegment(segment);
  EXPECT_NE(ProblemOf(segment).find("record 0: the effects differ"),
            std::string::npos);
}

TEST(SegmentTest, MissingRecordsAreReported) {
  std::string segment = EncodeSegmentStart(
      {ProcessRole::kAgent, 7, 3, 40, RecordCodec::ToMessagePack(Settings())});
  SealSegment(segment);
  EXPECT_NE(ProblemOf(segment).find("records are missing"), std::string::npos);
}

TEST(RecorderTest, DroppedRecordsAreCounted) {
  Recorder<AgentCore> recorder(ProcessRole::kAgent, 7, Settings(), 1);
  for (int i = 0; i < 3; ++i) {
    recorder.Record(AgentTick{}, Timestamp(), {});
    recorder.Close();
  }
  EXPECT_EQ(recorder.unsent().size(), 1U);
  EXPECT_EQ(recorder.lost_records(), 2U);
}

}  // namespace
}  // namespace dandelionspur
