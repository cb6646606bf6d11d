#ifndef DANDELIONSPUR_TESTS_SUPPORT_LOST_AGENT_CASE_H_
#define DANDELIONSPUR_TESTS_SUPPORT_LOST_AGENT_CASE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {

// An entry that is the home of all buckets, with two agents of one slot, one of
// which is lost.
class LostAgentCase : public testing::Test {
 protected:
  LostAgentCase() : entry(/*agent_count=*/2, /*slots=*/1) {}

  // The connection to the agent breaks, and another is refused.
  std::vector<EntryEffect> RefuseConnections() {
    this->entry.Handle(AgentDisconnected{this->agent});
    return this->entry.Handle(AgentRefusesConnections{this->agent});
  }
  [[nodiscard]] AgentId OtherAgent() const {
    const AgentId first = this->entry.Agent(0);
    return this->agent == first ? this->entry.Agent(1) : first;
  }
  // Advances time while the other agent sends heartbeats.
  std::vector<EntryEffect> Advance(Duration step) {
    constexpr std::chrono::milliseconds kTick{50};
    std::vector<EntryEffect> all;
    const Timestamp until = this->entry.now() + step;
    while (this->entry.now() < until) {
      this->entry.SendHeartbeat(this->OtherAgent(), this->entry.Load(0, 0));
      for (EntryEffect& effect : this->entry.Advance(kTick)) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }

  EntryHarness entry;
  // The one that is lost.
  AgentId agent;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_LOST_AGENT_CASE_H_
