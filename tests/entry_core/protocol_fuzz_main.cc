#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

#include "tests/support/protocol_world.h"

namespace dandelionspur {
namespace {

struct FuzzOptions {
  std::uint64_t first_seed = 1;
  std::uint64_t runs = 0;
  std::int64_t seconds = 0;
  std::size_t steps = 0;
  bool print_log = false;
  WorldOptions world;
};

// Runs one seed; prints its log and returns false where a promise breaks.
bool RunSeed(std::uint64_t seed, const FuzzOptions& options,
             std::uint64_t& completes, std::uint64_t& refusals) {
  std::mt19937_64 random(seed);
  WorldOptions world_options = options.world;
  constexpr std::uint32_t kIntensities = 4;
  world_options.intensity = 1 + seed % kIntensities;
  ProtocolWorld world(world_options);
  for (std::size_t i = 0; i < options.steps; ++i) {
    world.Step(static_cast<std::uint32_t>(random()));
  }
  world.Settle();
  completes += world.completes();
  refusals += world.refusals();
  if (options.print_log) std::cout << world.Log();
  if (!world.violation()) return true;
  std::cout << world.Log() << "seed " << seed << ": " << *world.violation()
            << "\n";
  return false;
}

int Fuzz(const FuzzOptions& options) {
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t seed = options.first_seed;
  std::uint64_t completes = 0;
  std::uint64_t refusals = 0;
  for (;; ++seed) {
    const std::uint64_t done = seed - options.first_seed;
    const bool out_of_time = std::chrono::steady_clock::now() - began >
                             std::chrono::seconds(options.seconds);
    if (options.runs > 0 ? done >= options.runs : out_of_time) break;
    if (!RunSeed(seed, options, completes, refusals)) return 1;
  }
  std::cout << seed - options.first_seed << " runs from seed "
            << options.first_seed << ": " << completes << " complete answers, "
            << refusals << " refusals, every promise kept\n";
  return 0;
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  cxxopts::Options command("protocol_fuzz",
                           "Random runs of the real cores against the oracle.");
  command.add_options()("seed", "first seed; fresh if missing",
                        cxxopts::value<std::uint64_t>())(
      "runs", "number of runs; 0: as many as --seconds allows",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "seconds", "time to run",
      cxxopts::value<std::int64_t>()->default_value("10"))(
      "steps", "steps in a run",
      cxxopts::value<std::size_t>()->default_value("260"))(
      "entries", "", cxxopts::value<std::uint32_t>()->default_value("3"))(
      "agents", "", cxxopts::value<std::uint32_t>()->default_value("2"))(
      "keys", "resubmissions are of this many latest keys; 0: none",
      cxxopts::value<std::uint32_t>()->default_value("4"))(
      "late-reads", "what broken connections carried may be read later")(
      "leases", "jobs may run again once their lease is over")(
      "log", "print what happened in every run")(
      "fault", "number of a deliberate fault",
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
  options.world.entries = parsed["entries"].as<std::uint32_t>();
  options.world.agents = parsed["agents"].as<std::uint32_t>();
  options.world.keys = parsed["keys"].as<std::uint32_t>();
  if (parsed.count("late-reads") > 0) {
    options.world.in_flight = dandelionspur::InFlight::kRead;
  }
  if (parsed.count("leases") > 0) {
    options.world.rerun = dandelionspur::RerunPolicy::kAfterLease;
  }
  options.world.fault =
      static_cast<dandelionspur::DeliberateFault>(parsed["fault"].as<int>());
  return dandelionspur::Fuzz(options);
}
