#include "libraries/entry_core/promise_responder.h"

#include <limits>
#include <optional>
#include <utility>

namespace dandelionspur {

PromiseResponder::PromiseResponder(BucketTable& bucket_table,
                                   EntryOutbox& effects)
    : buckets(bucket_table), outbox(effects) {}

std::vector<BucketId> PromiseResponder::OnPromiseRequest(
    EntryId from, const PromiseRequest& request) {
  std::vector<BucketId> lost;
  PromiseReply reply;
  reply.part.sequence = request.sequence;
  const bool is_limited = request.maximum_listed > 0;
  std::size_t room = is_limited ? request.maximum_listed
                                : std::numeric_limits<std::size_t>::max();
  for (const BucketBallot& asked : request.buckets) {
    if (!this->buckets.Contains(asked.bucket)) continue;
    // A promise without the bucket's keys is worth nothing, and would stop the
    // present home too early.
    if (room == 0 || reply.part.resume_after) break;
    const Ballot previous = this->buckets.Get(asked.bucket).promised;
    if (this->buckets.Observe(asked)) lost.push_back(asked.bucket);
    const BucketState& bucket = this->buckets.Get(asked.bucket);
    const bool granted =
        bucket.promised == asked.ballot && asked.ballot.entry == from;
    BucketPromise promise{
        asked.bucket, bucket.promised,           granted, {}, previous,
        bucket.held,  bucket.all_starts_recorded};
    if (granted) {
      const bool continues = asked.bucket == request.buckets.front().bucket;
      if (continues) reply.part.after = request.after;
      KeyList list =
          bucket.keys.ListAfter(continues ? request.after : std::nullopt, room);
      room -= list.keys.size();
      promise.known = std::move(list.keys);
      if (!list.is_complete) reply.part.resume_after = promise.known.back().key;
    }
    reply.buckets.push_back(std::move(promise));
  }
  this->outbox.ToPeer(from, std::move(reply));
  return lost;
}

}  // namespace dandelionspur
