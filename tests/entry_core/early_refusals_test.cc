#include "libraries/entry_core/early_refusals.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/support/home_parts.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("s");
const JobKey kJob{1, 1};
const JobKey kOtherJob{2, 2};
const AgentId kAgent(7);
const Timestamp kReceived(std::chrono::seconds(10));
constexpr Duration kTaskTime = milliseconds(100);
constexpr Duration kAllowed = milliseconds(4000);
constexpr Duration kObjective = milliseconds(300);

// What a test expects of the job after a check.
enum class Outcome { kWaits, kRefused, kAnswered };

// A service with one core and the job under test, which has two tasks.
class EarlyRefusalsTest : public testing::Test {
 protected:
  EarlyRefusalsTest() {
    ServiceDocument document;
    document.service = kService;
    document.order = OrderKind::kLeastSlack;
    this->parts.queues.ApplyDocument(document);
    HomeJob& job = this->Receive(kJob, kObjective, kTaskTime, 2);
    this->parts.queues.AddTask(job, TaskIndex(1));
    this->parts.queues.AddTask(job, TaskIndex(0));
  }

  // Others have held the job under test before it was received.
  void HoldBefore(Duration waited) {
    HomeJob& job = this->parts.jobs.At(kJob);
    this->parts.queues.Remove(job);
    job.submission.SetTimeLeft(kAllowed - waited);
    this->parts.queues.AddTask(job, TaskIndex(1));
    this->parts.queues.AddTask(job, TaskIndex(0));
  }
  HomeJob& Receive(const JobKey& key, Duration objective, Duration task_time,
                   std::uint32_t tasks) {
    JobSubmission submission;
    submission.key = key;
    submission.service = kService;
    submission.client_account = ClientAccount("t");
    submission.time_allowed = kAllowed;
    submission.objective = objective;
    submission.tasks.resize(tasks, TaskRequest{Payload(), task_time, kOneSlot});
    HomeJob& job = this->parts.jobs.Add(submission, kReceived);
    job.phase = JobPhase::kRunning;
    job.waiters.emplace_back(RequestId(1));
    return job;
  }
  // Queues another job, which has no objective, so that the service's queue
  // takes this long.
  void QueueWork(Duration work) {
    if (work == Duration()) return;
    this->parts.queues.AddTask(this->Receive(kOtherJob, Duration(), work, 1),
                               TaskIndex(0));
  }
  void StartATask() {
    HomeJob& job = this->parts.jobs.At(kJob);
    const TaskIndex task = this->parts.queues.TakeTask(job, this->Service());
    this->parts.outstanding.Add(job, task, kAgent, TaskPhase::kStarted,
                                StartSuspicion::kNone);
  }
  ServiceState& Service() { return *this->parts.queues.Find(kService); }
  // An upstream of one core that is there.
  void ConnectUpstream() {
    AgentDescription description;
    description.agent = kAgent;
    description.service = kService;
    description.capacity = kOneSlot;
    this->parts.agents.Register(description);
    KnownAgent& agent = *this->parts.agents.Find(kAgent);
    agent.connected = true;
    agent.ready = true;
    this->parts.agents.RecountCapacity();
  }
  [[nodiscard]] Outcome OutcomeOfJob() {
    const HomeJob* job = this->parts.jobs.Find(kJob);
    if (job == nullptr) return Outcome::kAnswered;
    return job->phase == JobPhase::kRefusing ? Outcome::kRefused
                                             : Outcome::kWaits;
  }

  HomeParts parts;
  EarlyRefusals refusals{this->parts.context, this->parts.admission,
                         this->parts.finisher};
};

struct OverdueCase {
  const char* name;
  // Since this entry has received the job, and for how long others held it.
  Duration now;
  Duration waited;
  Duration other_work;
  bool is_started;
  bool is_late;
  Outcome outcome;
};

class OverdueJobTest : public EarlyRefusalsTest,
                       public testing::WithParamInterface<OverdueCase> {};

// Guards against a caller that waits for an answer which comes too late to be
// of use: the job is to be refused while the caller can still turn elsewhere.
TEST_P(OverdueJobTest, IsRefusedIfItsAnswerWouldBeOfNoUse) {
  const OverdueCase& tested = this->GetParam();
  this->HoldBefore(tested.waited);
  if (tested.is_started) this->StartATask();
  this->QueueWork(tested.other_work);
  this->refusals.DeprioritizeOverdue(this->Service(), kReceived + tested.now);
  EXPECT_EQ(this->parts.jobs.At(kJob).is_late, tested.is_late);
  EXPECT_EQ(this->OutcomeOfJob(), tested.outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, OverdueJobTest,
    testing::Values(
        OverdueCase{"InTime", milliseconds(100), Duration(), Duration(), false,
                    false, Outcome::kWaits},
        OverdueCase{"LateButOfUse", milliseconds(400), Duration(), Duration(),
                    false, true, Outcome::kWaits},
        OverdueCase{"LateAsOthersHeldIt", milliseconds(100), milliseconds(300),
                    Duration(), false, true, Outcome::kWaits},
        // The entries were without a home of the job, for example.
        OverdueCase{"OfNoUseAsOthersHeldIt", milliseconds(100),
                    milliseconds(900), Duration(), false, true,
                    Outcome::kRefused},
        OverdueCase{"OfNoUseBehindOthers", milliseconds(400), Duration(),
                    milliseconds(600), false, true, Outcome::kRefused},
        OverdueCase{"OfNoUseButStarted", milliseconds(400), Duration(),
                    milliseconds(700), true, true, Outcome::kWaits}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct LateCase {
  const char* name;
  Duration other_work;
  bool has_upstream;
  bool is_started;
  Outcome outcome;
};

class LateJobTest : public EarlyRefusalsTest,
                    public testing::WithParamInterface<LateCase> {};

TEST_P(LateJobTest, IsRefusedIfItCannotStartBeforeItsDeadline) {
  const LateCase& tested = this->GetParam();
  if (tested.has_upstream) this->ConnectUpstream();
  if (tested.is_started) this->StartATask();
  this->QueueWork(tested.other_work);
  this->parts.queues.MarkLate(this->parts.jobs.At(kJob), this->Service());
  this->refusals.RefuseUnservable(kReceived);
  EXPECT_EQ(this->OutcomeOfJob(), tested.outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Queues, LateJobTest,
    testing::Values(
        LateCase{"ShortQueue", milliseconds(1000), true, false,
                 Outcome::kWaits},
        LateCase{"LongQueue", kAllowed, true, false, Outcome::kRefused},
        LateCase{"LongQueueButStarted", kAllowed, true, true, Outcome::kWaits},
        LateCase{"NoUpstreamToEstimateTheWaitFrom", kAllowed, false, false,
                 Outcome::kWaits}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct DeadlineCase {
  const char* name;
  // The time of the check before the deadline.
  Duration before;
  bool is_started;
  bool is_refusing;
  Outcome outcome;
};

class JobNearDeadlineTest : public EarlyRefusalsTest,
                            public testing::WithParamInterface<DeadlineCase> {};

TEST_P(JobNearDeadlineTest, IsEndedInTimeForTheAnswerToReachTheCaller) {
  const DeadlineCase& tested = this->GetParam();
  if (tested.is_started) this->StartATask();
  HomeJob& job = this->parts.jobs.At(kJob);
  if (tested.is_refusing) {
    this->parts.finisher.Refuse(job, Reason::kDeadlineTooShort, kReceived);
  }
  this->refusals.AbandonBeforeDeadlines(job.deadline - tested.before);
  EXPECT_EQ(this->OutcomeOfJob(), tested.outcome);
}

constexpr Duration kMoment = Duration(1);

INSTANTIATE_TEST_SUITE_P(
    Times, JobNearDeadlineTest,
    testing::Values(DeadlineCase{"Early", kRefusalLead + kMoment, false, false,
                                 Outcome::kWaits},
                    DeadlineCase{"TimeToRefuse", kRefusalLead, false, false,
                                 Outcome::kRefused},
                    DeadlineCase{"AStartedJobHasUntilTheAnswer", kRefusalLead,
                                 true, false, Outcome::kWaits},
                    DeadlineCase{"TimeToAnswer", kHomeAnswerLead, true, false,
                                 Outcome::kAnswered},
                    DeadlineCase{"ARefusalMayBeConfirmedUntilTheAnswer",
                                 kHomeAnswerLead + kMoment, false, true,
                                 Outcome::kRefused},
                    DeadlineCase{"AnUnconfirmedRefusalIsAnswered",
                                 kHomeAnswerLead, false, true,
                                 Outcome::kAnswered}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
