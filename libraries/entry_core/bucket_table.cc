#include "libraries/entry_core/bucket_table.h"

namespace dandelionspur {

OwnershipPhase BucketTable::Phase(BucketId bucket) const {
  const BucketState& state = this->Get(bucket);
  return state.own_ballot == state.promised ? state.phase
                                            : OwnershipPhase::kNone;
}

std::vector<BucketId> BucketTable::ActiveBuckets() const {
  std::vector<BucketId> active;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    if (this->IsActive(BucketId(i))) active.emplace_back(i);
  }
  return active;
}

std::vector<BucketBallot> BucketTable::Promises() const {
  std::vector<BucketBallot> result;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const Ballot& promised = this->buckets[i].promised;
    if (!promised.IsNone()) result.push_back({BucketId(i), promised});
  }
  return result;
}

bool BucketTable::Observe(const BucketBallot& seen) {
  if (!this->Contains(seen.bucket)) return false;
  BucketState& bucket = this->Get(seen.bucket);
  if (seen.ballot <= bucket.promised) return false;
  bucket.promised = seen.ballot;
  this->changed_buckets.insert(seen.bucket);
  if (bucket.phase == OwnershipPhase::kNone) return false;
  this->Release(seen.bucket);
  return true;
}

void BucketTable::Release(BucketId id) {
  BucketState& bucket = this->Get(id);
  this->incomplete_buckets.erase(id);
  this->changed_buckets.insert(id);
  bucket.phase = OwnershipPhase::kNone;
  bucket.keys.ClearReported();
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
}

}  // namespace dandelionspur
