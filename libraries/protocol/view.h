#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

struct ViewMember {
  EntryId entry;
  // Accepts connections from other entries and from agents.
  Endpoint peer_endpoint;
  // Serves operators; also probed to distinguish a dead process from an
  // unresponsive one.
  Endpoint admin_endpoint;
  DataCentreName data_centre;
  // The instance's processor capacity in thousandths of a core; 0 if unknown.
  std::uint32_t millicores = 0;
  bool operator==(const ViewMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(ViewMember, (),
                      (entry, peer_endpoint, admin_endpoint, data_centre,
                       millicores))

// Whether a lost process is known to have ended (kProvenDead), or is only
// unresponsive and might still act (kSilent).
BOOST_DEFINE_ENUM_CLASS(LossProof, kProvenDead, kSilent)

// An entry that left the view without handing over the keys that it had
// recorded.
struct EntryLoss {
  EntryId entry;
  Timestamp lost_at;
  LossProof proof = LossProof::kSilent;
  bool operator==(const EntryLoss&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryLoss, (), (entry, lost_at, proof))

// The entries that are members of the system. Stored in one row of the
// platform's table, which is changed only by conditional writes. Epoch 0 means
// that no view has been received yet.
struct View {
  Epoch epoch;
  std::vector<ViewMember> members;
  std::vector<EntryLoss> losses;

  // Returns null if the entry is not a member.
  [[nodiscard]] const ViewMember* Find(EntryId entry) const;
  // The members in the order of their precedence as home of `bucket`
  // (rendezvous hashing, weighted by the members' processor capacity). When a
  // member joins or leaves, only the buckets for which it ranks first change
  // their home.
  [[nodiscard]] std::vector<EntryId> Ranking(BucketId bucket) const;
  // Whether `entry` is among the `count` members that have precedence for the
  // agent (rendezvous hashing).
  [[nodiscard]] bool IsAmongFirst(EntryId entry, AgentId agent,
                                  std::size_t count) const;
  bool operator==(const View&) const = default;
};
BOOST_DESCRIBE_STRUCT(View, (), (epoch, members, losses))

// The successor of `view` after `member` has joined. An older incarnation at
// the same address is recorded as lost at `now`.
View WithMember(View view, const ViewMember& member, Timestamp now);
// The successor of `view` after the loss of members.
View WithLosses(View view, const std::vector<EntryLoss>& losses);
// The successor of `view` after a member has left and handed over its keys.
View WithoutMember(View view, EntryId entry);
// Removes the losses from before `horizon`; keeps the epoch.
View WithoutLossesBefore(View view, Timestamp horizon);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_H_
