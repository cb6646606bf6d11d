#include "libraries/entry_core/service_state.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

// A queued job. Bursts and outages leave more jobs in the queue than can meet
// their objectives.
struct QueuedJob {
  std::uint64_t key;
  std::int64_t accepted_ms;
  std::int64_t objective_ms;
  std::int64_t task_ms;
};

struct OrderCase {
  const char* name;
  std::vector<QueuedJob> queued_jobs;
  std::int64_t now_ms;
  std::vector<std::uint64_t> order;
};

// Guards against an end of the process: the group had no work left after the
// first of two tasks whose time is not known.
TEST(QueuedWorkTest, TasksWithoutAKnownTimeCountAsNoWork) {
  ServiceState service(ServiceDocument(), 1);
  const JobGroupId group(7);
  service.TaskQueued(group, Duration());
  service.TaskQueued(group, Duration());
  service.TaskUnqueued(group, Duration());
  service.TaskUnqueued(group, Duration());
  EXPECT_EQ(service.QueuedWorkOf(group), Duration());
}

class LeastSlackTest : public testing::TestWithParam<OrderCase> {};

HomeJob JobOf(const QueuedJob& queued) {
  HomeJob job;
  job.submission.key = {queued.key, queued.key};
  job.submission.client_account = ClientAccount("t");
  job.submission.objective = milliseconds(queued.objective_ms);
  job.submission.tasks.push_back(
      {Payload(), milliseconds(queued.task_ms), kOneSlot});
  job.accepted_at = Timestamp(milliseconds(queued.accepted_ms));
  job.deadline = job.accepted_at + std::chrono::seconds(3);
  job.queued.emplace_back(0);
  job.queued_work = milliseconds(queued.task_ms);
  return job;
}

// Guards against a state for every name that callers make up.
TEST(AccountStatesTest, AreForgottenWithTheLastTask) {
  constexpr std::int64_t kCores = 8;
  constexpr std::uint64_t kAccounts = 100;
  ServiceDocument document;
  ServiceState service(document, 1);
  for (std::uint64_t number = 0; number < kAccounts; ++number) {
    HomeJob job = JobOf({number, 0, 100, 10});
    job.submission.client_account = ClientAccount(std::to_string(number));
    service.Enqueue(job, kCores);
    EXPECT_EQ(service.account_count(), 1U);
    service.TaskStarted(job.submission.client_account);
    service.Dequeue(job);
    EXPECT_EQ(service.account_count(), 1U);
    service.TaskEnded(job.submission.client_account);
    EXPECT_EQ(service.account_count(), 0U);
  }
}

TEST(AccountStatesTest, AreKeptForAccountsOfTheDocument) {
  constexpr std::int64_t kCores = 8;
  ServiceDocument document;
  document.client_accounts = {{ClientAccount("t"), 2, 5}};
  ServiceState service(document, 1);
  HomeJob job = JobOf({1, 0, 100, 10});
  service.Enqueue(job, kCores);
  service.Dequeue(job);
  EXPECT_EQ(service.account_count(), 1U);
}

TEST_P(LeastSlackTest, ServesJobsThatCanMeetTheirObjectiveFirst) {
  constexpr std::int64_t kCores = 8;
  ServiceDocument document;
  document.order = OrderKind::kLeastSlack;
  ServiceState service(document, 1);
  std::map<JobKey, HomeJob> jobs;
  for (const QueuedJob& queued : this->GetParam().queued_jobs) {
    HomeJob& job = jobs[{queued.key, queued.key}];
    job = JobOf(queued);
    service.Enqueue(job, kCores);
  }
  const Timestamp now(milliseconds(this->GetParam().now_ms));
  for (const JobKey& key : service.OverdueJobs(now)) {
    service.Dequeue(jobs.at(key));
    jobs.at(key).is_late = true;
    service.Enqueue(jobs.at(key), kCores);
  }
  std::vector<std::uint64_t> order;
  while (const std::optional<JobKey> next = service.Next()) {
    order.push_back(next->low);
    service.Dequeue(jobs.at(*next));
  }
  EXPECT_EQ(order, this->GetParam().order);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LeastSlackTest,
    testing::Values(
        OrderCase{"ATightJobOvertakesAnOlderOneWithTimeLeft",
                  {{1, 0, 1500, 900}, {2, 100, 160, 60}},
                  110,
                  {2, 1}},
        OrderCase{"AfterAnOutageLateJobsDoNotMakeNewJobsLate",
                  {{1, 0, 160, 60}, {2, 0, 380, 200}, {3, 2000, 380, 200}},
                  2010,
                  {3, 1, 2}},
        OrderCase{"AmongLateJobsTheEarliestDueComesFirst",
                  {{1, 100, 160, 60}, {2, 0, 160, 60}},
                  3000,
                  {2, 1}},
        OrderCase{"AJobWithoutAnObjectiveIsDueAtItsDeadline",
                  {{1, 0, 0, 100}, {2, 0, 1000, 100}},
                  10,
                  {2, 1}}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
