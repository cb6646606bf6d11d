#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/entry_core/interference/interference_estimator.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Number = JobGroupId::ValueType;

constexpr std::uint64_t kUpstreams = 12;

// One task that is about to end, as a pattern sees it.
struct Moment {
  Number group = 0;
  std::uint64_t upstream = 0;
  std::vector<JobGroupId> neighbours;
  double used_share = 0;
  Duration since_begin{};

  [[nodiscard]] bool IsBeside(Number other) const {
    return std::find(this->neighbours.begin(), this->neighbours.end(),
                     JobGroupId(other)) != this->neighbours.end();
  }
};

// The load that a service is under.
struct Load {
  Number groups = 6;
  Duration between_tasks = milliseconds(5);
  // How likely a group runs beside a task there and then.
  std::function<double(Number neighbour, const Moment&)> presence =
      [](Number, const Moment&) { return 0.35; };
  std::function<double(const Moment&, double random)> used_share =
      [](const Moment&, double random) { return random; };
  // How many times as long as declared a task takes.
  std::function<double(const Moment&)> slowdown = [](const Moment&) {
    return 1.0;
  };
};

// Feeds an estimator with the tasks of a load. Declared times are off by a
// factor that the two tasks of a job share.
class InterferenceTest : public testing::Test {
 protected:
  void Run(const Load& load, Duration time) {
    const Timestamp until = this->now + time;
    while (this->now < until) {
      this->now += load.between_tasks;
      this->EndTask(load);
      this->estimator.Update(this->now);
    }
  }
  // The pairs that are kept apart, the smaller number first.
  [[nodiscard]] std::set<std::pair<Number, Number>> Apart(Number groups) const {
    std::set<std::pair<Number, Number>> apart;
    for (Number group = 1; group <= groups; ++group) {
      const AvoidedGroups avoided = this->estimator.ToAvoid(JobGroupId(group));
      for (Number other = 1; other <= groups; ++other) {
        if (!avoided.Contains(JobGroupId(other))) continue;
        apart.emplace(std::min(group, other), std::max(group, other));
      }
    }
    return apart;
  }

  InterferenceEstimator estimator;
  Timestamp now{seconds(100)};

 private:
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
  }
  void EndTask(const Load& load) {
    constexpr double kDeclaredScatter = 0.4;
    Moment moment;
    moment.since_begin = this->now - this->begin;
    moment.group = 1 + static_cast<Number>(this->generator() % load.groups);
    moment.upstream = this->generator() % kUpstreams;
    moment.used_share = load.used_share(moment, this->Random());
    for (Number offset = 0; offset < 4; ++offset) {
      const Number other =
          1 + static_cast<Number>(this->generator() % load.groups);
      const bool is_there = other != moment.group && !moment.IsBeside(other) &&
                            this->Random() < load.presence(other, moment);
      if (is_there) moment.neighbours.emplace_back(other);
    }
    if (++this->tasks % 2 == 1) {
      this->declared_error = std::normal_distribution<double>(
          0, kDeclaredScatter)(this->generator);
    }
    const double ratio = std::exp(this->declared_error) * load.slowdown(moment);
    constexpr double kDeclaredMicroseconds = 200'000;
    this->estimator.Observe(
        {JobGroupId(moment.group), AgentId(1000 + moment.upstream),
         Duration(static_cast<std::int64_t>(kDeclaredMicroseconds)),
         Duration(static_cast<std::int64_t>(kDeclaredMicroseconds * ratio)), 2,
         moment.used_share, moment.neighbours},
        this->now);
  }

  Timestamp begin = this->now;
  std::mt19937_64 generator{20261207};
  std::uint64_t tasks = 0;
  double declared_error = 0;
};

struct PatternCase {
  std::string name;
  Load load;
  std::set<std::pair<Number, Number>> apart;
};

void PrintTo(const PatternCase& pattern, std::ostream* out) {
  *out << pattern.name;
}

class PatternTest : public InterferenceTest,
                    public testing::WithParamInterface<PatternCase> {};

TEST_P(PatternTest, OnlyGroupsThatSlowEachOtherDownAreKeptApart) {
  this->Run(GetParam().load, seconds(60));
  EXPECT_EQ(this->Apart(GetParam().load.groups), GetParam().apart);
}

constexpr double kHarm = 1.6;

double NoisyGroup(const Moment& moment) {
  return moment.group != 3 && moment.IsBeside(3) ? kHarm : 1;
}

PatternCase OneNoisyGroup() {
  PatternCase pattern{"OneNoisyGroup", {}, {}};
  pattern.load.slowdown = NoisyGroup;
  pattern.apart = {{1, 3}, {2, 3}, {3, 4}, {3, 5}, {3, 6}};
  return pattern;
}

// Among few groups, the harm to one looks like harm to all on average.
PatternCase TwoThatHurtEachOtherOnly(const std::string& name, Number groups) {
  PatternCase pattern{name, {}, {{1, 2}}};
  pattern.load.groups = groups;
  pattern.load.slowdown = [](const Moment& moment) {
    const bool is_hurt = (moment.group == 1 && moment.IsBeside(2)) ||
                         (moment.group == 2 && moment.IsBeside(1));
    return is_hurt ? kHarm : 1;
  };
  return pattern;
}

// One group runs mostly at the slow upstreams, beside whoever is there.
PatternCase SlowUpstreamsThatLookLikeInterference() {
  PatternCase pattern{"SlowUpstreamsThatLookLikeInterference", {}, {}};
  pattern.load.presence = [](Number neighbour, const Moment& moment) {
    if (neighbour != 3) return 0.35;
    return moment.upstream < 4 ? 0.9 : 0.1;
  };
  pattern.load.slowdown = [](const Moment& moment) {
    return moment.upstream < 4 ? 3.0 : 1.0;
  };
  return pattern;
}

bool IsBurst(const Moment& moment) {
  return moment.since_begin % seconds(20) > seconds(14);
}

double PresenceInBurst(Number neighbour, const Moment& moment) {
  if (neighbour != 3) return 0.35;
  return IsBurst(moment) ? 0.9 : 0.1;
}

// Full upstreams are slow, and one group's large tasks fill them.
PatternCase AGroupWhoseTasksFillUpstreams() {
  PatternCase pattern{"AGroupWhoseTasksFillUpstreams", {}, {}};
  pattern.load.presence = [](Number neighbour, const Moment& moment) {
    if (neighbour != 3) return 0.35;
    return moment.used_share > 0.75 ? 0.9 : 0.1;
  };
  pattern.load.slowdown = [](const Moment& moment) {
    return moment.used_share > 0.75 ? 1.8 : 1.0;
  };
  return pattern;
}

// The same for all upstreams at once, for as long as the burst lasts.
PatternCase ABurstThatFillsTheUpstreams() {
  PatternCase pattern{"ABurstThatFillsTheUpstreams", {}, {}};
  pattern.load.presence = PresenceInBurst;
  pattern.load.used_share = [](const Moment& moment, double random) {
    return IsBurst(moment) ? 0.8 + 0.2 * random : random;
  };
  pattern.load.slowdown = [](const Moment& moment) {
    return moment.used_share > 0.75 ? 1.8 : 1.0;
  };
  return pattern;
}

// All upstreams are slow for as long as the burst lasts, full or not.
PatternCase ABurstAtASlowTime() {
  PatternCase pattern{"ABurstAtASlowTime", {}, {}};
  pattern.load.between_tasks = milliseconds(20);
  pattern.load.presence = PresenceInBurst;
  pattern.load.slowdown = [](const Moment& moment) {
    return IsBurst(moment) ? 1.8 : 1.0;
  };
  return pattern;
}

// Another group is mostly beside that one.
PatternCase AGroupThatDeclaresTooLittle() {
  PatternCase pattern{"AGroupThatDeclaresTooLittle", {}, {}};
  pattern.load.presence = [](Number neighbour, const Moment& moment) {
    if (neighbour != 4) return 0.35;
    return moment.group == 3 ? 0.9 : 0.1;
  };
  pattern.load.slowdown = [](const Moment& moment) {
    return moment.group == 3 ? 4.0 : 1.0;
  };
  return pattern;
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, PatternTest,
    testing::Values(OneNoisyGroup(),
                    TwoThatHurtEachOtherOnly("TwoThatHurtEachOtherOnly", 6),
                    TwoThatHurtEachOtherOnly("TwoOfThreeHurtEachOther", 3),
                    AGroupWhoseTasksFillUpstreams(),
                    SlowUpstreamsThatLookLikeInterference(),
                    ABurstThatFillsTheUpstreams(), ABurstAtASlowTime(),
                    AGroupThatDeclaresTooLittle(),
                    PatternCase{"NoInterference", {}, {}}),
    [](const auto& item) { return item.param.name; });

// What happens after a group was suspected, and whose tasks run beside it.
struct FadeCase {
  std::string name;
  double presence = 0;
  Duration at_most{};
};

void PrintTo(const FadeCase& fade, std::ostream* out) { *out << fade.name; }

class FadeTest : public InterferenceTest,
                 public testing::WithParamInterface<FadeCase> {};

// Guards against groups that are kept apart for good because of what one of
// them did long ago.
TEST_P(FadeTest, ASuspicionFades) {
  Load noisy;
  noisy.slowdown = NoisyGroup;
  this->Run(noisy, seconds(60));
  ASSERT_FALSE(this->Apart(noisy.groups).empty());
  Load quiet;
  quiet.presence = [](Number neighbour, const Moment&) {
    return neighbour == 3 ? GetParam().presence : 0.35;
  };
  this->Run(quiet, GetParam().at_most);
  EXPECT_EQ(this->Apart(quiet.groups).size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Fades, FadeTest,
    testing::Values(FadeCase{"WhileTheyRunBesideEachOther", 0.35, seconds(60)},
                    FadeCase{"WhileTheyAreApart", 0, seconds(180)}),
    [](const auto& item) { return item.param.name; });

// Guards against state that grows with the square of the client accounts, and
// against a noisy account that is not found among many.
TEST_F(InterferenceTest, StateIsBoundedWith780ClientAccounts) {
  Load many;
  many.groups = 780;
  many.between_tasks = milliseconds(1);
  many.slowdown = NoisyGroup;
  many.presence = [](Number neighbour, const Moment&) {
    return neighbour == 3 ? 1 : 0.5;
  };
  this->Run(many, seconds(90));
  EXPECT_LE(this->estimator.pair_count(), InterferenceEstimator::kMaximumPairs);
  ASSERT_EQ(this->estimator.suspicions().size(), 1U);
  EXPECT_TRUE(this->estimator.suspicions()[0].ConcernsAll());
  EXPECT_EQ(this->estimator.suspicions()[0].neighbour, JobGroupId(3));
}

}  // namespace
}  // namespace dandelionspur
