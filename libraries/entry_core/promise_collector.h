#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_COLLECTOR_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_COLLECTOR_H_

#include <cstdint>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/bucket_state.h"
#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/entry_core/promise_requests.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Asks entries and agents for the promises that this entry's acquisitions of
// buckets lack, and records the promises with the keys that come with them.
class PromiseCollector {
 public:
  PromiseCollector(const EntryCoreSettings& configured,
                   const Membership& current_membership,
                   BucketTable& bucket_table, const AgentRegistry& registry,
                   const PeerDirectory& directory, EntryOutbox& effects);

  // Asks entries and agents for missing promises: those that have answered the
  // latest request, and those whose answer to it is lost for certain.
  void RequestMissing(Timestamp now);
  // Requests the missing promises from an entry to or from which there is a new
  // connection. A request or reply on the earlier one may be lost.
  void ResumeFrom(EntryId entry, Timestamp now);
  // The same for an agent that has connected.
  void ResumeFrom(AgentId agent, Timestamp now);
  // Requests the missing promises from an agent, unless an earlier request is
  // under way.
  void RequestFrom(AgentId agent, Timestamp now);
  // OnPromiseReply and OnAgentPromiseReply return the buckets lost to a higher
  // ballot.
  std::vector<BucketId> OnPromiseReply(EntryId from, const PromiseReply& reply,
                                       Timestamp now);
  std::vector<BucketId> OnAgentPromiseReply(AgentId from,
                                            const AgentPromiseReply& reply,
                                            Timestamp now);

 private:
  [[nodiscard]] bool NeedsPromiseOf(EntryId entry,
                                    const BucketState& bucket) const;
  // Requests the missing promises from an entry, unless an earlier request is
  // under way.
  void RequestFrom(EntryId entry, Timestamp now);
  // The members, and the former homes that have left the view.
  [[nodiscard]] std::set<EntryId> EntriesToAsk() const;
  // How much a responder may list in one reply. All replies together must not
  // delay heartbeats on this entry's link.
  [[nodiscard]] std::uint32_t MaximumListed() const;
  // Records an entry's state before it made its promise, and the promise once
  // all keys of the bucket have arrived.
  void AddPromise(EntryId from, const BucketPromise& promise,
                  const PromisePart& part);
  // Returns whether the started tasks listed for the bucket are new.
  bool AddPromise(AgentId from, const AgentBucketPromise& promise,
                  const PromisePart& part);

  EntryCoreSettings settings;
  const Membership& membership;
  BucketTable& buckets;
  const AgentRegistry& agents;
  const PeerDirectory& peers;
  EntryOutbox& outbox;
  PromiseRequests<EntryId> entry_requests;
  PromiseRequests<AgentId> agent_requests;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_COLLECTOR_H_
