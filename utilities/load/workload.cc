#include "utilities/load/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <set>
#include <sstream>

namespace dandelionspur {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr Duration kShortestTask = std::chrono::milliseconds(50);
constexpr Duration kLongestShortTask = std::chrono::milliseconds(1000);
constexpr Duration kShortestLongTask = std::chrono::milliseconds(2000);
constexpr Duration kLongestLongTask = std::chrono::milliseconds(5000);
constexpr double kLongTaskProbability = 0.005;
constexpr double kBurstProbability = 0.05;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

double TotalWork(const PlannedJob& job) {
  return std::accumulate(job.tasks.begin(), job.tasks.end(), 0.0,
                         [](double sum, const PlannedTask& task) {
                           return sum + Seconds(task.duration);
                         });
}

// Generates random jobs and inter-arrival times from one seed.
class JobGenerator {
 public:
  explicit JobGenerator(const WorkloadOptions& configured)
      : options(configured), random(configured.seed) {}

  PlannedJob NextJob(std::size_t number) {
    PlannedJob job;
    job.key = this->options.key_prefix + "-" +
              std::to_string(this->options.seed) + "-" + std::to_string(number);
    const std::size_t count = this->DrawTaskCount();
    for (std::size_t i = 0; i < count; ++i) job.tasks.push_back(this->Task());
    job.resubmitted = this->Chance(this->options.resubmitted_fraction);
    // Drawn only if asked for, so that a seed gives the same jobs without it.
    const bool may_crash = this->options.crashing_fraction > 0;
    if (may_crash) {
      job.tasks.front().crashes = this->Chance(this->options.crashing_fraction);
    }
    return job;
  }

  double NextInterarrivalTime(double jobs_per_second) {
    return std::exponential_distribution<double>(jobs_per_second)(this->random);
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

 private:
  // Log-uniform from 1 to the largest job, so that most jobs are small.
  std::size_t DrawTaskCount() {
    std::uniform_real_distribution<double> logarithm(
        0, std::log(static_cast<double>(this->options.largest_job) + 1));
    const double size = std::exp(logarithm(this->random));
    return std::clamp<std::size_t>(static_cast<std::size_t>(size), 1,
                                   this->options.largest_job);
  }

  Duration DrawLogUniform(Duration low, Duration high) {
    std::uniform_real_distribution<double> logarithm(std::log(Seconds(low)),
                                                     std::log(Seconds(high)));
    return FromSeconds(std::exp(logarithm(this->random)));
  }

  PlannedTask Task() {
    PlannedTask task;
    task.duration =
        this->Chance(kLongTaskProbability)
            ? this->DrawLogUniform(kShortestLongTask, kLongestLongTask)
            : this->DrawLogUniform(kShortestTask, kLongestShortTask);
    const double error = std::log(std::max(1.0, this->options.declared_error));
    std::uniform_real_distribution<double> logarithm(-error, error);
    const double factor = std::exp(logarithm(this->random));
    constexpr double kShortestDeclared = 0.001;
    task.declared = FromSeconds(
        std::max(kShortestDeclared, Seconds(task.duration) * factor));
    return task;
  }

  WorkloadOptions options;
  std::mt19937_64 random;
};

}  // namespace

Result<std::vector<UpstreamGroup>> ParseFleet(const std::string& text) {
  std::vector<UpstreamGroup> fleet;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    UpstreamGroup group;
    char separator = 0;
    std::istringstream fields(item);
    fields >> group.slots >> separator >> group.slowness;
    const bool valid = !fields.fail() && separator == 'x' && group.slots > 0 &&
                       group.slowness > 0;
    if (!valid) {
      return Fail("--fleet: \"" + item +
                  "\" must be SLOTSxSLOWNESS, both above 0");
    }
    fleet.push_back(group);
  }
  if (fleet.empty()) return Fail("--fleet must list an upstream group");
  return fleet;
}

double FleetCapacity(const std::vector<UpstreamGroup>& fleet) {
  double sum = 0;
  for (const UpstreamGroup& group : fleet) sum += group.slots / group.slowness;
  return sum;
}

std::vector<PlannedJob> PlanWorkload(const WorkloadOptions& options,
                                     const std::vector<UpstreamGroup>& fleet) {
  JobGenerator source(options);
  std::vector<PlannedJob> jobs;
  double total_work = 0;
  for (std::size_t i = 0; i < options.jobs; ++i) {
    jobs.push_back(source.NextJob(i));
    total_work += TotalWork(jobs.back());
  }
  const double mean_work = total_work / static_cast<double>(options.jobs);
  const double jobs_per_second =
      options.utilization * FleetCapacity(fleet) / mean_work;
  // Bursts add jobs to some arrivals. The mean gap between arrivals grows in
  // proportion, which keeps the utilization as requested.
  const double mean_group_size =
      1 + kBurstProbability * static_cast<double>(options.burst - 1);
  double now = 0;
  std::size_t left_in_burst = 0;
  for (PlannedJob& job : jobs) {
    if (left_in_burst > 0) {
      --left_in_burst;
    } else {
      now += source.NextInterarrivalTime(jobs_per_second / mean_group_size);
      if (source.Chance(kBurstProbability)) left_in_burst = options.burst - 1;
    }
    job.arrival = FromSeconds(now);
  }
  return jobs;
}

Duration IdleFleetIdealResponse(const PlannedJob& job,
                                const std::vector<UpstreamGroup>& fleet) {
  double fastest = fleet.front().slowness;
  for (const UpstreamGroup& group : fleet) {
    fastest = std::min(fastest, group.slowness);
  }
  double longest = 0;
  for (const PlannedTask& task : job.tasks) {
    longest = std::max(longest, Seconds(task.duration));
  }
  return FromSeconds(
      std::max(longest * fastest, TotalWork(job) / FleetCapacity(fleet)));
}

std::vector<Duration> LoadedFleetIdealResponses(
    const std::vector<PlannedJob>& jobs,
    const std::vector<UpstreamGroup>& fleet) {
  struct Pending {
    double work = 0;
    std::size_t job = 0;
    auto operator<=>(const Pending&) const = default;
  };
  const double capacity = FleetCapacity(fleet);
  std::vector<Duration> ideals(jobs.size());
  std::set<Pending> pending;
  double now = 0;
  // Advances the fluid server to `until`, in seconds since the start of the
  // run. It always serves the job with the least remaining work.
  const auto serve_until = [&](double until) {
    while (!pending.empty() && now < until) {
      Pending least = *pending.begin();
      pending.erase(pending.begin());
      const double needed = least.work / capacity;
      if (now + needed > until) {
        least.work -= (until - now) * capacity;
        pending.insert(least);
        break;
      }
      now += needed;
      ideals[least.job] = FromSeconds(now - Seconds(jobs[least.job].arrival));
    }
    now = std::max(now, until);
  };
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    serve_until(Seconds(jobs[i].arrival));
    pending.insert({TotalWork(jobs[i]), i});
  }
  constexpr double kEndOfTime = 1e12;
  serve_until(kEndOfTime);
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    ideals[i] = std::max(ideals[i], IdleFleetIdealResponse(jobs[i], fleet));
  }
  return ideals;
}

}  // namespace dandelionspur
