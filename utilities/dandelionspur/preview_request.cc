#include "utilities/dandelionspur/preview_request.h"

#include <cstdint>
#include <sstream>

#include "libraries/configuration/object_reader.h"

namespace dandelionspur {
namespace {

void AddHeader(nlohmann::json& request, const std::string& line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos) return;
  const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
  const std::size_t end = line.find_last_not_of(" \t\r");
  request["headers"][line.substr(0, colon)] =
      begin == std::string::npos ? "" : line.substr(begin, end + 1 - begin);
}

// Reads a request as it is on the wire: the request line, the headers, an empty
// line and the body.
nlohmann::json RequestInText(const std::string& text) {
  nlohmann::json request = {{"headers", nlohmann::json::object()}};
  std::istringstream lines(text);
  std::string method;
  std::string target;
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> method >> target;
  request["target"] = target;
  while (std::getline(lines, line) && line != "\r" && !line.empty()) {
    AddHeader(request, line);
  }
  std::ostringstream body;
  body << lines.rdbuf();
  request["body"] = body.str();
  return request;
}

std::string Milliseconds(const nlohmann::json& preview, const char* name) {
  return std::to_string(preview.value(name, std::int64_t{0})) + " ms";
}

}  // namespace

Result<nlohmann::json> ReadPreviewRequest(const CommandOptions& options,
                                          const std::string& target) {
  if (!options.request_file.empty()) {
    BOOST_LEAF_AUTO(text, ReadFile(options.request_file));
    return RequestInText(text);
  }
  if (target.empty()) {
    return Fail("would: needs a path, or --request FILE");
  }
  nlohmann::json request = {{"target", target},
                            {"headers", nlohmann::json::object()}};
  for (const std::string& header : options.headers) AddHeader(request, header);
  std::string body = options.data;
  if (body.starts_with('@')) {
    BOOST_LEAF_ASSIGN(body, ReadFile(body.substr(1)));
  }
  request["body"] = body;
  return request;
}

std::string PreviewText(const nlohmann::json& preview) {
  std::ostringstream text;
  const std::string outlook = preview.value("outlook", "");
  text << outlook << ": service " << preview.value("service", "?");
  if (preview.contains("route")) {
    text << ", route " << preview.value("route", "");
  }
  if (preview.contains("document_version")) {
    text << ", document version " << preview["document_version"];
  }
  text << "\n";
  if (preview.contains("home")) {
    text << "home: entry " << preview.value("home", "") << "\n";
  }
  if (preview.contains("reason")) {
    text << "reason: " << preview.value("reason", "") << ", Retry-After "
         << Milliseconds(preview, "retry_after_ms") << " "
         << preview.value("detail", "") << "\n";
  } else if (preview.contains("expected_start_ms")) {
    text << "expected start in " << Milliseconds(preview, "expected_start_ms")
         << ", end in " << Milliseconds(preview, "expected_end_ms") << "; "
         << preview.value("queued_tasks", 0) << " tasks queued before\n";
  }
  if (preview.contains("placement")) {
    text << "placement: " << preview.value("placement", "") << ", "
         << preview.value("scope", "") << "; oldest report "
         << Milliseconds(preview, "oldest_report_ms") << " old\n";
  }
  for (const nlohmann::json& candidate :
       preview.value("candidates", nlohmann::json::array())) {
    text << "  agent " << candidate.value("agent", "") << " ("
         << candidate.value("upstream", "")
         << "): " << candidate.value("verdict", "") << ", "
         << candidate.value("millicores_in_use", std::uint64_t{0}) << " of "
         << candidate.value("millicores", std::uint64_t{0})
         << " millicores in use, slowness " << candidate.value("slowness", 1.0)
         << ", report " << Milliseconds(candidate, "report_age_ms") << " old\n";
  }
  return text.str();
}

CommandExit PreviewExit(const nlohmann::json& preview) {
  const std::string outlook = preview.value("outlook", "");
  if (outlook == "starts") return CommandExit::kSuccess;
  if (outlook == "waits") return CommandExit::kWouldWait;
  if (outlook == "refused" || outlook == "no_such_path") {
    return CommandExit::kWouldBeRefused;
  }
  return CommandExit::kFailure;
}

}  // namespace dandelionspur
