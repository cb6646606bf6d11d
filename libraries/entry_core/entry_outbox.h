#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_OUTBOX_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_OUTBOX_H_

#include <utility>
#include <vector>

#include "libraries/entry_core/entry_events.h"

namespace dandelionspur {

// Collects the effects of one event, in order.
class EntryOutbox {
 public:
  void ToPeer(EntryId to, PeerMessage message) {
    this->effects.emplace_back(SendToPeer{to, std::move(message)});
  }
  void ToAgent(AgentId to, EntryToAgentMessage message) {
    this->effects.emplace_back(SendToAgent{to, std::move(message)});
  }
  void Answer(RequestId request, const JobKey& key, JobAnswer answer) {
    this->effects.emplace_back(AnswerCaller{request, key, std::move(answer)});
  }
  void Add(EntryEffect effect) { this->effects.push_back(std::move(effect)); }
  std::vector<EntryEffect> Take() { return std::exchange(this->effects, {}); }

 private:
  std::vector<EntryEffect> effects;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_OUTBOX_H_
