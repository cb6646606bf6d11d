#ifndef DANDELIONSPUR_SERVICES_RUNTIME_SETTINGS_RELOADER_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_SETTINGS_RELOADER_H_

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/configuration/object_reader.h"
#include "libraries/configuration/settings.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

// Detects changes of the settings file. If the file can't be read or is
// invalid, logs each new problem and leaves the settings as they are.
template <typename Settings>
class SettingsReloader {
 public:
  using Parser = Result<Settings> (*)(const std::string& text,
                                      const std::string& source);

  SettingsReloader(std::string settings_path, Parser parser, std::string text)
      : path(std::move(settings_path)),
        parse(parser),
        last_text(std::move(text)) {}

  // Returns the new settings if the file has changed since the last call and is
  // valid.
  std::optional<Settings> ReadChange() {
    return OrElse(
        [&]() -> Result<std::optional<Settings>> {
          BOOST_LEAF_AUTO(text, ReadFile(this->path));
          // An empty file is assumed to be in the middle of being written.
          if (text.empty() || text == this->last_text) {
            return std::optional<Settings>();
          }
          this->last_text = text;
          BOOST_LEAF_AUTO(settings, this->parse(text, this->path));
          return std::optional<Settings>(std::move(settings));
        },
        [this](const std::string& problem) {
          if (problem != this->last_problem) {
            LogStateChange(SettingsRejected{problem});
          }
          this->last_problem = problem;
          return std::optional<Settings>();
        });
  }

 private:
  std::string path;
  Parser parse;
  std::string last_text;
  std::string last_problem;
};

// Logs which of the changed settings take effect immediately (those named in
// `at_once`), and which only after a restart.
template <typename Settings>
void LogReload(const Settings& before, const Settings& after,
               const std::vector<std::string>& at_once) {
  std::string applied;
  std::string deferred;
  for (const std::string& name : ChangedSettings(before, after)) {
    const bool now =
        std::find(at_once.begin(), at_once.end(), name) != at_once.end();
    (now ? applied : deferred).append(name).append(" ");
  }
  LogStateChange(SettingsReloaded{applied, deferred});
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_SETTINGS_RELOADER_H_
