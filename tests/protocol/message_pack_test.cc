#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>

#include "libraries/protocol/message_pack_reader.h"
#include "libraries/protocol/message_pack_writer.h"

namespace dandelionspur {
namespace {

using nlohmann::json;

constexpr std::size_t kTooLongForOneByte = 256;
constexpr std::size_t kTooLongForTwoBytes = 65536;

void Write(const json& value, MessagePackWriter& writer) {
  switch (value.type()) {
    case json::value_t::null:
      return writer.Null();
    case json::value_t::boolean:
      return writer.Boolean(value.get<bool>());
    case json::value_t::number_integer:
      return writer.Signed(value.get<std::int64_t>());
    case json::value_t::number_unsigned:
      return writer.Unsigned(value.get<std::uint64_t>());
    case json::value_t::number_float:
      return writer.Floating(value.get<double>());
    case json::value_t::string:
      return writer.Text(value.get<std::string>());
    case json::value_t::binary: {
      const auto& bytes = value.get_binary();
      return writer.Binary(std::string(bytes.begin(), bytes.end()));
    }
    default:
      writer.ArrayOf(value.size());
      for (const json& item : value) Write(item, writer);
  }
}

std::string Written(const json& value) {
  std::string bytes;
  MessagePackWriter writer(bytes);
  Write(value, writer);
  return bytes;
}

std::string WrittenByNlohmannJson(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

json Binary(std::size_t size) {
  return json::binary(std::vector<std::uint8_t>(size, 7));
}

// Reads a value of the same type as `model`. Of an array only the header is
// read.
json ReadLike(const json& model, MessagePackReader& reader) {
  switch (model.type()) {
    case json::value_t::null:
      return reader.TakeNull() ? json() : json("not null");
    case json::value_t::boolean:
      return reader.Boolean();
    case json::value_t::number_integer:
      return reader.Signed();
    case json::value_t::number_unsigned:
      return reader.Unsigned();
    case json::value_t::number_float:
      return reader.Floating();
    case json::value_t::string:
      return std::string(reader.Text());
    case json::value_t::binary: {
      const std::string_view bytes = reader.Binary();
      return json::binary({bytes.begin(), bytes.end()});
    }
    default:
      return json(reader.ArrayItems(), nullptr);
  }
}

class MessagePackTest : public testing::TestWithParam<json> {};

// Guards against an encoding that differs from that of nlohmann::json, which
// earlier versions used for frames and recordings.
TEST_P(MessagePackTest, IsWrittenAsByNlohmannJson) {
  EXPECT_EQ(Written(this->GetParam()), WrittenByNlohmannJson(this->GetParam()));
}

TEST_P(MessagePackTest, IsReadAsWritten) {
  const std::string bytes = Written(this->GetParam());
  MessagePackReader reader(bytes);
  EXPECT_EQ(ReadLike(this->GetParam(), reader), this->GetParam());
  const bool has_items = this->GetParam().is_array();
  if (has_items) reader.Skip(this->GetParam().size());
  EXPECT_TRUE(reader.AtEnd());
}

// Guards the operation of mixed versions: values that a newer process has
// appended must be skipped.
TEST_P(MessagePackTest, IsSkipped) {
  const std::string bytes = Written(json::array({this->GetParam(), 5U}));
  MessagePackReader reader(bytes);
  ASSERT_EQ(reader.ArrayItems(), 2U);
  reader.Skip(1);
  EXPECT_EQ(reader.Unsigned(), 5U);
  EXPECT_TRUE(reader.AtEnd());
}

// Guards against reading beyond the end of a truncated frame.
TEST_P(MessagePackTest, EveryTruncationIsRefused) {
  const std::string bytes = Written(this->GetParam());
  const std::size_t step = 1 + bytes.size() / 1000;
  for (std::size_t length = 0; length < bytes.size(); length += step) {
    const std::string truncated = bytes.substr(0, length);
    MessagePackReader reader(truncated);
    try {
      reader.Skip(1);
      ADD_FAILURE() << "accepted " << length;
    } catch (const MessagePackError& error) {
      EXPECT_EQ(error.problem(), MessagePackProblem::kTruncated) << length;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Values, MessagePackTest,
    testing::Values(
        json(), json(true), json(false), json(0U), json(127U), json(128U),
        json(255U), json(256U), json(65535U), json(65536U), json(0xffffffffU),
        json(0x100000000U), json(std::numeric_limits<std::uint64_t>::max()),
        json(-1), json(-32), json(-33), json(-128), json(-129), json(-32768),
        json(-32769), json(std::numeric_limits<std::int32_t>::min()),
        json(std::int64_t{std::numeric_limits<std::int32_t>::min()} - 1),
        json(std::numeric_limits<std::int64_t>::min()), json(std::int64_t{300}),
        json(0.0), json(-0.5), json(0.1), json(1e300),
        json(std::numeric_limits<double>::infinity()), json(""),
        json(std::string(31, 'a')), json(std::string(32, 'a')),
        json(std::string(255, 'a')), json(std::string(kTooLongForOneByte, 'a')),
        json(std::string(kTooLongForTwoBytes, 'a')), Binary(0), Binary(255),
        Binary(kTooLongForOneByte), Binary(kTooLongForTwoBytes),
        json(json::array_t()), json(15, nullptr), json(16, nullptr),
        json(kTooLongForTwoBytes, nullptr)));

struct ProblemCase {
  const char* name;
  std::string bytes;
  MessagePackProblem problem;
};

class MessagePackProblemTest : public testing::TestWithParam<ProblemCase> {};

// Guards against a message that was cut off and is taken for one of a process
// that writes nonsense, or the reverse.
TEST_P(MessagePackProblemTest, TellsTruncatedFromMalformed) {
  MessagePackReader reader(this->GetParam().bytes);
  try {
    reader.Skip(reader.ArrayItems());
    static_cast<void>(reader.Unsigned());
    FAIL() << "accepted";
  } catch (const MessagePackError& error) {
    EXPECT_EQ(error.problem(), this->GetParam().problem);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, MessagePackProblemTest,
    testing::Values(
        ProblemCase{"Empty", "", MessagePackProblem::kTruncated},
        ProblemCase{"ArrayHeaderCutOff", "\xdc",
                    MessagePackProblem::kTruncated},
        ProblemCase{"ItemMissing", "\x92\x01", MessagePackProblem::kTruncated},
        ProblemCase{"NumberCutOff", "\x91\xcd\x01",
                    MessagePackProblem::kTruncated},
        ProblemCase{"StringCutOff",
                    "\x91\xa3"
                    "ab",
                    MessagePackProblem::kTruncated},
        ProblemCase{"NestedItemCutOff", "\x92\x92\x01\x02\xcd",
                    MessagePackProblem::kTruncated},
        ProblemCase{"ValueMissing", "\x91\x01", MessagePackProblem::kTruncated},
        ProblemCase{"MapCutOff", "\x91\x82\x01\x02",
                    MessagePackProblem::kTruncated},
        ProblemCase{"UnusedByte", "\xc1", MessagePackProblem::kMalformed},
        ProblemCase{"UnusedByteInAnArray", "\x92\x01\xc1",
                    MessagePackProblem::kMalformed},
        ProblemCase{"UnusedByteInACutOffArray", "\x93\x01\xc1",
                    MessagePackProblem::kMalformed},
        ProblemCase{"UnusedByteAfterAnArray", "\x91\x01\xc1",
                    MessagePackProblem::kMalformed},
        ProblemCase{"NoArray", "\x01", MessagePackProblem::kMalformed},
        ProblemCase{"Map", "\x91\x80\x01", MessagePackProblem::kMalformed},
        ProblemCase{"WrongType", "\x91\x01\xc3",
                    MessagePackProblem::kMalformed}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against exhausting the memory by an array header that announces more
// items than there are bytes.
TEST(MessagePackReaderTest, ArrayLongerThanTheBytesIsRefused) {
  MessagePackReader reader(std::string_view("\xdd\xff\xff\xff\xff\x00", 6));
  EXPECT_THROW(static_cast<void>(reader.ArrayItems()), MessagePackError);
}

// Guards against silent truncation of a number that doesn't fit.
TEST(MessagePackReaderTest, UnsignedBeyondSignedRangeIsRefused) {
  const std::string bytes = Written(std::numeric_limits<std::uint64_t>::max());
  MessagePackReader reader(bytes);
  EXPECT_THROW(static_cast<void>(reader.Signed()), MessagePackError);
}

}  // namespace
}  // namespace dandelionspur
