#include <cxxopts.hpp>
#include <iostream>

#include "services/runtime/daemon.h"
#include "utilities/load/summary.h"

namespace dandelionspur {
namespace {

cxxopts::Options CommandLine() {
  cxxopts::Options options(
      "dandelionspur-load",
      "Submits jobs to entries on loopback at planned times, and reports "
      "their response times relative to the ideal.");
  options.add_options()("entries", "loopback ports of the entries for callers",
                        cxxopts::value<std::vector<std::uint16_t>>())(
      "service", "service name",
      cxxopts::value<std::string>()->default_value("demo"))(
      "fleet", "upstreams as SLOTSxSLOWNESS,...",
      cxxopts::value<std::string>()->default_value("8x1"))(
      "jobs", "number of jobs",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "utilization", "offered load as a fraction of the fleet's capacity",
      cxxopts::value<double>()->default_value("0.5"))(
      "seed", "seed of the random workload",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "key-prefix", "prefix of every idempotency key",
      cxxopts::value<std::string>()->default_value("load"))(
      "resubmitted", "fraction of the jobs submitted twice",
      cxxopts::value<double>()->default_value("0"))(
      "crashing", "fraction of the jobs with a task that crashes its upstream",
      cxxopts::value<double>()->default_value("0"))(
      "declared-error", "largest error factor of declared run times",
      cxxopts::value<double>()->default_value("1"))(
      "largest-job", "largest number of tasks in a job",
      cxxopts::value<std::size_t>()->default_value("100"))(
      "burst", "number of jobs in a burst",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "deadline-ms", "deadline of each job in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("60000"))(
      "json", "print only JSON")("help", "this text")("version",
                                                      "print the version");
  return options;
}

Result<ExitCode> Run(const cxxopts::ParseResult& arguments) {
  BOOST_LEAF_AUTO(fleet, ParseFleet(arguments["fleet"].as<std::string>()));
  WorkloadOptions workload;
  workload.jobs = arguments["jobs"].as<std::size_t>();
  workload.utilization = arguments["utilization"].as<double>();
  workload.seed = arguments["seed"].as<std::uint64_t>();
  workload.key_prefix = arguments["key-prefix"].as<std::string>();
  workload.resubmitted_fraction = arguments["resubmitted"].as<double>();
  workload.crashing_fraction = arguments["crashing"].as<double>();
  workload.declared_error = arguments["declared-error"].as<double>();
  workload.largest_job = arguments["largest-job"].as<std::size_t>();
  workload.burst = arguments["burst"].as<std::size_t>();
  const bool valid = workload.jobs > 0 && workload.utilization > 0 &&
                     workload.largest_job > 0 && workload.burst > 0;
  if (!valid) {
    return Fail(
        "--jobs, --utilization, --largest-job and --burst must be "
        "above 0");
  }
  const std::vector<PlannedJob> jobs = PlanWorkload(workload, fleet);
  RunnerOptions options;
  options.entry_ports = arguments["entries"].as<std::vector<std::uint16_t>>();
  options.service = arguments["service"].as<std::string>();
  options.deadline =
      std::chrono::milliseconds(arguments["deadline-ms"].as<std::int64_t>());
  Runner runner(options, jobs);
  const nlohmann::json summary = Summarize(jobs, fleet, runner.Run());
  if (arguments.count("json") == 0) std::cout << FormatTable(summary);
  std::cout << summary.dump() << "\n";
  const bool answers_correct = summary["wrong_answers"] == 0;
  return answers_correct ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  using dandelionspur::ExitCode;
  cxxopts::Options options = dandelionspur::CommandLine();
  try {
    const cxxopts::ParseResult parsed =
        options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "dandelionspur-load " << DANDELIONSPUR_VERSION << "\n";
      return 0;
    }
    const ExitCode code = dandelionspur::OrElse(
        [&] { return dandelionspur::Run(parsed); },
        [](const std::string& message) {
          std::cerr << "dandelionspur-load: " << message << "\n";
          return ExitCode::kBadUsage;
        });
    return static_cast<int>(code);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "dandelionspur-load: " << exception.what() << "\n";
    return static_cast<int>(ExitCode::kBadUsage);
  }
}
