#ifndef DANDELIONSPUR_SERVICES_RUNTIME_RUN_DAEMON_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_RUN_DAEMON_H_

#include <iostream>
#include <optional>
#include <string>

#include "libraries/configuration/object_reader.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/allocator_settings.h"
#include "services/runtime/daemon.h"
#include "services/runtime/fatal_error.h"
#include "services/runtime/settings_reloader.h"

namespace dandelionspur {

// A server that a daemon runs: created from validated settings, reconfigured
// when they change, and drained on the first SIGTERM or SIGINT.
template <typename Server, typename Settings>
concept DaemonServer = requires(Server& server, const Settings& settings) {
  Server::Create(settings);
  server.Drain();
  server.Reconfigure(settings);
};

struct DaemonIdentity {
  std::string program;
  std::string log_name;
  // Shown by --help.
  std::string description;
};

// Implements a daemon's main(): parses the command line, reads the settings,
// runs the server and returns the exit code.
template <typename Server, typename Settings>
requires DaemonServer<Server, Settings>
int RunDaemon(const DaemonIdentity& identity,
              Result<Settings> (*parse)(const std::string& text,
                                        const std::string& source),
              int argument_count, char** arguments) {
  const DaemonCommand command = ParseDaemonCommand(
      identity.program, identity.description, argument_count, arguments);
  InitializeLogging(identity.log_name);
  EndProcessOnFatalErrors();
  ReturnLargeBlocksToSystem();
  const ExitCode code = OrElse(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(text, ReadFile(command.settings_path));
        BOOST_LEAF_AUTO(settings, parse(text, command.settings_path));
        if (command.check_only) return ExitCode::kSuccess;
        ConfigureLogging(settings.log);
        Lifetime::CatchSignals();
        SettingsReloader<Settings> reloader(command.settings_path, parse, text);
        for (;;) {
          BOOST_LEAF_AUTO(server, Server::Create(settings));
          const auto reload = [&] {
            const std::optional<Settings> changed = reloader.ReadChange();
            if (!changed) return;
            settings = *changed;
            ConfigureLogging(settings.log);
            server->Reconfigure(settings);
          };
          Lifetime::Run([&] { server->Drain(); }, reload);
          // A process that was removed from the view restarts as a new
          // incarnation, since its earlier state is no longer valid.
          if (Lifetime::Result() != ExitCode::kRemoved) {
            return Lifetime::Result();
          }
          if (Lifetime::IsStopRequested()) return ExitCode::kSuccess;
          LogStateChange(ProcessRestarting{});
        }
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return ExitCode::kBadSettings;
      });
  FinishLog();
  return static_cast<int>(code);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_RUN_DAEMON_H_
