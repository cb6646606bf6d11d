#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_

#include <string>
#include <vector>

#include "utilities/dandelionspur/operator_client.h"

namespace dandelionspur {

// Exit codes of the operators' command; documented in docs/OPERATIONS.md.
enum class CommandExit : int {
  kSuccess = 0,
  kFailure = 1,
  kBadUsage = 2,
  kBadDocument = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotInForceInTime = 6,
  kReplayDiffers = 7,
};

enum class OutputForm { kHuman, kJson };
enum class WaitMode { kReturnAtOnce, kUntilInForce };

struct CommandOptions {
  // Admin endpoint of any entry.
  Endpoint entry;
  Endpoint table;
  OutputForm output = OutputForm::kHuman;
  WaitMode wait = WaitMode::kReturnAtOnce;
  std::string change_id;
  // How long --wait waits.
  Duration timeout{};
};

// The operators' commands. Each prints its result and returns an exit code.
class Commands {
 public:
  explicit Commands(const CommandOptions& configured) : options(configured) {}

  CommandExit Run(const std::vector<std::string>& words);

 private:
  CommandExit Service(const std::vector<std::string>& words);
  CommandExit Apply(const std::string& path);
  CommandExit WaitUntilInForce(const std::string& service,
                               std::uint64_t version);
  CommandExit Get(const std::string& service);
  CommandExit History(const std::string& service);
  CommandExit Diff(const std::string& service, const std::string& from,
                   const std::string& to);
  CommandExit Status();
  CommandExit Drain(const std::string& process);
  CommandExit Replay();
  CommandExit Explain(const std::string& service, const std::string& key);
  CommandExit Unavailable(const AdminReply& reply) const;
  void Print(const nlohmann::json& json, const std::string& human) const;

  CommandOptions options;
  OperatorClient client;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_
