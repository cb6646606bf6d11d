#include "libraries/protocol/view.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionspur {
namespace {

struct Weighted {
  std::uint64_t weight;
  EntryId entry;
};

constexpr std::uint32_t kMillicoresPerDraw = 30;
// Bounds the computation for an instance with many cores.
constexpr std::uint32_t kMaximumDraws = 64;

// The maximum of a number of hashes in proportion to the member's processor
// capacity, so that its chance to rank first is in proportion as well. Uses
// integers only, since all processes must compute the same ranking.
std::uint64_t RendezvousWeight(BucketId bucket, const ViewMember& member) {
  const std::uint32_t draws =
      std::clamp(member.millicores / kMillicoresPerDraw, 1U, kMaximumDraws);
  std::uint64_t best = 0;
  const std::array<std::uint64_t, 2> input = {bucket.value(),
                                              member.entry.value()};
  for (std::uint64_t draw = 0; draw < draws; ++draw) {
    best =
        std::max(best, XXH3_64bits_withSeed(input.data(), sizeof(input), draw));
  }
  return best;
}

}  // namespace

const ViewMember* View::Find(EntryId entry) const {
  for (const ViewMember& member : this->members) {
    if (member.entry == entry) return &member;
  }
  return nullptr;
}

std::vector<EntryId> View::Ranking(BucketId bucket) const {
  std::vector<Weighted> weighted;
  weighted.reserve(this->members.size());
  for (const ViewMember& member : this->members) {
    weighted.push_back({RendezvousWeight(bucket, member), member.entry});
  }
  std::sort(weighted.begin(), weighted.end(),
            [](const Weighted& left, const Weighted& right) {
              if (left.weight != right.weight) {
                return left.weight > right.weight;
              }
              return left.entry > right.entry;
            });
  std::vector<EntryId> ranking;
  ranking.reserve(weighted.size());
  for (const Weighted& item : weighted) ranking.push_back(item.entry);
  return ranking;
}

bool View::IsAmongFirst(EntryId entry, AgentId agent, std::size_t count) const {
  const auto weight = [&](EntryId member) {
    const std::array<std::uint64_t, 2> input = {agent.value(), member.value()};
    return std::pair(XXH3_64bits(input.data(), sizeof(input)), member);
  };
  const auto own = weight(entry);
  const auto before = std::count_if(
      this->members.begin(), this->members.end(),
      [&](const ViewMember& member) { return weight(member.entry) > own; });
  return static_cast<std::size_t>(before) < count;
}

View WithMember(View view, const ViewMember& member, Timestamp now) {
  const auto same_address = [&](const ViewMember& other) {
    return other.peer_endpoint == member.peer_endpoint &&
           other.entry != member.entry;
  };
  for (const ViewMember& other : view.members) {
    if (same_address(other)) {
      view.losses.push_back({other.entry, now, LossProof::kProvenDead});
    }
  }
  std::erase_if(view.members, same_address);
  if (view.Find(member.entry) == nullptr) view.members.push_back(member);
  view.epoch = Epoch(view.epoch.value() + 1);
  return view;
}

View WithLosses(View view, const std::vector<EntryLoss>& losses) {
  for (const EntryLoss& loss : losses) {
    std::erase_if(view.members, [&](const ViewMember& member) {
      return member.entry == loss.entry;
    });
    view.losses.push_back(loss);
  }
  view.epoch = Epoch(view.epoch.value() + 1);
  return view;
}

View WithoutMember(View view, EntryId entry) {
  std::erase_if(view.members, [&](const ViewMember& member) {
    return member.entry == entry;
  });
  view.epoch = Epoch(view.epoch.value() + 1);
  return view;
}

View WithoutLossesBefore(View view, Timestamp horizon) {
  std::erase_if(view.losses,
                [&](const EntryLoss& loss) { return loss.lost_at < horizon; });
  return view;
}

}  // namespace dandelionspur
