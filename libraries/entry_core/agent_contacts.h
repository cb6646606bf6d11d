#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_CONTACTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_CONTACTS_H_

#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// What the entries tell each other about their latest contacts with agents, and
// when the tasks of an agent must be over because no entry has had contact with
// it. A heartbeat between entries names only the agents that its receiver does
// not hear itself; of all other agents the receiver must assume that the sender
// has contact. So an idle fleet exchanges nothing about its agents.
// docs/design/platform.md has the argument.
class AgentContacts {
 public:
  AgentContacts(const EntryCoreSettings& configured, AgentRegistry& registry,
                PeerDirectory& directory);

  // The heartbeat for `peer`, a member of `view`.
  [[nodiscard]] PeerHeartbeat HeartbeatFor(EntryId peer, const View& view,
                                           Timestamp now) const;
  // Records a heartbeat of another entry. Returns the agents of which this
  // entry learns from it that they are lost.
  std::vector<AgentSummary> OnHeartbeat(EntryId from,
                                        const PeerHeartbeat& message,
                                        Timestamp now);
  // Whether no task that the agent has started can still be running, or begin
  // to run: after its last contact with any member of `view` it extends no
  // lease, and starts that are not confirmed may be carried out late.
  [[nodiscard]] bool RunsAreOver(const KnownAgent& agent,
                                 StartConfirmation starts, const View& view,
                                 Timestamp now) const;
  // The time at which that holds at the latest if nothing more is heard of the
  // agent, by what is known of its contacts now.
  [[nodiscard]] Timestamp RunsOverAt(const KnownAgent& agent,
                                     StartConfirmation starts,
                                     const View& view) const;
  // Records that the members of `former` that `next` lacks can't be asked about
  // their contacts any more.
  void NoteMembersLeft(const View& former, const View& next);

  // Whether no agent that is missing in the registry can be running tasks: each
  // other member has told this entry its agents since this entry is a member,
  // or has had no contact with any agent for `lease_over_after`. An empty
  // registry alone says nothing.
  [[nodiscard]] bool UnknownRunsAreOver(const Membership& membership,
                                        Timestamp now) const;
  // Records that no later view than the one in force was in the table at `at`.
  void NoteViewCurrent(Timestamp at) { this->view_current_at = at; }
  // Records which members `next`, the view that follows `former`, has removed
  // as silent although they may be the majority of `former`. They may confirm
  // agents, and act as homes, until they know or must suspect that they were
  // removed. Returns whether there are any.
  bool NoteRemovals(const View& former, const View& next, Timestamp now);
  // Whether runs that such members have started may continue.
  [[nodiscard]] bool RemovedMayHaveRuns(StartConfirmation starts,
                                        Timestamp now) const {
    return now < this->removed_act_until + this->settings.RunsOver(starts);
  }
  // Whether most living members of the view have recently confirmed heartbeats
  // of this entry. At least one of these then also hears any other entry for
  // which the same holds. Dead members count as living ones that are not heard
  // unless the view was read recently, since others may have replaced them.
  // Does not hold for an entry that may have been removed.
  [[nodiscard]] bool HearsMostMembers(const View& view, Timestamp now) const;
  // The same for an entry that has left the view, or may have, and still serves
  // the jobs that it has: whether most other living members have confirmed its
  // heartbeats within the contact limit. Entries that join learn of its agents
  // from them alone.
  [[nodiscard]] bool IsHeardByMostMembers(const View& view,
                                          Timestamp now) const;

 private:
  // Whether this entry relies on others to tell it about contacts of the agent.
  [[nodiscard]] bool IsMissing(const KnownAgent& agent, Timestamp now) const;
  // The latest time at which any entry can have had contact with the agent, as
  // far as this entry has been told.
  [[nodiscard]] Timestamp LatestPossibleContact(const KnownAgent& agent,
                                                const View& view) const;
  void AddRequestedContacts(EntryId peer, Timestamp now,
                            PeerHeartbeat& heartbeat) const;
  // For a peer of a version that expects the contacts of all agents and
  // entries.
  void AddAllContacts(const View& view, Timestamp now,
                      PeerHeartbeat& heartbeat) const;
  // Asks for the agents and entries that this entry does not hear. An entry
  // that does not hear all others learns of their contacts through this one,
  // which therefore passes on its requests.
  void AddRequests(EntryId peer, const View& view, Timestamp now,
                   PeerHeartbeat& heartbeat) const;
  [[nodiscard]] PeerContact ContactOf(EntryId peer, Timestamp now) const;
  // Whether a member that is silent can't have had contact with any agent
  // within the last RunsOver(starts).
  [[nodiscard]] bool HasLongStoppedConfirming(EntryId member,
                                              StartConfirmation starts,
                                              bool hears_most_members,
                                              Timestamp now) const;
  struct MemberCount {
    std::size_t living = 0;
    std::size_t heard = 0;
  };
  // Counts the other members, and those that have confirmed a heartbeat of this
  // entry within `limit`.
  [[nodiscard]] MemberCount CountOthers(const View& view, Duration limit,
                                        Timestamp now) const;
  [[nodiscard]] bool IsViewTrusted(Timestamp now) const;
  // Whether a member that this entry hasn't heard for long enough to be removed
  // by it may have removed this entry, as a later view may be in the table.
  [[nodiscard]] bool MayHaveBeenRemoved(const View& view, Timestamp now) const;

  EntryCoreSettings settings;
  AgentRegistry& agents;
  PeerDirectory& peers;
  // Not set while the age of the view is not known; the view is trusted then.
  std::optional<Timestamp> view_current_at;
  // Until when members that were removed as silent may confirm agents.
  Timestamp removed_act_until;
  // Until when members that have left the view may have confirmed agents. When
  // they are removed, only confirmed starts must be over.
  Timestamp left_confirm_until;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_CONTACTS_H_
