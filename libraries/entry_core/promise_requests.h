#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_REQUESTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_REQUESTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// A part of the list of one bucket's keys, or of its started tasks, as one
// responder has sent it.
struct ListedPart {
  BucketBallot bucket;
  // The part begins after this key; at the beginning of the list if not set.
  std::optional<JobKey> after;
  // If set, the part ends with this key and the list goes on.
  std::optional<JobKey> resume_after;
};

// Which part of its bucket's list each promise of a reply comes with. Only the
// first and the last granted one can have less than the whole list.
template <typename Promise>
std::vector<PromisePart> PartsOf(const std::vector<Promise>& promises,
                                 const PromisePart& part) {
  std::vector<PromisePart> parts(promises.size());
  const auto is_granted = [](const Promise& promise) {
    return promise.granted;
  };
  const auto first = std::find_if(promises.begin(), promises.end(), is_granted);
  const auto last =
      std::find_if(promises.rbegin(), promises.rend(), is_granted);
  if (first == promises.end()) return parts;
  parts[static_cast<std::size_t>(first - promises.begin())].after = part.after;
  parts[static_cast<std::size_t>(promises.rend() - last - 1)].resume_after =
      part.resume_after;
  return parts;
}

// What a part adds to the list of its bucket.
enum class PartUse {
  // Nothing: it is a duplicate, or an earlier part is missing.
  kNone,
  // More parts must follow.
  kContinues,
  // With it, everything that the responder had listed when it promised has
  // arrived.
  kCompletes,
};

// The promise requests of one entry to entries or to agents. Each responder has
// at most one request to answer, for a bounded number of buckets and with a
// bounded list as its answer, so that an acquisition neither fills a link nor
// delays the heartbeats on it.
template <typename Responder>
class PromiseRequests {
 public:
  // More buckets are asked for in further requests.
  static constexpr std::size_t kBucketsPerRequest = 128;

  [[nodiscard]] bool IsUnderWay(Responder responder) const {
    const auto found = this->exchanges.find(responder);
    return found != this->exchanges.end() && found->second.under_way;
  }
  // When the request that is under way was sent.
  [[nodiscard]] std::optional<Timestamp> SentAt(Responder responder) const {
    const auto found = this->exchanges.find(responder);
    if (found == this->exchanges.end()) return std::nullopt;
    return found->second.under_way;
  }
  // The next request for some of `wanted`, the buckets that the responder has
  // not promised; it is under way from now on.
  [[nodiscard]] PromiseRequest Begin(Responder responder,
                                     std::vector<BucketBallot> wanted,
                                     std::uint32_t maximum_listed,
                                     Timestamp now) {
    Exchange& exchange = this->exchanges[responder];
    exchange.under_way = now;
    exchange.sequence = ++this->last_sequence;
    PromiseRequest request;
    request.sequence = exchange.sequence;
    request.maximum_listed = maximum_listed;
    const auto begun = exchange.begun ? std::find(wanted.begin(), wanted.end(),
                                                  *exchange.begun)
                                      : wanted.end();
    if (begun != wanted.end()) {
      std::rotate(wanted.begin(), begun, begun + 1);
      request.after = exchange.listed_up_to;
    } else {
      exchange.begun.reset();
    }
    wanted.resize(std::min(wanted.size(), kBucketsPerRequest));
    request.buckets = std::move(wanted);
    return request;
  }
  // Records the reply to the request that is under way. Any reply of a version
  // that does not number them counts as that.
  void End(Responder responder, std::uint64_t sequence) {
    const auto found = this->exchanges.find(responder);
    if (found == this->exchanges.end()) return;
    const bool expected = sequence == 0 || sequence == found->second.sequence;
    if (expected) found->second.under_way.reset();
  }
  // Gives the request up that is under way: it, or its reply, is lost.
  void Abandon(Responder responder) {
    const auto found = this->exchanges.find(responder);
    if (found != this->exchanges.end()) found->second.under_way.reset();
  }
  // Records a part of a list. Parts count only in their order, each beginning
  // where the one before has ended.
  [[nodiscard]] PartUse Add(Responder responder, const ListedPart& part) {
    Exchange& exchange = this->exchanges[responder];
    const bool has_begun = exchange.begun == part.bucket;
    const bool follows =
        !part.after || (has_begun && part.after == exchange.listed_up_to);
    if (!follows) return PartUse::kNone;
    if (!part.resume_after) {
      if (has_begun) exchange.begun.reset();
      return PartUse::kCompletes;
    }
    // The beginning of a list of which more has arrived already.
    if (!part.after && has_begun) return PartUse::kNone;
    exchange.begun = part.bucket;
    exchange.listed_up_to = *part.resume_after;
    return PartUse::kContinues;
  }

 private:
  struct Exchange {
    // When the request was sent that has not been answered.
    std::optional<Timestamp> under_way;
    std::uint64_t sequence = 0;
    // The bucket whose list has arrived in part, up to `listed_up_to`.
    std::optional<BucketBallot> begun;
    JobKey listed_up_to;
  };

  std::map<Responder, Exchange> exchanges;
  std::uint64_t last_sequence = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_REQUESTS_H_
