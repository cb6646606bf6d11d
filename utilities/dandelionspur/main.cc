#include <cxxopts.hpp>
#include <iostream>
#include <random>

#include "utilities/dandelionspur/commands.h"

namespace dandelionspur {
namespace {

constexpr const char* kCommandHelp =
    "service apply FILE   check a document and write it (--wait: wait until "
    "it is in force at every entry)\n"
    "service get NAME     print the document in force\n"
    "service history NAME list the versions, newest first\n"
    "service diff NAME FROM TO\n"
    "status               state of an entry, its peers and its agents\n"
    "would [PATH]         where a request would go now, and why, without "
    "sending it (--request FILE, or -H and --data)\n"
    "drain IP:PORT        graceful shutdown of the process with this admin "
    "port\n"
    "replay               replay all records and compare every effect\n"
    "explain SERVICE KEY  recorded events and effects of a job\n";

cxxopts::Options CommandLine() {
  cxxopts::Options options(
      "dandelionspur", "Administers entries, agents and service documents.");
  options.positional_help("COMMAND...")
      .add_options()(
          "entry", "admin port of any entry",
          cxxopts::value<std::string>()->default_value("127.0.0.1:7002"),
          "IP:PORT")(
          "table", "the platform's table service and object store",
          cxxopts::value<std::string>()->default_value("127.0.0.1:7100"),
          "IP:PORT")("json", "print JSON")(
          "wait", "return only when the change has taken effect")(
          "timeout-s", "time limit of --wait",
          cxxopts::value<std::int64_t>()->default_value("30"),
          "SECONDS")("change-id",
                     "identifies this change; after a lost answer, repeat the "
                     "change with the same ID",
                     cxxopts::value<std::string>(), "ID")(
          "request", "file with a whole HTTP request, for would",
          cxxopts::value<std::string>()->default_value(""),
          "FILE")("H,header", "a header of the request, for would",
                  cxxopts::value<std::vector<std::string>>(), "NAME: VALUE")(
          "d,data", "the body of the request, or @FILE, for would",
          cxxopts::value<std::string>()->default_value(""),
          "TEXT")("help", "this text")("version", "print the version")(
          "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

std::string NewChangeId() {
  std::random_device random;
  std::ostringstream text;
  text << std::hex << random() << random();
  return text.str();
}

Result<CommandExit> Run(const cxxopts::ParseResult& parsed) {
  CommandOptions options;
  BOOST_LEAF_ASSIGN(options.entry,
                    ParseEndpoint(parsed["entry"].as<std::string>()));
  BOOST_LEAF_ASSIGN(options.table,
                    ParseEndpoint(parsed["table"].as<std::string>()));
  if (parsed.count("json") > 0) options.output = OutputFormat::kJson;
  if (parsed.count("wait") > 0) options.wait = WaitMode::kUntilInForce;
  options.timeout =
      std::chrono::seconds(parsed["timeout-s"].as<std::int64_t>());
  options.change_id = parsed.count("change-id") > 0
                          ? parsed["change-id"].as<std::string>()
                          : NewChangeId();
  options.request_file = parsed["request"].as<std::string>();
  if (parsed.count("header") > 0) {
    options.headers = parsed["header"].as<std::vector<std::string>>();
  }
  options.data = parsed["data"].as<std::string>();
  std::vector<std::string> args;
  if (parsed.count("words") > 0) {
    args = parsed["words"].as<std::vector<std::string>>();
  }
  return Commands(options).Run(args);
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  using dandelionspur::CommandExit;
  cxxopts::Options options = dandelionspur::CommandLine();
  try {
    const cxxopts::ParseResult parsed =
        options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\nCommands:\n"
                << dandelionspur::kCommandHelp;
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "dandelionspur " << DANDELIONSPUR_VERSION << "\n";
      return 0;
    }
    const CommandExit code = dandelionspur::OrElse(
        [&] { return dandelionspur::Run(parsed); },
        [](const std::string& message) {
          std::cerr << "dandelionspur: " << message << "\n";
          return CommandExit::kBadUsage;
        });
    return static_cast<int>(code);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "dandelionspur: " << exception.what() << "\n";
    return static_cast<int>(CommandExit::kBadUsage);
  }
}
