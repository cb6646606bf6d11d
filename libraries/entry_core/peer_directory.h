#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_

#include <map>
#include <optional>

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
    if (found == this->peers.end()) return false;
    return found->second.dead_since ||
           now - found->second.last_heard > this->suspect_after;
  }
  [[nodiscard]] std::optional<Timestamp> DeadSince(EntryId peer) const {
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? std::nullopt : found->second.dead_since;
  }
  // How long a peer that is cut off from here may still act for agents.
  [[nodiscard]] Timestamp MayActUntil(EntryId peer) const {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) return Timestamp();
    const Peer& known = found->second;
    return known.dead_since.value_or(known.last_heard + this->suspect_after);
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
  };

  Peer& Get(EntryId peer, Timestamp now) {
    return this->peers.try_emplace(peer, Peer{false, now, {}}).first->second;
  }

  Duration suspect_after;
  std::map<EntryId, Peer> peers;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PEER_DIRECTORY_H_
