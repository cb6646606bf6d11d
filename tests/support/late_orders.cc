#include "tests/support/late_orders.h"

#include <chrono>

namespace dandelionspur {
namespace {

// An agent counts an order without an answer as lost after this time, and then
// sends another one under a higher token.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(60);
constexpr std::uint32_t kUnansweredEvery = 6;
// How often an upstream answers nothing after it has left a start unanswered.
constexpr std::uint32_t kSilentEvery = 3;
constexpr Duration kShortestSilence = std::chrono::milliseconds(200);
constexpr Duration kLongestSilence = std::chrono::seconds(8);

}  // namespace

bool LateOrders::IsNextUnanswered() {
  return this->random() % kUnansweredEvery == 0;
}

Timestamp LateOrders::PickTime(Duration earliest, Duration latest) {
  const auto range = static_cast<std::uint64_t>((latest - earliest).count());
  const Duration picked =
      earliest +
      Duration(static_cast<std::int64_t>(this->random() % (range + 1)));
  return this->clock.Now() + picked;
}

bool LateOrders::IsUpstreamSilent(NodeId agent) const {
  const auto found = this->silent_until.find(agent);
  return found != this->silent_until.end() && this->clock.Now() < found->second;
}

bool LateOrders::IsOverdue(Timestamp sent_at) const {
  return this->clock.Now() - sent_at > kAnswerTimeout;
}

void LateOrders::AddStart(NodeId agent, const RunOnUpstream& run) {
  this->starts.push_back(
      {agent, run, this->clock.Now(),
       this->PickTime(kEarliestLateOrder, kLatestLateOrder)});
  if (this->random() % kSilentEvery != 0) return;
  this->silent_until[agent] = this->PickTime(kShortestSilence, kLongestSilence);
}

void LateOrders::AddRenewal(NodeId agent) {
  this->renewals.push_back(
      {agent, this->clock.Now(),
       this->PickTime(kEarliestLateOrder, kLatestLateOrder)});
}

std::vector<TaskId> LateOrders::SupersedeOverdue(NodeId agent) {
  std::erase_if(this->renewals, [&](const LateRenewal& renewal) {
    return renewal.agent == agent && this->IsOverdue(renewal.sent_at);
  });
  std::vector<TaskId> superseded;
  std::erase_if(this->starts, [&](const LateStart& start) {
    if (start.agent != agent || !this->IsOverdue(start.sent_at)) return false;
    superseded.push_back(start.run.task);
    return true;
  });
  return superseded;
}

void LateOrders::SupersedeAll(NodeId agent) {
  std::erase_if(this->renewals, [&](const LateRenewal& renewal) {
    return renewal.agent == agent;
  });
  std::erase_if(this->starts,
                [&](const LateStart& start) { return start.agent == agent; });
}

std::vector<TaskId> LateOrders::UnansweredStarts(NodeId agent) const {
  std::vector<TaskId> tasks;
  for (const LateStart& start : this->starts) {
    if (start.agent == agent) tasks.push_back(start.run.task);
  }
  return tasks;
}

std::vector<LateOrders::LateStart> LateOrders::TakeDueStarts() {
  std::vector<LateStart> due;
  std::erase_if(this->starts, [&](const LateStart& start) {
    if (start.due_at > this->clock.Now()) return false;
    due.push_back(start);
    return true;
  });
  return due;
}

std::vector<NodeId> LateOrders::TakeDueRenewals() {
  std::vector<NodeId> due;
  std::erase_if(this->renewals, [&](const LateRenewal& renewal) {
    if (renewal.due_at > this->clock.Now()) return false;
    due.push_back(renewal.agent);
    return true;
  });
  return due;
}

}  // namespace dandelionspur
