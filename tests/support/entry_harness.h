#ifndef DANDELIONSPUR_TESTS_SUPPORT_ENTRY_HARNESS_H_
#define DANDELIONSPUR_TESTS_SUPPORT_ENTRY_HARNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// A test harness around one entry core that is the home of all buckets. The
// harness stands in for the agents: it answers requests for promises and for
// confirmations immediately, unless confirmations are withheld. The test itself
// answers the starts.
class EntryHarness {
 public:
  // If `reported` is given, each agent reports with its promises that a former
  // home has started the first task of the job with this number there.
  EntryHarness(std::uint32_t agent_count, std::uint32_t slots,
               std::optional<std::uint64_t> reported = std::nullopt);

  std::vector<EntryEffect> Handle(const EntryEvent& event);
  // Advances time by `step` with a tick every 50 ms and one at the end.
  std::vector<EntryEffect> Advance(Duration step);
  // Submits a job of `tasks` tasks that may run again, as a caller of this
  // entry does.
  std::vector<EntryEffect> Submit(std::uint64_t number, std::uint32_t tasks,
                                  Duration time_allowed,
                                  Duration objective = Duration());
  // Replies to a start that the agent has not run it.
  std::vector<EntryEffect> RefuseStart(const SendToAgent& sent, Reason reason,
                                       const AgentLoad& load);
  // Delivers a heartbeat of the agent with the given load.
  std::vector<EntryEffect> SendHeartbeat(AgentId agent, const AgentLoad& load);
  // Stops answering requests for confirmations.
  void WithholdConfirmations() { this->sends_confirmations = false; }

  [[nodiscard]] AgentId Agent(std::uint32_t index) const;
  // The load of an agent whose upstream runs `running` tasks and which has
  // received `starts_seen` starts.
  [[nodiscard]] AgentLoad Load(std::uint32_t running,
                               std::uint64_t starts_seen) const;
  [[nodiscard]] Timestamp now() const { return this->time; }
  JobPreview Preview(const JobSubmission& job) {
    return this->entry.Preview(job, this->time);
  }
  [[nodiscard]] MemoryUse memory_use() const {
    return this->entry.ComputeMemoryUse();
  }

 private:
  // Delivers the replies of the agents to `effects` and to the effects that
  // follow. Returns all effects.
  std::vector<EntryEffect> DeliverReplies(std::vector<EntryEffect> effects);
  [[nodiscard]] std::optional<EntryEvent> ReplyTo(
      const EntryEffect& effect) const;

  EntryCore entry;
  std::uint32_t slots_per_agent;
  std::optional<std::uint64_t> reported_job;
  Timestamp time;
  bool sends_confirmations = true;
};

inline constexpr std::uint32_t kHarnessBuckets = 8;

// Returns the key of the job that Submit submits under this number.
JobKey HarnessKey(std::uint64_t number);
// A submission of `tasks` tasks that may run again, as Submit submits it.
CallerSubmitted HarnessSubmission(std::uint64_t number, std::uint32_t tasks,
                                  Duration time_allowed, Duration objective);
// Returns the starts among the effects.
std::vector<SendToAgent> StartsIn(const std::vector<EntryEffect>& effects);
// Returns the answers to callers among the effects.
std::vector<AnswerCaller> AnswersIn(const std::vector<EntryEffect>& effects);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_ENTRY_HARNESS_H_
