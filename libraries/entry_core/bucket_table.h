#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "libraries/entry_core/bucket_state.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// The states of all buckets at this entry, and which of them have changed or
// still lack promises.
class BucketTable {
 public:
  explicit BucketTable(std::uint32_t count) : buckets(count) {}

  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->buckets.size());
  }
  [[nodiscard]] bool Contains(BucketId bucket) const {
    return bucket.value() < this->buckets.size();
  }
  BucketState& Get(BucketId bucket) { return this->buckets[bucket.value()]; }
  [[nodiscard]] const BucketState& Get(BucketId bucket) const {
    return this->buckets[bucket.value()];
  }
  // All buckets, in the order of their numbers.
  [[nodiscard]] std::vector<BucketState>& all() { return this->buckets; }
  [[nodiscard]] const std::vector<BucketState>& all() const {
    return this->buckets;
  }
  [[nodiscard]] OwnershipPhase Phase(BucketId bucket) const;
  [[nodiscard]] bool IsActive(BucketId bucket) const {
    return this->Phase(bucket) == OwnershipPhase::kActive;
  }
  [[nodiscard]] std::vector<BucketId> ActiveBuckets() const;
  // The ballots that this entry has promised.
  [[nodiscard]] std::vector<BucketBallot> Promises() const;

  // Promises a ballot seen in a message if it is higher than the promised one.
  // Returns whether this entry thereby stops owning or acquiring the bucket.
  bool Observe(const BucketBallot& seen);
  // Ends this entry's ownership or acquisition of the bucket.
  void Release(BucketId id);
  // The buckets released or promised to other entries since the last call.
  std::set<BucketId> TakeChanged() {
    return std::exchange(this->changed_buckets, {});
  }

  // Buckets that are being acquired, or that were activated without all
  // required promises.
  [[nodiscard]] const std::set<BucketId>& incomplete() const {
    return this->incomplete_buckets;
  }
  void MarkIncomplete(BucketId id) { this->incomplete_buckets.insert(id); }
  void MarkComplete(BucketId id) { this->incomplete_buckets.erase(id); }

  // Records that a condition for activation or full recovery has changed.
  void NotePromisesChanged() { this->promises_changed = true; }
  // Whether one has changed since the last call.
  bool TakePromisesChanged() {
    return std::exchange(this->promises_changed, false);
  }

 private:
  std::vector<BucketState> buckets;
  std::set<BucketId> changed_buckets;
  std::set<BucketId> incomplete_buckets;
  bool promises_changed = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_TABLE_H_
