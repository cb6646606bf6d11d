// Times what one change of the configuration costs an entry, by the number of
// routes: from the operators' text to the routes that callers are served by.
#include <benchmark/benchmark.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libraries/configuration/stored_document.h"
#include "platform/desired_state.h"
#include "services/entry/serving_state.h"

namespace dandelionspur {
namespace {

constexpr std::size_t kServices = 5;

std::string NumberText(std::size_t number) {
  constexpr std::size_t kDigits = 4;
  const std::string digits = std::to_string(number);
  return std::string(kDigits - digits.size(), '0') + digits;
}

std::string HostName(std::size_t route) {
  return "host-" + std::to_string(route % kServices) + ".example";
}

std::string PathPrefix(std::size_t route) {
  return "/queue-" + NumberText(route) + "/";
}

// The operators' text. `timeout` is that of the first route alone, so that two
// texts differ in one route.
std::string ConfigurationText(std::size_t routes, std::uint64_t version,
                              std::int64_t timeout) {
  nlohmann::json services = nlohmann::json::array();
  for (std::size_t i = 0; i < kServices; ++i) {
    services.push_back({{"name", "service-" + std::to_string(i)}});
  }
  constexpr std::int64_t kTimeout = 1500;
  nlohmann::json list = nlohmann::json::array();
  for (std::size_t i = 0; i < routes; ++i) {
    list.push_back({{"name", "route-" + NumberText(i)},
                    {"service", "service-" + std::to_string(i % kServices)},
                    {"host", HostName(i)},
                    {"path_prefix", PathPrefix(i)},
                    {"timeout_ms", i == 0 ? timeout : kTimeout},
                    {"target_latency_ms", 60},
                    {"priority", 2},
                    {"max_attempts", 4},
                    {"stretch", 1.6}});
  }
  return nlohmann::json{{"version", version},
                        {"services", services},
                        {"routes", list},
                        {"limits", nlohmann::json::object()}}
      .dump();
}

std::vector<VersionedDocument> Decode(const std::string& text) {
  return OrElse(
      [&] { return DecodeConfiguration(text); },
      [](const std::string&) { return std::vector<VersionedDocument>(); });
}

// Two versions that differ in one route.
std::array<std::vector<VersionedDocument>, 2> TwoVersions(std::size_t routes) {
  constexpr std::int64_t kFirstTimeout = 1600;
  constexpr std::int64_t kSecondTimeout = 1700;
  return {Decode(ConfigurationText(routes, 1, kFirstTimeout)),
          Decode(ConfigurationText(routes, 2, kSecondTimeout))};
}

// From the operators' text to a document for each service.
void DecodeText(benchmark::State& state) {
  const auto routes = static_cast<std::size_t>(state.range(0));
  constexpr std::int64_t kTimeout = 1600;
  const std::string text = ConfigurationText(routes, 1, kTimeout);
  for (auto _ : state) {
    const std::vector<VersionedDocument> documents = Decode(text);
    if (documents.size() != kServices) {
      state.SkipWithError("not decoded");
      break;
    }
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}

// Parses the documents of all services once; the core and the server each do.
void ParseDocuments(benchmark::State& state) {
  const auto routes = static_cast<std::size_t>(state.range(0));
  const std::vector<VersionedDocument> documents = TwoVersions(routes)[0];
  for (auto _ : state) {
    for (const VersionedDocument& document : documents) {
      benchmark::DoNotOptimize(ParseStoredDocument(document));
    }
  }
}

// Puts a version in force for callers that differs in one route, as the
// server's thread does once it has the documents.
void PublishVersion(benchmark::State& state) {
  const RcuReaderRegistration registration;
  const auto routes = static_cast<std::size_t>(state.range(0));
  const auto versions = TwoVersions(routes);
  ServingState next;
  PublishedServingState serving;
  for (const VersionedDocument& document : versions[0]) next.Adopt(document);
  std::size_t round = 0;
  for (auto _ : state) {
    ++round;
    for (const VersionedDocument& document : versions[round % 2]) {
      next.Adopt(document);
      serving.Publish(next);
    }
  }
}

// Looks up `asked` different paths in turn.
void FindPaths(benchmark::State& state, std::size_t routes, std::size_t asked) {
  const auto versions = TwoVersions(routes);
  ServingState serving;
  for (const VersionedDocument& document : versions[0]) {
    serving.Adopt(document);
  }
  std::vector<std::string> hosts;
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < asked; ++i) {
    const std::size_t route = i * (routes / asked);
    hosts.push_back(HostName(route));
    paths.push_back(PathPrefix(route) + "job-1883618780616342967");
  }
  // Coprime with the numbers of routes, so that neighbours in time aren't
  // neighbours in memory.
  constexpr std::size_t kStep = 1237;
  std::size_t at = 0;
  for (auto _ : state) {
    at = (at + kStep) % asked;
    const RouteTable::Match match = serving.routes.Find(hosts[at], paths[at]);
    if (match.route == nullptr) {
      state.SkipWithError("no route");
      break;
    }
    benchmark::DoNotOptimize(match.rest);
  }
}

// All routes are asked for in turn, so that the processor's caches, too, hold
// them less well the more there are.
void FindRoute(benchmark::State& state) {
  const auto routes = static_cast<std::size_t>(state.range(0));
  FindPaths(state, routes, routes);
}

// Few routes are asked for, whatever the number of routes, so that the cost of
// the search alone shows.
void FindBusyRoute(benchmark::State& state) {
  constexpr std::size_t kAsked = 10;
  FindPaths(state, static_cast<std::size_t>(state.range(0)), kAsked);
}

void Sizes(benchmark::internal::Benchmark* declared) {
  constexpr std::int64_t kSmall = 10;
  constexpr std::int64_t kLarge = 400;
  constexpr std::int64_t kLargest = 5'000;
  declared->Arg(kSmall)->Arg(kLarge)->Arg(kLargest);
}

BENCHMARK(DecodeText)->Apply(Sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(ParseDocuments)->Apply(Sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(PublishVersion)->Apply(Sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(FindRoute)->Apply(Sizes)->Unit(benchmark::kNanosecond);
BENCHMARK(FindBusyRoute)->Apply(Sizes)->Unit(benchmark::kNanosecond);

}  // namespace
}  // namespace dandelionspur

BENCHMARK_MAIN();
