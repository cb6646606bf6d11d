#ifndef DANDELIONSPUR_TESTS_SUPPORT_ENTRY_STAGE_H_
#define DANDELIONSPUR_TESTS_SUPPORT_ENTRY_STAGE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// One entry core that is home of every bucket, and agents that are played by
// the test. Promises and confirmations are answered at once, unless they are
// withheld; starts are left to the test.
class EntryStage {
 public:
  EntryStage(std::uint32_t agent_count, std::uint32_t slots);

  std::vector<EntryEffect> Handle(const EntryEvent& event);
  // Lets time pass with a tick every 50 ms, and one at the end.
  std::vector<EntryEffect> Advance(Duration step);
  // A job of `tasks` that may run again, as a caller of this entry submits it.
  std::vector<EntryEffect> Submit(std::uint64_t number, std::uint32_t tasks,
                                  Duration time_allowed,
                                  Duration objective = Duration());
  // The agent proves that a start was not run.
  std::vector<EntryEffect> RefuseStart(const SendToAgent& sent, Reason reason,
                                       const AgentLoad& load);
  // The agent's heartbeat, with its load.
  std::vector<EntryEffect> TellLoad(AgentId agent, const AgentLoad& load);
  // Confirmations are not answered from now on.
  void WithholdConfirmations() { this->confirms = false; }

  [[nodiscard]] AgentId Agent(std::uint32_t index) const;
  // The load of an agent whose upstream runs `running` tasks.
  [[nodiscard]] AgentLoad Load(std::uint32_t running,
                               std::uint64_t starts_seen) const;
  [[nodiscard]] Timestamp now() const { return this->time; }

 private:
  // Answers what other processes would answer; returns all effects.
  std::vector<EntryEffect> Settle(std::vector<EntryEffect> effects);
  [[nodiscard]] std::optional<EntryEvent> AnswerTo(
      const EntryEffect& effect) const;

  EntryCore entry;
  std::uint32_t slots_each;
  Timestamp time;
  bool confirms = true;
};

// The starts among the effects.
std::vector<SendToAgent> StartsIn(const std::vector<EntryEffect>& effects);
// The answers to callers among the effects.
std::vector<AnswerCaller> AnswersIn(const std::vector<EntryEffect>& effects);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_ENTRY_STAGE_H_
