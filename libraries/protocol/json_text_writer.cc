#include "libraries/protocol/json_text_writer.h"

#include <array>

namespace dandelionspur {
namespace {

constexpr char kFirstUnescaped = ' ';

bool NeedsEscape(char character) {
  const bool is_control = static_cast<unsigned char>(character) <
                          static_cast<unsigned char>(kFirstUnescaped);
  return is_control || character == '"' || character == '\\';
}

std::string Escaped(char character) {
  switch (character) {
    case '"':
      return "\\\"";
    case '\\':
      return "\\\\";
    case '\b':
      return "\\b";
    case '\f':
      return "\\f";
    case '\n':
      return "\\n";
    case '\r':
      return "\\r";
    case '\t':
      return "\\t";
    default:
      break;
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsOfDigit = 4;
  constexpr unsigned kDigitMask = 0xf;
  const auto code = static_cast<unsigned char>(character);
  std::string escaped = "\\u00";
  escaped += kDigits[code >> kBitsOfDigit];
  escaped += kDigits[code & kDigitMask];
  return escaped;
}

}  // namespace

void JsonTextWriter::Literal(std::string_view literal) {
  this->BeginValue();
  this->Append(literal);
}

void JsonTextWriter::String(std::string_view value) {
  this->BeginValue();
  this->AppendQuoted(value);
}

void JsonTextWriter::Open(char bracket) {
  this->BeginValue();
  this->Append({&bracket, 1});
  this->needs_comma = false;
  ++this->open_count;
}

void JsonTextWriter::Close(char bracket) {
  this->Append({&bracket, 1});
  this->needs_comma = true;
  --this->open_count;
}

void JsonTextWriter::Key(std::string_view name) {
  this->BeginValue();
  this->AppendQuoted(name);
  this->Append(":");
  this->needs_comma = false;
}

void JsonTextWriter::BeginValue() {
  if (this->needs_comma) this->Append(",");
  this->needs_comma = true;
}

void JsonTextWriter::Append(std::string_view part) {
  if (this->written.size() > this->longest) return;
  this->written += part;
}

void JsonTextWriter::AppendQuoted(std::string_view value) {
  this->Append("\"");
  std::size_t plain_from = 0;
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (!NeedsEscape(value[i])) continue;
    this->Append(value.substr(plain_from, i - plain_from));
    this->Append(Escaped(value[i]));
    plain_from = i + 1;
  }
  this->Append(value.substr(plain_from));
  this->Append("\"");
}

}  // namespace dandelionspur
