#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Which other entries answer. Suspicion decides only who acts, never what is
// safe: a wrong one costs a change of home.
class PeerDirectory {
 public:
  explicit PeerDirectory(Duration suspicion) : suspect_after(suspicion) {}

  void Connected(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.connected = true;
    known.last_heard = now;
  }
  void Disconnected(EntryId peer, Timestamp now) {
    this->Get(peer, now).connected = false;
  }
  void ProvenDead(EntryId peer, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.connected = false;
    if (!known.dead_since) known.dead_since = now;
  }
  void Heard(EntryId peer, Timestamp now) {
    this->Get(peer, now).last_heard = now;
  }
  // Silence is counted from here for a peer that was never heard of.
  void Expect(EntryId peer, Timestamp now) { this->Get(peer, now); }
  // Silence during a pause of this process says nothing about the others.
  void ForgiveSilence(Timestamp now) {
    for (auto& [id, peer] : this->peers) peer.last_heard = now;
  }

  [[nodiscard]] bool IsConnected(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.connected;
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
  // A heartbeat came that the peer sent at `sent_at`, by its clock.
  void NoteHeartbeat(EntryId peer, Timestamp sent_at, Timestamp now) {
    Peer& known = this->Get(peer, now);
    // Read late from an earlier connection; says nothing of the one of now.
    if (sent_at <= known.newest_heartbeat) return;
    known.newest_heartbeat = sent_at;
    const Duration offset = now - sent_at;
    known.least_offset = std::min(known.least_offset, offset);
    known.heartbeat_delay = offset - known.least_offset;
  }
  // The peer had this entry's heartbeat of `own` when it sent its own.
  void NoteConfirmed(EntryId peer, Timestamp own, Timestamp now) {
    Peer& known = this->Get(peer, now);
    if (own < known.confirmed) return;
    known.confirmed = own;
    known.confirmation_age = now - own;
    known.informed = std::max(known.informed, own);
  }
  // What the peer knew of agents at this time is known here, from others.
  void NoteInformed(EntryId peer, Timestamp at, Timestamp now) {
    Peer& known = this->Get(peer, now);
    known.informed = std::max(known.informed, at);
  }
  // How long the peer's latest messages took to come here and to be handled,
  // beyond the quickest: an entry without enough processor time leaves them in
  // its socket. A heartbeat takes its place among the others. How much older
  // than the youngest it comes tells the delay, whatever the clocks' offset;
  // a step of a clock does not pass for one, as the peer's confirmation of
  // this entry's own heartbeats then is no older than usual.
  [[nodiscard]] Duration InboundDelay(EntryId peer) const {
    // Less is no sign of a backlog.
    constexpr Duration kNegligible = std::chrono::milliseconds(50);
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Duration();
    const Duration delay =
        std::min(found->second.heartbeat_delay, found->second.confirmation_age);
    return delay < kNegligible ? Duration() : delay;
  }
  // The longest of all peers that are connected.
  [[nodiscard]] Duration LongestInboundDelay() const {
    Duration longest{};
    for (const auto& [id, peer] : this->peers) {
      if (!peer.connected) continue;
      longest = std::max(longest, this->InboundDelay(id));
    }
    return longest;
  }
  [[nodiscard]] Timestamp NewestHeartbeat(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Timestamp()
                                      : found->second.newest_heartbeat;
  }
  // What the peer knew of agents is known here as of this time.
  [[nodiscard]] Timestamp InformedAsOf(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Timestamp() : found->second.informed;
  }
  // Whether the peer has told lately that it hears this entry. To hear it is
  // not enough: the other way may be cut.
  [[nodiscard]] bool IsInTouch(EntryId peer, Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && !found->second.dead_since &&
           now - found->second.confirmed <= this->suspect_after;
  }
  // The latest time at which a peer can have confirmed heartbeats of agents
  // without that being known here: it stops once most others have not
  // confirmed its own for as long as it takes to be suspected.
  [[nodiscard]] Timestamp MayActUntil(EntryId peer) const {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Timestamp();
    const Peer& known = found->second;
    return known.dead_since.value_or(known.informed + this->suspect_after);
  }
  [[nodiscard]] Duration SilenceOf(EntryId peer, Timestamp now) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Duration()
                                      : now - found->second.last_heard;
  }

 private:
  struct Peer {
    bool connected = false;
    Timestamp last_heard;
    std::optional<Timestamp> dead_since;
    // By the peer's clock.
    Timestamp newest_heartbeat;
    // When this entry sent the latest heartbeat that the peer has confirmed.
    Timestamp confirmed;
    Timestamp informed;
    // Least age of a heartbeat when it came; includes the clocks' offset.
    Duration least_offset = Duration::max();
    // How much longer the latest one took.
    Duration heartbeat_delay{};
    // How old this entry's newest heartbeat there was, when that was told.
    Duration confirmation_age{};
  };

  [[nodiscard]] bool IsSuspected(const Peer& peer, Timestamp now) const {
    return peer.dead_since || now - peer.last_heard > this->suspect_after;
  }

  Peer& Get(EntryId peer, Timestamp now) {
    Peer fresh;
    fresh.last_heard = now;
    // Whatever it did before is over by the time that this allows for.
    fresh.informed = now;
    return this->peers.try_emplace(peer, fresh).first->second;
  }

  Duration suspect_after;
  std::map<EntryId, Peer> peers;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
