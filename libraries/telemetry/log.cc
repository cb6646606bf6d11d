#include "libraries/telemetry/log.h"

#include <easylogging++.h>

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace dandelionspur {
namespace {

// Quotes a value that would otherwise break the line into wrong pairs.
std::string Quoted(const std::string& value) {
  if (value.find_first_of(" \"\n=") == std::string::npos) return value;
  std::string quoted = "\"";
  for (const char character : value) {
    if (character == '"') quoted.push_back('\\');
    quoted.push_back(character == '\n' ? ' ' : character);
  }
  return quoted + "\"";
}

}  // namespace

void InitializeLogging(const std::string& program) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level program=" + program +
          " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void LogStateChange(std::string_view event,
                    std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line.append(event);
  for (const LogField& field : fields) {
    line.append(" ").append(field.key).append("=").append(Quoted(field.value));
  }
  LOG(INFO) << line;
}

}  // namespace dandelionspur
