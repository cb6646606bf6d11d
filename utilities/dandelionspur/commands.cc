#include "utilities/dandelionspur/commands.h"

#include <chrono>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include "libraries/configuration/object_reader.h"
#include "libraries/configuration/service_document.h"
#include "libraries/protocol/http_status.h"
#include "libraries/protocol/parse_json.h"
#include "utilities/dandelionspur/line_diff.h"
#include "utilities/dandelionspur/preview_request.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kPollInterval{50};

std::string ServicePath(const std::string& service, const std::string& rest) {
  return "/v1/services/" + service + "/" + rest;
}

std::string TimeOfDay(Timestamp time) {
  if (time == Timestamp::max()) return "--:--:--.------";
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr std::int64_t kSecondsPerDay = 86'400;
  constexpr std::int64_t kSecondsPerHour = 3'600;
  constexpr std::int64_t kSecondsPerMinute = 60;
  const std::int64_t total = time.time_since_epoch().count();
  const std::int64_t seconds =
      (total / kMicrosecondsPerSecond) % kSecondsPerDay;
  constexpr std::size_t kBufferSize = 32;
  char buffer[kBufferSize];
  std::snprintf(
      buffer, sizeof(buffer), "%02lld:%02lld:%02lld.%06lld",
      static_cast<long long>(seconds / kSecondsPerHour),
      static_cast<long long>(seconds / kSecondsPerMinute % kSecondsPerMinute),
      static_cast<long long>(seconds % kSecondsPerMinute),
      static_cast<long long>(total % kMicrosecondsPerSecond));
  return buffer;
}

// The admin endpoints of those of `members` that do not report `version`, or a
// newer one, of the `service` document.
std::vector<std::string> OutdatedEntries(OperatorClient& client,
                                         const nlohmann::json& members,
                                         const std::string& service,
                                         std::uint64_t version) {
  std::vector<std::string> outdated;
  for (const nlohmann::json& member : members) {
    const std::string admin = member.value("admin", "");
    const bool in_force = OrElse(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(endpoint, ParseEndpoint(admin));
          const AdminReply list =
              client.Send(endpoint, http::verb::get, "/v1/services", "");
          if (!list.json.is_array()) return false;
          for (const nlohmann::json& document : list.json) {
            if (document.value("service", "") == service) {
              return document.value("version", std::uint64_t{0}) >= version;
            }
          }
          return false;
        },
        [](const std::string&) { return false; });
    if (!in_force) outdated.push_back(admin);
  }
  return outdated;
}

}  // namespace

CommandExit Commands::Run(const std::vector<std::string>& args) {
  const std::string command = args.empty() ? "" : args.front();
  if (command == "service") {
    return this->Service({args.begin() + 1, args.end()});
  }
  if (command == "status" && args.size() == 1) return this->Status();
  if (command == "would" && args.size() <= 2) {
    return this->Would(args.size() == 2 ? args[1] : "");
  }
  if (command == "replay" && args.size() == 1) return this->Replay();
  if (command == "drain" && args.size() == 2) return this->Drain(args[1]);
  constexpr std::size_t kExplainArgumentCount = 3;
  if (command == "explain" && args.size() == kExplainArgumentCount) {
    return this->Explain(args[1], args[2]);
  }
  std::cerr << "dandelionspur: unknown command; see --help\n";
  return CommandExit::kBadUsage;
}

CommandExit Commands::Service(const std::vector<std::string>& args) {
  constexpr std::size_t kDiffArgumentCount = 4;
  if (args.size() == 2 && args[0] == "apply") return this->Apply(args[1]);
  if (args.size() == 2 && args[0] == "get") return this->Get(args[1]);
  if (args.size() == 2 && args[0] == "history") {
    return this->History(args[1]);
  }
  if (args.size() == kDiffArgumentCount && args[0] == "diff") {
    return this->Diff(args[1], args[2], args[3]);
  }
  std::cerr << "dandelionspur: service apply FILE | get NAME | history NAME | "
               "diff NAME FROM TO\n";
  return CommandExit::kBadUsage;
}

CommandExit Commands::Apply(const std::string& path) {
  std::string text;
  std::string service;
  std::uint64_t base = 0;
  const std::string problem = OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_ASSIGN(text, ReadFile(path));
        BOOST_LEAF_AUTO(document, ParseServiceDocument(text, path));
        service = document.service.value();
        base = document.version.value();
        return std::string();
      },
      [](const std::string& message) { return message; });
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return CommandExit::kBadDocument;
  }
  if (base == 0) {
    // A document without a version replaces the version in force.
    const AdminReply current =
        this->client.Send(this->options.entry, http::verb::get,
                          ServicePath(service, "document"), "");
    if (current.status == 0) return this->ReportUnavailable(current);
    if (current.status == http_status::kOk) {
      base = current.json.value("version", base);
    }
  }
  const std::string query = "document?base_version=" + std::to_string(base) +
                            "&change_id=" + this->options.change_id;
  const AdminReply reply = this->client.Send(
      this->options.entry, http::verb::put, ServicePath(service, query), text);
  if (reply.status == http_status::kBadRequest) {
    std::cerr << reply.json.value("detail", "refused") << "\n";
    return CommandExit::kBadDocument;
  }
  if (reply.status == http_status::kConflict) {
    std::cerr << "conflicting change: version "
              << reply.json.value("version", std::uint64_t{0})
              << " is in force; apply the change to that version\n";
    return CommandExit::kConflict;
  }
  if (reply.status != http_status::kOk) return this->ReportUnavailable(reply);
  const auto version = reply.json.value("version", std::uint64_t{0});
  if (this->options.wait == WaitMode::kUntilInForce) {
    return this->WaitUntilInForce(service, version);
  }
  this->Print({{"service", service}, {"version", version}},
              service + ": version " + std::to_string(version) + " written");
  return CommandExit::kSuccess;
}

CommandExit Commands::WaitUntilInForce(const std::string& service,
                                       std::uint64_t version) {
  const auto started_at = std::chrono::steady_clock::now();
  std::vector<std::string> outdated;
  while (std::chrono::steady_clock::now() - started_at <
         this->options.timeout) {
    const AdminReply status = this->client.Send(
        this->options.entry, http::verb::get, "/v1/status", "");
    if (status.json.is_object()) {
      outdated = OutdatedEntries(this->client, status.json["members"], service,
                                 version);
      if (outdated.empty()) {
        const std::chrono::duration<double> elapsed =
            std::chrono::steady_clock::now() - started_at;
        this->Print({{"service", service},
                     {"version", version},
                     {"in_force_after_s", elapsed.count()}},
                    service + ": version " + std::to_string(version) +
                        " is in force everywhere");
        return CommandExit::kSuccess;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << service << ": version " << version
            << " is written, but not yet in force at these entries:";
  for (const std::string& admin : outdated) std::cerr << " " << admin;
  std::cerr << "\n";
  return CommandExit::kTimedOut;
}

CommandExit Commands::Get(const std::string& service) {
  const AdminReply reply =
      this->client.Send(this->options.entry, http::verb::get,
                        ServicePath(service, "document"), "");
  if (reply.status == http_status::kNotFound) {
    std::cerr << "no document for service " << service << "\n";
    return CommandExit::kFailure;
  }
  if (reply.status != http_status::kOk) return this->ReportUnavailable(reply);
  this->Print(reply.json, "// version " +
                              std::to_string(reply.json.value(
                                  "version", std::uint64_t{0})) +
                              "\n" + reply.json.value("text", ""));
  return CommandExit::kSuccess;
}

CommandExit Commands::History(const std::string& service) {
  const AdminReply reply =
      this->client.Send(this->options.entry, http::verb::get,
                        ServicePath(service, "history"), "");
  if (reply.status != http_status::kOk) return this->ReportUnavailable(reply);
  std::string lines;
  for (const nlohmann::json& item : reply.json) {
    lines += "version " +
             std::to_string(item.value("version", std::uint64_t{0})) +
             "  change " + item.value("change_id", "") + "\n";
  }
  this->Print(reply.json, lines);
  return CommandExit::kSuccess;
}

CommandExit Commands::Diff(const std::string& service, const std::string& from,
                           const std::string& to) {
  const AdminReply reply =
      this->client.Send(this->options.entry, http::verb::get,
                        ServicePath(service, "history"), "");
  if (reply.status != http_status::kOk) return this->ReportUnavailable(reply);
  std::optional<std::string> old_text;
  std::optional<std::string> new_text;
  for (const nlohmann::json& item : reply.json) {
    const std::string version =
        std::to_string(item.value("version", std::uint64_t{0}));
    if (version == from) old_text = item.value("text", "");
    if (version == to) new_text = item.value("text", "");
  }
  if (!old_text || !new_text) {
    std::cerr << service << ": no version " << (old_text ? to : from) << "\n";
    return CommandExit::kFailure;
  }
  const std::string difference = LineDiff(*old_text, *new_text);
  this->Print({{"service", service}, {"diff", difference}}, difference);
  return CommandExit::kSuccess;
}

CommandExit Commands::Status() {
  const AdminReply reply =
      this->client.Send(this->options.entry, http::verb::get, "/v1/status", "");
  if (reply.status != http_status::kOk) return this->ReportUnavailable(reply);
  std::ostringstream text_output;
  const nlohmann::json& status = reply.json;
  text_output << "entry " << status.value("entry", "") << ": "
              << (status.value("ready", false) ? "ready" : "not ready")
              << ", epoch " << status["epoch"] << ", home of "
              << status["buckets_active"] << " of " << status["buckets"]
              << " buckets, " << status["jobs_at_home"] << " jobs at home, "
              << status["jobs_relayed"] << " relayed\n";
  for (const nlohmann::json& member : status["members"]) {
    text_output << "  entry " << member.value("entry", "") << " at "
                << member.value("admin", "") << ", "
                << member.value("data_centre", "") << "\n";
  }
  for (const nlohmann::json& agent : status["agents"]) {
    text_output << "  agent " << agent.value("agent", "") << " at "
                << agent.value("admin", "") << ", "
                << agent.value("service", "") << ": "
                << (agent.value("lost", false)         ? "lost"
                    : !agent.value("connected", false) ? "disconnected"
                    : agent.value("leaving", false)    ? "leaving"
                    : agent.value("evacuated", false)  ? "evacuated"
                    : agent.value("ready", false)      ? "ready"
                                                       : "registering")
                << ", " << agent["running"] << " running from here, "
                << agent["millicores_in_use"] << " millicores in use of "
                << agent["cores"] << " cores\n";
  }
  const nlohmann::json evacuated =
      status.value("evacuated", nlohmann::json::array());
  for (const nlohmann::json& data_centre : evacuated) {
    text_output << "  data centre " << data_centre.get<std::string>()
                << ": evacuated\n";
  }
  for (const auto& [service, version] : status["documents"].items()) {
    text_output << "  service " << service << ": version " << version << "\n";
  }
  this->Print(status, text_output.str());
  return CommandExit::kSuccess;
}

CommandExit Commands::Would(const std::string& target) {
  return OrElse(
      [&]() -> Result<CommandExit> {
        BOOST_LEAF_AUTO(request, ReadPreviewRequest(this->options, target));
        AdminReply reply = this->client.Send(
            this->options.entry, http::verb::post, "/v1/would", request.dump());
        // Only the home knows whether it would admit the job.
        if (reply.json.is_object() && reply.json.contains("home_admin")) {
          BOOST_LEAF_AUTO(home,
                          ParseEndpoint(reply.json.value("home_admin", "")));
          reply = this->client.Send(home, http::verb::post, "/v1/would",
                                    request.dump());
        }
        if (reply.status != http_status::kOk) {
          return this->ReportUnavailable(reply);
        }
        this->Print(reply.json, PreviewText(reply.json));
        return PreviewExit(reply.json);
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return CommandExit::kBadUsage;
      });
}

CommandExit Commands::Drain(const std::string& process) {
  return OrElse(
      [&]() -> Result<CommandExit> {
        BOOST_LEAF_AUTO(endpoint, ParseEndpoint(process));
        const AdminReply reply =
            this->client.Send(endpoint, http::verb::post, "/v1/drain", "");
        if (reply.status != http_status::kAccepted) {
          return this->ReportUnavailable(reply);
        }
        // The process exits once it has drained; its admin port then refuses
        // connections.
        const auto started_at = std::chrono::steady_clock::now();
        while (this->options.wait == WaitMode::kUntilInForce) {
          const AdminReply health =
              this->client.Send(endpoint, http::verb::get, "/healthz", "");
          if (health.status == 0) break;
          if (std::chrono::steady_clock::now() - started_at >
              this->options.timeout) {
            std::cerr << process << " has not finished draining in time\n";
            return CommandExit::kTimedOut;
          }
          std::this_thread::sleep_for(kPollInterval);
        }
        this->Print({{"drained", process}}, process + ": draining");
        return CommandExit::kSuccess;
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return CommandExit::kBadUsage;
      });
}

CommandExit Commands::Replay() {
  return OrElse(
      [&]() -> Result<CommandExit> {
        BOOST_LEAF_AUTO(archive, this->client.CollectRecords(
                                     this->options.entry, this->options.table));
        BOOST_LEAF_AUTO(steps, archive.ReplayAll());
        this->Print({{"processes", archive.process_count()}, {"steps", steps}},
                    std::to_string(steps) + " steps of " +
                        std::to_string(archive.process_count()) +
                        " processes replayed; all effects match the records");
        return CommandExit::kSuccess;
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return CommandExit::kReplayDiffers;
      });
}

CommandExit Commands::Explain(const std::string& service,
                              const std::string& key) {
  return OrElse(
      [&]() -> Result<CommandExit> {
        BOOST_LEAF_AUTO(archive, this->client.CollectRecords(
                                     this->options.entry, this->options.table));
        const ServiceName name(service);
        BOOST_LEAF_AUTO(steps,
                        archive.Explain(name, JobKey::FromText(name, key)));
        nlohmann::json list = nlohmann::json::array();
        std::string text_output;
        for (const ExplainedStep& step : steps) {
          text_output +=
              TimeOfDay(step.now) + " " + step.process + " " + step.text + "\n";
          list.push_back({{"time_us", step.now.time_since_epoch().count()},
                          {"process", step.process},
                          {"text", step.text}});
        }
        this->Print(list, text_output);
        return CommandExit::kSuccess;
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return CommandExit::kFailure;
      });
}

CommandExit Commands::ReportUnavailable(const AdminReply& reply) const {
  if (reply.status == 0) {
    std::cerr << "no answer from the admin port\n";
  } else if (reply.json.is_object()) {
    std::cerr << reply.json.value("detail", "unavailable") << "\n";
  }
  return CommandExit::kUnavailable;
}

void Commands::Print(const nlohmann::json& json,
                     const std::string& text_output) const {
  if (this->options.output == OutputFormat::kJson) {
    std::cout << DumpForDisplay(json) << "\n";
    return;
  }
  std::cout << text_output;
  if (!text_output.ends_with('\n')) std::cout << "\n";
}

}  // namespace dandelionspur
