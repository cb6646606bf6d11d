#include <iostream>

#include "libraries/configuration/object_reader.h"
#include "libraries/telemetry/log.h"
#include "services/entry/entry_server.h"
#include "services/runtime/daemon.h"

namespace dandelionspur {
namespace {

Result<EntrySettings> LoadSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  return ParseEntrySettings(text, path);
}

Result<ExitCode> Run(const DaemonCommand& command) {
  BOOST_LEAF_AUTO(settings, LoadSettings(command.settings_path));
  if (command.check_only) return ExitCode::kSuccess;
  BOOST_LEAF_AUTO(server, EntryServer::Create(settings));
  Lifetime::Run([&] { server->Drain(); });
  return Lifetime::Result();
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  using dandelionspur::ExitCode;
  const dandelionspur::DaemonCommand command =
      dandelionspur::ParseDaemonCommand(
          "dandelionspur-entry",
          "Takes in jobs and requests, and dispatches their tasks.",
          argument_count, arguments);
  dandelionspur::InitializeLogging("entry");
  const ExitCode code =
      dandelionspur::OrElse([&] { return dandelionspur::Run(command); },
                            [](const std::string& message) {
                              std::cerr << message << "\n";
                              return ExitCode::kBadSettings;
                            });
  return static_cast<int>(code);
}
