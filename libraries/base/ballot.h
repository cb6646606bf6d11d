#ifndef DANDELIONSPUR_LIBRARIES_BASE_BALLOT_H_
#define DANDELIONSPUR_LIBRARIES_BASE_BALLOT_H_

#include <boost/describe.hpp>
#include <compare>
#include <cstdint>

#include "libraries/base/identifiers.h"

namespace dandelionspur {

// The right of one entry to act as the home of a bucket: the entry that owns
// the bucket of a job's key. Ballots are totally ordered, and each belongs to
// one entry incarnation. A process that has promised a ballot refuses every
// lower one.
struct Ballot {
  Epoch epoch;
  std::uint32_t round = 0;
  EntryId entry;

  [[nodiscard]] bool IsNone() const { return this->entry == EntryId(); }
  auto operator<=>(const Ballot&) const = default;
};
BOOST_DESCRIBE_STRUCT(Ballot, (), (epoch, round, entry))

struct BucketBallot {
  BucketId bucket;
  Ballot ballot;
  auto operator<=>(const BucketBallot&) const = default;
};
BOOST_DESCRIBE_STRUCT(BucketBallot, (), (bucket, ballot))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_BALLOT_H_
