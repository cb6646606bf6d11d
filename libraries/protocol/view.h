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
  // For other entries and for agents.
  Endpoint peer_endpoint;
  // For operators; also probed to tell a dead process from a silent one.
  Endpoint admin_endpoint;
  DataCentreName data_centre;
  // What the instance's processor can do, in thousandths of a core; 0 where
  // that is not known.
  std::uint32_t millicores = 0;
  bool operator==(const ViewMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(ViewMember, (),
                      (entry, peer_endpoint, admin_endpoint, data_centre,
                       millicores))

// Whether a lost process is known to have ended, or is only silent and might
// still act.
BOOST_DEFINE_ENUM_CLASS(LossProof, kProvenDead, kSilent)

// An entry that left the view without handing over what it knew.
struct EntryLoss {
  EntryId entry;
  Timestamp lost_at;
  LossProof proof = LossProof::kSilent;
  bool operator==(const EntryLoss&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryLoss, (), (entry, lost_at, proof))

// The entries that serve together: one row of the platform's table, changed
// only by conditional write. Epoch 0 means that no view is known.
struct View {
  Epoch epoch;
  std::vector<ViewMember> members;
  std::vector<EntryLoss> losses;

  [[nodiscard]] const ViewMember* Find(EntryId entry) const;
  // The members in the order in which they may be home of `bucket`
  // (rendezvous hashing, weighted by the members' processors). When a member
  // joins or leaves, only the buckets that it ranks first for change their
  // home.
  [[nodiscard]] std::vector<EntryId> Ranking(BucketId bucket) const;
  bool operator==(const View&) const = default;
};
BOOST_DESCRIBE_STRUCT(View, (), (epoch, members, losses))

// The view that follows `view` once `member` has joined. An older incarnation
// at the same address is recorded as lost at `now`.
View WithMember(View view, const ViewMember& member, Timestamp now);
// The view that follows `view` after the loss of a member.
View WithLoss(View view, const EntryLoss& loss);
// The view that follows `view` after a member has handed over what it knew.
View WithoutMember(View view, EntryId entry);
// `view` without the losses from before `horizon`.
View WithoutLossesBefore(View view, Timestamp horizon);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_H_
