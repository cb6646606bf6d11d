#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_

#include <string>
#include <vector>

#include "utilities/dandelionspur/operator_client.h"

namespace dandelionspur {

// Exit codes of the dandelionspur command-line tool; docs/OPERATIONS.md
// documents them.
enum class CommandExit : int {
  kSuccess = 0,
  kFailure = 1,
  kBadUsage = 2,
  kBadDocument = 3,
  kConflict = 4,
  kUnavailable = 5,
  kTimedOut = 6,
  kReplayDiffers = 7,
  kWouldWait = 8,
  kWouldBeRefused = 9,
};

enum class OutputFormat { kText, kJson };
enum class WaitMode { kReturnImmediately, kUntilInForce };

struct CommandOptions {
  // Admin endpoint of any entry.
  Endpoint entry;
  // Endpoint of the platform's table service and object store.
  Endpoint table;
  OutputFormat output = OutputFormat::kText;
  WaitMode wait = WaitMode::kReturnImmediately;
  // Idempotency key of a document change.
  std::string change_id;
  // The longest time that a command with --wait waits.
  Duration timeout{};
  // The request of `would`: a file with the whole request, or else its headers
  // as "Name: value" and its body.
  std::string request_file;
  std::vector<std::string> headers;
  std::string data;
};

// The subcommands of the operators' tool. Each prints its result to standard
// output or an error to standard error, and returns the exit code.
class Commands {
 public:
  explicit Commands(const CommandOptions& configured) : options(configured) {}

  CommandExit Run(const std::vector<std::string>& args);

 private:
  CommandExit Service(const std::vector<std::string>& args);
  CommandExit Apply(const std::string& path);
  // Polls until every entry of the view uses at least `version`.
  CommandExit WaitUntilInForce(const std::string& service,
                               std::uint64_t version);
  CommandExit Get(const std::string& service);
  CommandExit History(const std::string& service);
  CommandExit Diff(const std::string& service, const std::string& from,
                   const std::string& to);
  CommandExit Status();
  // Tells what would become of a request that came now, without sending it.
  CommandExit Would(const std::string& target);
  CommandExit Drain(const std::string& process);
  CommandExit Replay();
  CommandExit Explain(const std::string& service, const std::string& key);
  // Prints why the request failed; returns kUnavailable.
  CommandExit ReportUnavailable(const AdminReply& reply) const;
  void Print(const nlohmann::json& json, const std::string& text_output) const;

  CommandOptions options;
  OperatorClient client;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_COMMANDS_H_
