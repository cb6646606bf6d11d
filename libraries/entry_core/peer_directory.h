#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// How long after an entry has read its view from the table it counts the
// members that it knows to be dead as gone. Others may have joined in their
// place since, which it can't hear of while it reaches neither the table nor
// them.
inline constexpr Duration kViewTrustedFor = std::chrono::milliseconds(2'500);

// Liveness of the other entries. Suspicion decides only which entry acts as
// home and never affects safety: a false suspicion costs a change of home.
class PeerDirectory {
 public:
  explicit PeerDirectory(Duration suspicion) : suspect_after(suspicion) {}

  void Connected(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.connected = true;
    known.refuses_connections = false;
    known.last_heard = now;
  }
  void Disconnected(EntryId peer, Timestamp now) {
    this->Get(peer, now).connected = false;
  }
  // The peer is suspected until it is connected or heard again.
  void RefusedConnection(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.connected = false;
    known.refuses_connections = true;
  }
  [[nodiscard]] bool RefusesConnections(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.refuses_connections;
  }
  void ProvenDead(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.connected = false;
    if (!known.dead_since) known.dead_since = now;
  }
  void NoteMessage(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.refuses_connections = false;
    known.last_heard = now;
  }
  // Records that a view came into force at this entry.
  void NoteViewInForce(Epoch epoch, Timestamp now) {
    this->epoch_in_force = epoch;
    for (auto& [id, peer] : this->peers) {
      if (peer.epoch >= epoch || peer.lacks_view_since) continue;
      peer.lacks_view_since = now;
    }
  }
  // Records that the peer had the view of this epoch when it sent a message.
  void NoteEpoch(EntryId peer, Epoch epoch, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.epoch = std::max(known.epoch, epoch);
    if (known.epoch >= this->epoch_in_force) known.lacks_view_since.reset();
  }
  // The epoch of the latest view that the peer is known to have; 0 if it has
  // not told.
  [[nodiscard]] Epoch KnownEpoch(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Epoch() : found->second.epoch;
  }
  // Adds a peer if it is not in the directory; its suspicion timer starts at
  // `now`.
  void TrackMember(EntryId peer, Timestamp now) { this->Get(peer, now); }
  // Counts no time for silence in which this process handled no events:
  // messages may have arrived meanwhile.
  void ExcuseSilence(Duration away, Timestamp now) {
    if (away == Duration()) return;
    for (auto& [id, peer] : this->peers) {
      peer.last_heard = std::min(now, peer.last_heard + away);
    }
  }

  [[nodiscard]] bool IsConnected(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.connected;
  }
  [[nodiscard]] std::vector<EntryId> Connected() const {
    std::vector<EntryId> connected;
    for (const auto& [id, peer] : this->peers) {
      if (peer.connected) connected.push_back(id);
    }
    return connected;
  }
  [[nodiscard]] bool IsSuspected(EntryId peer, Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && this->IsSuspected(found->second, now);
  }
  // All peers that are suspected, in order.
  [[nodiscard]] std::vector<EntryId> Suspected(Timestamp now) const {
    std::vector<EntryId> suspected;
    for (const auto& [id, peer] : this->peers) {
      if (this->IsSuspected(peer, now)) suspected.push_back(id);
    }
    return suspected;
  }
  [[nodiscard]] std::optional<Timestamp> DeadSince(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? std::nullopt : found->second.dead_since;
  }
  // Records when a heartbeat of the peer was sent, what it covers and what it
  // asks for.
  void NoteHeartbeat(EntryId peer, const PeerHeartbeat& heartbeat,
                     Timestamp now) {
    Peer& known = this->Get(peer, now);
    // A late heartbeat from an earlier connection says nothing about the delay
    // of the current connection, and its requests are outdated.
    if (heartbeat.sent_at <= known.newest_heartbeat) return;
    known.newest_heartbeat = heartbeat.sent_at;
    known.heartbeat_arrived = now;
    const Duration offset = now - heartbeat.sent_at;
    known.least_offset = std::min(known.least_offset, offset);
    known.heartbeat_delay = offset - known.least_offset;
    this->NoteDeclines(peer, heartbeat.declines_buckets);
    known.asks = heartbeat.coverage.has_value();
    known.asked_agents = heartbeat.missing_agents;
    known.asked_entries = heartbeat.missing_entries;
    known.unlisted_contact = Timestamp();
    known.listed.clear();
    if (heartbeat.coverage != ContactCoverage::kRequested) return;
    known.unlisted_contact = now;
    for (const AgentContact& sighting : heartbeat.sightings) {
      known.listed.insert(sighting.agent);
    }
  }
  // Records whether an entry, which may be this one, declines further buckets.
  void NoteDeclines(EntryId entry, bool declines) {
    const bool has_changed = declines ? this->declining.insert(entry).second
                                      : this->declining.erase(entry) > 0;
    if (has_changed) ++this->decline_changes;
  }
  [[nodiscard]] bool Declines(EntryId entry) const {
    return this->declining.contains(entry);
  }
  // How many times an entry has begun or ceased to decline.
  [[nodiscard]] std::uint64_t DeclineChanges() const {
    return this->decline_changes;
  }
  // Whether the peer asks about the agents and entries that it does not hear.
  // Otherwise it must be sent all contacts.
  [[nodiscard]] bool Asks(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.asks;
  }
  // Whether the peer's version knows all kinds of messages of this version.
  [[nodiscard]] bool Understands(EntryId peer) const {
    return this->Asks(peer);
  }
  [[nodiscard]] const std::vector<AgentId>& AgentsAskedBy(EntryId peer) const {
    static const std::vector<AgentId> none;
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? none : found->second.asked_agents;
  }
  [[nodiscard]] const std::vector<EntryId>& EntriesAskedBy(EntryId peer) const {
    static const std::vector<EntryId> none;
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? none : found->second.asked_entries;
  }
  // Whether the peer's latest heartbeat tells its contacts with these agents.
  [[nodiscard]] bool HasListed(EntryId peer,
                               const std::vector<AgentId>& agents) const {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return false;
    const Peer& known = found->second;
    if (known.unlisted_contact == Timestamp()) return true;
    return std::all_of(agents.begin(), agents.end(), [&](AgentId agent) {
      return known.listed.contains(agent);
    });
  }
  // When this entry sent its latest heartbeat that the peer has confirmed.
  [[nodiscard]] Timestamp ConfirmedAt(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Timestamp() : found->second.confirmed;
  }
  // The latest time at which the peer can have had contact with the agent if
  // its latest heartbeat doesn't tell; the earliest possible time if it does.
  [[nodiscard]] Timestamp UnlistedContact(EntryId peer, AgentId agent) const {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Timestamp();
    const Peer& known = found->second;
    return known.listed.contains(agent) ? Timestamp() : known.unlisted_contact;
  }
  // Records that the peer had received this entry's heartbeat sent at `own`
  // when it sent its latest heartbeat.
  void NoteHeartbeatConfirmed(EntryId peer, Timestamp own, Timestamp now) {
    Peer& known = this->Get(peer, now);
    if (own < known.confirmed) return;
    known.confirmed = own;
    known.confirmation_age = now - own;
    known.sightings_received_up_to =
        std::max(known.sightings_received_up_to, own);
  }
  // Records that all agent contacts that the peer had up to `at` have reached
  // this entry by way of other entries.
  void NoteSightingsReceived(EntryId peer, Timestamp at, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.sightings_received_up_to =
        std::max(known.sightings_received_up_to, at);
  }
  // How much longer the peer's latest messages took to arrive and be handled
  // than the fastest one; an entry that lacks processor time leaves messages in
  // its socket. Heartbeats queue behind other messages, so the excess of a
  // heartbeat's age over the least age seen is the delay, whatever the offset
  // of the clocks. A step of a clock is not mistaken for a delay, since it
  // doesn't change the age of the peer's confirmation of this entry's
  // heartbeats. Delays below 50 ms are returned as zero.
  [[nodiscard]] Duration InboundDelay(EntryId peer) const {
    // Shorter delays do not indicate a backlog.
    constexpr Duration kNegligible = std::chrono::milliseconds(50);
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Duration();
    const Duration delay =
        std::min(found->second.heartbeat_delay, found->second.confirmation_age);
    return delay < kNegligible ? Duration() : delay;
  }
  // The longest inbound delay of all connected peers.
  [[nodiscard]] Duration LongestInboundDelay() const {
    Duration longest{};
    for (const auto& [id, peer] : this->peers) {
      if (!peer.connected) continue;
      longest = std::max(longest, this->InboundDelay(id));
    }
    return longest;
  }
  // The delay with which the messages of most connected peers are handled: the
  // lower median of their inbound delays. A single peer that sends late doesn't
  // change it; a backlog of this entry delays the messages of all peers.
  [[nodiscard]] Duration TypicalInboundDelay() const {
    std::vector<Duration> delays;
    for (const auto& [id, peer] : this->peers) {
      if (peer.connected) delays.push_back(this->InboundDelay(id));
    }
    if (delays.empty()) return Duration();
    const auto middle =
        delays.begin() + static_cast<std::ptrdiff_t>((delays.size() - 1) / 2);
    std::nth_element(delays.begin(), middle, delays.end());
    return *middle;
  }
  [[nodiscard]] Timestamp NewestHeartbeat(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Timestamp()
                                      : found->second.newest_heartbeat;
  }
  // The time up to which all agent contacts of the peer have reached this
  // entry.
  [[nodiscard]] Timestamp SightingsUpTo(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Timestamp()
                                      : found->second.sightings_received_up_to;
  }
  // Whether the peer has confirmed a heartbeat that this entry sent within the
  // limit.
  // Receiving messages from the peer is not enough: the link from this entry to
  // the peer may be broken.
  [[nodiscard]] bool HasConfirmedWithin(Duration limit, EntryId peer,
                                        Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && !found->second.dead_since &&
           now - found->second.confirmed <= limit;
  }
  // The latest time at which the peer can have confirmed a heartbeat of an
  // agent without this entry having received that sighting. An entry stops
  // confirming when most others have not confirmed its own heartbeats for the
  // time after which an entry is suspected. It may have received this entry's
  // confirmation of its latest heartbeat, and this entry no later one since, so
  // the arrival of that heartbeat counts. One that has an earlier view than
  // this entry may take dead members for all others until it no longer trusts
  // that view.
  [[nodiscard]] Timestamp MayConfirmAgentsUntil(EntryId peer) const {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Timestamp();
    const Peer& known = found->second;
    if (known.dead_since) return *known.dead_since;
    const Timestamp in_contact =
        std::max(known.sightings_received_up_to, known.heartbeat_arrived) +
        this->suspect_after;
    if (!known.lacks_view_since) return in_contact;
    return std::max(in_contact, *known.lacks_view_since + kViewTrustedFor);
  }
  // The latest time until which the peer can count a heartbeat of its own as
  // confirmed by this entry within `limit`: this entry has confirmed none that
  // was sent after it last heard the peer. `now` for an unknown peer.
  [[nodiscard]] Timestamp MayBeHeardUntil(EntryId peer, Duration limit,
                                          Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? now : found->second.last_heard + limit;
  }
  [[nodiscard]] Duration TimeSinceLastMessage(EntryId peer,
                                              Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Duration()
                                      : now - found->second.last_heard;
  }

 private:
  struct Peer {
    bool connected = false;
    // Since it was last connected or heard.
    bool refuses_connections = false;
    Timestamp last_heard;
    std::optional<Timestamp> dead_since;
    // By the peer's clock.
    Timestamp newest_heartbeat;
    // When it arrived, by this entry's clock.
    Timestamp heartbeat_arrived;
    // When this entry sent its latest heartbeat that the peer has confirmed.
    Timestamp confirmed;
    Timestamp sightings_received_up_to;
    // The latest view that the peer is known to have, and when the first one
    // came into force here that it is not known to have.
    Epoch epoch;
    std::optional<Timestamp> lacks_view_since;
    // Least age of a heartbeat on arrival; includes the offset of the clocks.
    Duration least_offset = Duration::max();
    // By how much the latest heartbeat's age exceeds `least_offset`.
    Duration heartbeat_delay{};
    // Age of this entry's latest confirmed heartbeat when the confirmation
    // arrived.
    Duration confirmation_age{};
    // From the peer's latest heartbeat: whether it asks about what it does not
    // hear, what it asks about, the agents whose contacts it lists, and the
    // latest time of its contacts with all others.
    bool asks = false;
    std::vector<AgentId> asked_agents;
    std::vector<EntryId> asked_entries;
    std::set<AgentId> listed;
    Timestamp unlisted_contact;
  };

  [[nodiscard]] bool IsSuspected(const Peer& peer, Timestamp now) const {
    return peer.dead_since || peer.refuses_connections ||
           now - peer.last_heard > this->suspect_after;
  }

  Peer& Get(EntryId peer, Timestamp now) {
    Peer fresh;
    fresh.last_heard = now;
    // Covers contacts that the peer had before it was added here:
    // MayConfirmAgentsUntil then counts from `now`.
    fresh.sightings_received_up_to = now;
    fresh.lacks_view_since = now;
    return this->peers.try_emplace(peer, fresh).first->second;
  }

  Duration suspect_after;
  Epoch epoch_in_force;
  std::map<EntryId, Peer> peers;
  std::set<EntryId> declining;
  std::uint64_t decline_changes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
