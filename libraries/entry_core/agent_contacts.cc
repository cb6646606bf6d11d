#include "libraries/entry_core/agent_contacts.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// An agent or entry that was silent for two heartbeats is missing. Asking about
// one that is only late costs a few bytes.
constexpr Duration kMissingAfter = std::chrono::milliseconds(350);

}  // namespace

AgentContacts::AgentContacts(const EntryCoreSettings& configured,
                             AgentRegistry& registry, PeerDirectory& directory)
    : settings(configured), agents(registry), peers(directory) {}

PeerHeartbeat AgentContacts::HeartbeatFor(EntryId peer, const View& view,
                                          Timestamp now) const {
  PeerHeartbeat heartbeat;
  heartbeat.epoch = view.epoch;
  heartbeat.sent_at = now;
  heartbeat.declines_buckets = this->peers.Declines(this->settings.self);
  if (this->peers.Asks(peer)) {
    this->AddRequestedContacts(peer, now, heartbeat);
  } else {
    this->AddAllContacts(view, now, heartbeat);
  }
  this->AddRequests(peer, view, now, heartbeat);
  return heartbeat;
}

void AgentContacts::AddRequestedContacts(EntryId peer, Timestamp now,
                                         PeerHeartbeat& heartbeat) const {
  heartbeat.coverage = ContactCoverage::kRequested;
  heartbeat.peers.push_back(this->ContactOf(peer, now));
  const std::vector<AgentId>& asked = this->peers.AgentsAskedBy(peer);
  for (const EntryId entry : this->peers.EntriesAskedBy(peer)) {
    // What this entry knows of the other's contacts must include the agents
    // that the receiver asks about.
    if (!this->peers.HasListed(entry, asked)) continue;
    heartbeat.peers.push_back(this->ContactOf(entry, now));
  }
  for (const AgentId id : asked) {
    const KnownAgent* known = this->agents.Find(id);
    if (known == nullptr) {
      // This entry has had no contact with the agent.
      heartbeat.sightings.push_back({id, Timestamp(), Duration()});
      continue;
    }
    heartbeat.sightings.push_back(
        {id, known->newest_heartbeat, now - known->contact_at});
    if (!known->lost_at) continue;
    heartbeat.lost_agents.push_back({id, known->lost_at, known->ended_idle});
  }
}

void AgentContacts::AddAllContacts(const View& view, Timestamp now,
                                   PeerHeartbeat& heartbeat) const {
  heartbeat.coverage = ContactCoverage::kAll;
  for (const ViewMember& member : view.members) {
    if (member.entry == this->settings.self) continue;
    heartbeat.peers.push_back(this->ContactOf(member.entry, now));
  }
  for (const auto& [id, known] : this->agents.all()) {
    const Duration age = now - known.contact_at;
    if (known.lost_at || age > this->settings.lease_over_after) continue;
    heartbeat.sightings.push_back({id, known.newest_heartbeat, age});
  }
}

void AgentContacts::AddRequests(EntryId peer, const View& view, Timestamp now,
                                PeerHeartbeat& heartbeat) const {
  std::set<AgentId> missing;
  for (const auto& [id, known] : this->agents.all()) {
    if (this->IsMissing(known, now)) missing.insert(id);
  }
  for (const ViewMember& member : view.members) {
    if (member.entry == this->settings.self || member.entry == peer) continue;
    if (!this->peers.EntriesAskedBy(member.entry).empty()) {
      const std::vector<AgentId>& asked =
          this->peers.AgentsAskedBy(member.entry);
      missing.insert(asked.begin(), asked.end());
    }
    if (now - this->peers.ConfirmedAt(member.entry) > kMissingAfter) {
      heartbeat.missing_entries.push_back(member.entry);
    }
  }
  heartbeat.missing_agents.assign(missing.begin(), missing.end());
}

PeerContact AgentContacts::ContactOf(EntryId peer, Timestamp now) const {
  return {peer, this->peers.NewestHeartbeat(peer),
          now - this->peers.ConfirmedAt(peer)};
}

std::vector<AgentSummary> AgentContacts::OnHeartbeat(
    EntryId from, const PeerHeartbeat& message, Timestamp now) {
  this->peers.NoteHeartbeat(from, message, now);
  for (const AgentContact& sighting : message.sightings) {
    this->agents.Add(sighting.agent)
        .NoteHeartbeat(sighting.heartbeat, now - sighting.age);
  }
  const auto own = std::find_if(
      message.peers.begin(), message.peers.end(),
      [&](const auto& known) { return known.entry == this->settings.self; });
  const bool is_confirmed =
      own != message.peers.end() && own->heard != Timestamp();
  if (!is_confirmed) return message.lost_agents;
  this->peers.NoteHeartbeatConfirmed(from, own->heard, now);
  for (const PeerContact& known : message.peers) {
    if (known.entry == this->settings.self) continue;
    // The peer sent this message after receiving this entry's heartbeat of
    // `own->heard`, so by this entry's clock the peer has the sightings of
    // `known.entry` at least up to `informed_age` before that time.
    this->peers.NoteSightingsReceived(known.entry,
                                      own->heard - known.informed_age, now);
  }
  return message.lost_agents;
}

Timestamp AgentContacts::RunsOverAt(const KnownAgent& agent,
                                    StartConfirmation starts,
                                    const View& view) const {
  const Duration over_after = this->settings.RunsOver(starts);
  if (agent.lost_at) {
    // A dead process renews no lease, whatever contact it had before its death.
    return agent.ended_idle ? *agent.lost_at
                            : *agent.lost_at + over_after - kContactLimit;
  }
  const Timestamp latest = this->LatestPossibleContact(agent, view);
  if (starts == StartConfirmation::kConfirmed) return latest + over_after;
  return std::max(latest, this->left_confirm_until) + over_after;
}

bool AgentContacts::RunsAreOver(const KnownAgent& agent,
                                StartConfirmation starts, const View& view,
                                Timestamp now) const {
  if (agent.is_vacant) return true;
  if (agent.lost_at) return now >= this->RunsOverAt(agent, starts, view);
  if (now < agent.contact_at + this->settings.RunsOver(starts)) return false;
  if (this->RemovedMayHaveRuns(starts, now)) return false;
  const Timestamp over_at = this->RunsOverAt(agent, starts, view);
  if (now < over_at) return false;
  const bool hears_most = this->HearsMostMembers(view, now);
  const auto is_over_at = [&](EntryId member) {
    if (member == this->settings.self) return true;
    // The member would have reported a contact that renewed a lease.
    if (this->peers.SightingsUpTo(member) >= over_at) return true;
    return this->HasLongStoppedConfirming(member, starts, hears_most, now);
  };
  return std::all_of(
      view.members.begin(), view.members.end(),
      [&](const ViewMember& member) { return is_over_at(member.entry); });
}

void AgentContacts::NoteMembersLeft(const View& former, const View& next) {
  for (const ViewMember& member : former.members) {
    const bool has_left = member.entry != this->settings.self &&
                          next.Find(member.entry) == nullptr;
    if (!has_left) continue;
    this->left_confirm_until =
        std::max(this->left_confirm_until,
                 this->peers.MayConfirmAgentsUntil(member.entry));
  }
}

bool AgentContacts::HasLongStoppedConfirming(EntryId member,
                                             StartConfirmation starts,
                                             bool hears_most_members,
                                             Timestamp now) const {
  const bool is_dead = this->peers.DeadSince(member).has_value();
  return (hears_most_members || is_dead) &&
         now >= this->peers.MayConfirmAgentsUntil(member) +
                    this->settings.RunsOver(starts);
}

bool AgentContacts::UnknownRunsAreOver(const Membership& membership,
                                       Timestamp now) const {
  const std::optional<Timestamp> before = membership.LatestUnknownContact();
  if (!before) return false;
  // An entry that had left the view relies on the lost members that it hears.
  constexpr auto kStarts = StartConfirmation::kUnconfirmed;
  const Timestamp over_at = std::max(*before, this->removed_act_until) +
                            kContactLimit + this->settings.RunsOver(kStarts);
  if (now < over_at) return false;
  const View& view = membership.view();
  const bool hears_most = this->HearsMostMembers(view, now);
  return std::all_of(view.members.begin(), view.members.end(),
                     [&](const ViewMember& member) {
                       return member.entry == this->settings.self ||
                              membership.HasToldAgents(member.entry) ||
                              this->HasLongStoppedConfirming(
                                  member.entry, kStarts, hears_most, now);
                     });
}

bool AgentContacts::IsViewTrusted(Timestamp now) const {
  return !this->view_current_at ||
         now <= *this->view_current_at + kViewTrustedFor;
}

bool AgentContacts::MayHaveBeenRemoved(const View& view, Timestamp now) const {
  if (this->IsViewTrusted(now)) return false;
  // A member that was proven dead removes nobody.
  return std::any_of(
      view.members.begin(), view.members.end(), [&](const ViewMember& member) {
        return member.entry != this->settings.self &&
               !this->peers.DeadSince(member.entry) &&
               !this->peers.HasConfirmedWithin(this->settings.remove_after,
                                               member.entry, now);
      });
}

bool AgentContacts::NoteRemovals(const View& former, const View& next,
                                 Timestamp now) {
  // Those that were removed are the minority then, and have stopped.
  if (this->HearsMostMembers(former, now)) return false;
  bool any = false;
  for (const EntryLoss& loss : next.losses) {
    const bool is_known = std::find(former.losses.begin(), former.losses.end(),
                                    loss) != former.losses.end();
    const bool may_act = loss.proof == LossProof::kSilent && !is_known &&
                         loss.entry != this->settings.self &&
                         !this->peers.DeadSince(loss.entry);
    if (!may_act) continue;
    // An entry that joins reads of losses that may be long past.
    const Timestamp removed = std::min(now, loss.lost_at + kClockSkewLimit);
    const Timestamp unheard = this->peers.MayBeHeardUntil(
        loss.entry, this->settings.remove_after, now);
    this->removed_act_until =
        std::max({this->removed_act_until, removed + kViewTrustedFor, unheard});
    any = true;
  }
  return any;
}

bool AgentContacts::HearsMostMembers(const View& view, Timestamp now) const {
  if (this->MayHaveBeenRemoved(view, now)) return false;
  const MemberCount others =
      this->CountOthers(view, this->settings.suspect_after, now);
  return 2 * (others.heard + 1) > others.living + 1;
}

bool AgentContacts::IsHeardByMostMembers(const View& view,
                                         Timestamp now) const {
  if (this->MayHaveBeenRemoved(view, now)) return false;
  const MemberCount others = this->CountOthers(view, kContactLimit, now);
  return 2 * others.heard > others.living;
}

AgentContacts::MemberCount AgentContacts::CountOthers(const View& view,
                                                      Duration limit,
                                                      Timestamp now) const {
  const bool dead_are_gone = this->IsViewTrusted(now);
  MemberCount others;
  for (const ViewMember& member : view.members) {
    if (member.entry == this->settings.self) continue;
    if (dead_are_gone && this->peers.DeadSince(member.entry)) continue;
    ++others.living;
    if (this->peers.HasConfirmedWithin(limit, member.entry, now)) {
      ++others.heard;
    }
  }
  return others;
}

bool AgentContacts::IsMissing(const KnownAgent& agent, Timestamp now) const {
  if (agent.lost_at) return false;
  return !agent.connected || now - agent.last_heard > kMissingAfter;
}

Timestamp AgentContacts::LatestPossibleContact(const KnownAgent& agent,
                                               const View& view) const {
  Timestamp latest = agent.contact_at;
  for (const ViewMember& member : view.members) {
    if (member.entry == this->settings.self) continue;
    latest = std::max(latest,
                      this->peers.UnlistedContact(member.entry, agent.agent));
  }
  return latest;
}

}  // namespace dandelionspur
