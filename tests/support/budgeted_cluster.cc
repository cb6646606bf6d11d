#include "tests/support/budgeted_cluster.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

#include "tests/support/simulated_workload.h"

namespace dandelionspur {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr std::uint32_t kTicksPerPoll = 20;
constexpr Duration kCallerDeadline = std::chrono::milliseconds(1500);
constexpr Duration kTaskTime = std::chrono::milliseconds(5);
constexpr Duration kBringUp = std::chrono::seconds(3);
// What an entry spends on an event, besides what its messages cost by size. A
// caller's request is read, parsed and answered over HTTP.
constexpr Duration kCallCost = std::chrono::microseconds(400);
constexpr Duration kEventCost = std::chrono::microseconds(100);
constexpr std::chrono::nanoseconds kByteCost{60};
constexpr std::uint64_t kThousand = 1000;

Duration CostOf(Duration event, std::size_t bytes) {
  return event + std::chrono::duration_cast<Duration>(
                     kByteCost * static_cast<std::int64_t>(bytes));
}

}  // namespace

double ServiceMeasure::ServedShare() const {
  return this->submitted == 0 ? 1.0
                              : static_cast<double>(this->served) /
                                    static_cast<double>(this->submitted);
}

Duration ServiceMeasure::LongWait() const {
  if (this->waits.empty()) return Duration::max();
  return this->waits[this->waits.size() * 9 / 10];
}

BudgetedCluster::BudgetedCluster(const SimulationOptions& configured,
                                 std::uint32_t rate)
    : options(configured),
      jobs_per_second(rate),
      log(this->clock),
      oracle(this->options, this->log),
      upstreams(this->clock),
      late_orders(this->clock),
      faults(this->options.fault, this->network, this->clock),
      processes({this->options, this->clock, this->network, this->upstreams,
                 this->late_orders, this->table, this->faults, this->oracle,
                 this->log}) {
  for (std::uint32_t i = 0; i < this->options.entries; ++i) {
    this->processes.StartEntry(i);
    Entry entry{0, ProcessorBudget(this->options.MillicoresOf(i)), {}, {}, 0,
                0};
    entry.node = this->processes.AliveEntries().back();
    entry.tick_due = this->clock.Now() + kTick;
    this->entries.push_back(std::move(entry));
  }
  for (std::uint32_t i = 0; i < this->options.agents; ++i) {
    this->processes.StartAgent(i);
  }
  this->table.WriteDocument();
  const Timestamp ready = this->clock.Now() + kBringUp;
  while (this->clock.Now() < ready) this->Step();
}

ServiceMeasure BudgetedCluster::Run(Duration span) {
  ServiceMeasure measure;
  const std::uint32_t first = this->key_count;
  const Timestamp end = this->clock.Now() + span;
  while (this->clock.Now() < end) {
    this->SubmitJobs();
    this->Step();
    this->CollectAnswers(measure);
  }
  measure.submitted = this->key_count - first;
  std::sort(measure.waits.begin(), measure.waits.end());
  return measure;
}

void BudgetedCluster::SetSpeed(std::uint32_t slot, std::uint32_t percent) {
  this->log.Append("entry " + std::to_string(this->entries[slot].node) +
                   " has " + std::to_string(percent) + "% of its processor");
  this->entries[slot].budget.SetSpeed(percent);
}

Duration BudgetedCluster::LagOf(std::uint32_t slot) const {
  return std::max(Duration(), this->clock.Now() - this->entries[slot].tick_due);
}

double BudgetedCluster::ShareHeldBy(std::uint32_t slot) const {
  std::uint64_t all = 0;
  for (std::uint32_t i = 0; i < this->options.entries; ++i) {
    all += this->options.MillicoresOf(i);
  }
  const double share = static_cast<double>(this->options.buckets) *
                       this->options.MillicoresOf(slot) /
                       static_cast<double>(all);
  return this->processes.homes().ClaimedBy(EntryId(this->entries[slot].node)) /
         share;
}

std::optional<std::uint32_t> BudgetedCluster::HomeOf(BucketId bucket) const {
  const EntryId home = this->processes.homes().HomeOf(bucket);
  for (std::uint32_t i = 0; i < this->entries.size(); ++i) {
    if (this->entries[i].node == home.value()) return i;
  }
  return std::nullopt;
}

void BudgetedCluster::Step() {
  this->clock.Advance(kStep);
  this->DeliverToAgents();
  for (Entry& entry : this->entries) {
    entry.budget.Earn(kStep);
    while (entry.budget.CanRun()) {
      const Duration cost = this->HandleNext(entry);
      if (cost == Duration()) break;
      entry.budget.Spend(cost);
    }
  }
  this->DeliverToAgents();
  this->RunAgents();
}

void BudgetedCluster::SubmitJobs() {
  const std::uint64_t step_us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(kStep).count());
  this->due_jobs += this->jobs_per_second * step_us / kThousand;
  for (; this->due_jobs >= kThousand; this->due_jobs -= kThousand) {
    // Callers know nothing of the entries' state.
    Entry& entry = this->entries[this->key_count % this->entries.size()];
    JobSubmission job = JobOf(this->key_count++, this->options);
    job.time_allowed = kCallerDeadline;
    const Duration slack = job.Slack();
    entry.calls.Push({std::move(job), this->clock.Now()}, slack,
                     this->clock.Now());
  }
}

Duration BudgetedCluster::HandleNext(Entry& entry) {
  // As an event loop does: one message of each socket in turn, then one call,
  // then the timer.
  if (const auto next =
          this->network.NextChannelTo(entry.node, entry.last_read)) {
    entry.last_read = next->from;
    const SimulatedMessage message = this->network.TakeFirst(*next);
    const std::size_t received = SimulatedProcesses::SizeOf(message);
    const std::size_t sent =
        this->processes.Deliver(next->from, entry.node, message);
    return CostOf(kEventCost, received + sent);
  }
  entry.last_read = 0;
  Duration cost = this->HandleCall(entry);
  if (this->clock.Now() >= entry.tick_due) cost += this->HandleTick(entry);
  if (cost > Duration()) return cost;
  const auto first = this->network.NextChannelTo(entry.node, 0);
  return first ? this->HandleNext(entry) : Duration();
}

Duration BudgetedCluster::HandleCall(Entry& entry) {
  CallQueue<Call>::Turn turn = entry.calls.Take(this->clock.Now());
  // The entry refuses at the door what can't be served in time.
  const Duration cost =
      kEventCost * static_cast<std::int64_t>(turn.refused.size());
  if (!turn.next) return cost;
  JobSubmission& job = turn.next->call.job;
  job.time_allowed -= turn.next->waited;
  const RequestId request = this->oracle.RecordSubmission(entry.node, job.key);
  this->pending.push_back({request, turn.next->call.arrived});
  return cost +
         CostOf(kCallCost, this->processes.HandleEntry(
                               entry.node, CallerSubmitted{request, job}));
}

Duration BudgetedCluster::HandleTick(Entry& entry) {
  if (++entry.ticks % kTicksPerPoll == 0) {
    this->processes.ReadTable(entry.node);
  }
  entry.tick_due = this->clock.Now() + kTick;
  return CostOf(kEventCost,
                this->processes.HandleEntry(entry.node, EntryTick{}));
}

void BudgetedCluster::RunAgents() {
  while (!this->upstreams.IsIdle()) {
    const RunningTask task = this->upstreams.Finish(0);
    this->processes.HandleAgent(
        task.agent, UpstreamTaskCompleted{task.task, UpstreamResult::kSucceeded,
                                          ResultOf(task.task), kTaskTime});
  }
  if (this->clock.Now() < this->next_agent_tick) return;
  this->next_agent_tick = this->clock.Now() + kTick;
  for (const NodeId agent : this->processes.AliveAgents()) {
    this->processes.TickAgent(agent);
  }
}

void BudgetedCluster::DeliverToAgents() {
  for (const Channel& channel : this->network.Channels()) {
    if (this->processes.IsEntry(channel.to)) continue;
    while (this->network.HasMessages(channel)) {
      this->processes.Deliver(channel.from, channel.to,
                              this->network.TakeFirst(channel));
    }
  }
}

void BudgetedCluster::CollectAnswers(ServiceMeasure& measure) {
  std::erase_if(this->pending, [&](const PendingRequest& waiting) {
    const std::optional<Reason> reason = this->oracle.AnswerTo(waiting.request);
    if (!reason) return false;
    const Duration wait = this->clock.Now() - waiting.arrived;
    if (*reason != Reason::kComplete || wait > kCallerDeadline) return true;
    ++measure.served;
    measure.waits.push_back(wait);
    return true;
  });
}

}  // namespace dandelionspur
