#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

#include "tests/support/simulated_cluster.h"

namespace dandelionspur {
namespace {

struct FuzzOptions {
  std::uint64_t first_seed = 1;
  std::uint64_t runs = 0;
  std::int64_t seconds = 0;
  std::size_t steps = 0;
  bool print_log = false;
  SimulationOptions simulation;
};

// Runs one seed. On a violation, prints the log and returns false.
bool RunSeed(std::uint64_t seed, const FuzzOptions& options,
             std::uint64_t& complete_answers, std::uint64_t& refusals) {
  std::mt19937_64 random(seed);
  SimulationOptions simulation_options = options.simulation;
  constexpr std::uint32_t kIntensities = 4;
  simulation_options.intensity = 1 + seed % kIntensities;
  SimulatedCluster cluster(simulation_options);
  for (std::size_t i = 0; i < options.steps; ++i) {
    cluster.Step(static_cast<std::uint32_t>(random()));
  }
  cluster.RunToCompletion();
  complete_answers += cluster.complete_answers();
  refusals += cluster.refusals();
  if (options.print_log) std::cout << cluster.Log();
  if (!cluster.violation()) return true;
  std::cout << cluster.Log() << "seed " << seed << ": " << *cluster.violation()
            << "\n";
  return false;
}

int Fuzz(const FuzzOptions& options) {
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t seed = options.first_seed;
  std::uint64_t complete_answers = 0;
  std::uint64_t refusals = 0;
  for (;; ++seed) {
    const std::uint64_t done = seed - options.first_seed;
    const bool out_of_time = std::chrono::steady_clock::now() - began >
                             std::chrono::seconds(options.seconds);
    if (options.runs > 0 ? done >= options.runs : out_of_time) break;
    if (!RunSeed(seed, options, complete_answers, refusals)) return 1;
  }
  std::cout << seed - options.first_seed << " runs from seed "
            << options.first_seed << ": " << complete_answers
            << " complete answers, " << refusals
            << " refusals, no violations\n";
  return 0;
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  cxxopts::Options command(
      "protocol_fuzz",
      "Fuzzes the entry and agent cores in a simulated cluster.");
  command.add_options()("seed", "first seed; random by default",
                        cxxopts::value<std::uint64_t>())(
      "runs", "number of runs; 0: run for --seconds instead",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "seconds", "time to run, if --runs is 0",
      cxxopts::value<std::int64_t>()->default_value("10"))(
      "steps", "steps in a run",
      cxxopts::value<std::size_t>()->default_value("260"))(
      "entries", "", cxxopts::value<std::uint32_t>()->default_value("3"))(
      "agents", "", cxxopts::value<std::uint32_t>()->default_value("2"))(
      "keys", "number of latest keys that are resubmitted; 0: no resubmissions",
      cxxopts::value<std::uint32_t>()->default_value("4"))(
      "late-reads",
      "messages in flight on broken connections may be read later")(
      "partial-cuts", "also cut single links for long")(
      "refusing-cuts",
      "also cut links for long, with attempts to connect refused")(
      "table-cuts",
      "also cut one entry off from the table in a restart of all")(
      "partitions", "also divide the network for long")(
      "late-orders", "some orders are carried out late, while agents end")(
      "crashing-upstreams", "some tasks crash upstreams; capacities change")(
      "leases", "jobs may run again after their lease has expired")(
      "log", "print the events of every run")(
      "fault", "number of the DeliberateFault; 0: none",
      cxxopts::value<int>()->default_value("0"));
  const auto parsed = command.parse(argument_count, arguments);
  dandelionspur::FuzzOptions options;
  options.first_seed = parsed.count("seed") > 0
                           ? parsed["seed"].as<std::uint64_t>()
                           : std::random_device()();
  options.runs = parsed["runs"].as<std::uint64_t>();
  options.seconds = parsed["seconds"].as<std::int64_t>();
  options.steps = parsed["steps"].as<std::size_t>();
  options.print_log = parsed.count("log") > 0;
  options.simulation.entries = parsed["entries"].as<std::uint32_t>();
  options.simulation.agents = parsed["agents"].as<std::uint32_t>();
  options.simulation.keys = parsed["keys"].as<std::uint32_t>();
  if (parsed.count("late-reads") > 0) {
    options.simulation.in_flight = dandelionspur::InFlightMessages::kReadLater;
  }
  if (parsed.count("leases") > 0) {
    options.simulation.rerun = dandelionspur::RerunPolicy::kAfterLease;
  }
  if (parsed.count("partial-cuts") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kPartialCuts;
  }
  if (parsed.count("refusing-cuts") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kRefusingCuts;
  }
  if (parsed.count("table-cuts") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kTableCuts;
  }
  if (parsed.count("partitions") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kPartitions;
  }
  if (parsed.count("crashing-upstreams") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kCrashingUpstreams;
  }
  if (parsed.count("late-orders") > 0) {
    options.simulation.fault_mix = dandelionspur::FaultMix::kLateOrders;
  }
  options.simulation.fault =
      static_cast<dandelionspur::DeliberateFault>(parsed["fault"].as<int>());
  return dandelionspur::Fuzz(options);
}
