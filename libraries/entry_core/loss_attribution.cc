#include "libraries/entry_core/loss_attribution.h"

#include <algorithm>

namespace dandelionspur {
namespace {

bool IsSuspect(const std::vector<JobGroupId>& suspects, JobGroupId group) {
  return std::find(suspects.begin(), suspects.end(), group) != suspects.end();
}

}  // namespace

bool LossAttribution::Record(AgentId agent,
                             const std::vector<RecentLoss>& reported,
                             Timestamp now) {
  bool any_new = false;
  for (const RecentLoss& loss : reported) {
    if (loss.age > kAttributionWindow) continue;
    Reported& last = this->latest[agent];
    if (loss.number <= last.number) continue;
    const Timestamp at = now - loss.age;
    last = {loss.number, at};
    const auto next = std::upper_bound(
        this->losses.begin(), this->losses.end(), at,
        [](Timestamp time, const Loss& other) { return time < other.at; });
    this->losses.insert(next, {at, loss.suspects});
    any_new = true;
  }
  return any_new;
}

std::vector<BlamedGroup> LossAttribution::Blamed(std::size_t upstreams,
                                                 Timestamp now) const {
  std::vector<BlamedGroup> blamed;
  std::vector<const Loss*> unexplained = this->Unexplained(upstreams, now);
  const std::size_t total = unexplained.size();
  while (unexplained.size() >= kMomentsBeforeBlame) {
    const BlamedGroup strongest = Strongest(unexplained);
    if (strongest.moments < kMomentsBeforeBlame) break;
    blamed.push_back(strongest);
    std::erase_if(unexplained, [&](const Loss* loss) {
      return IsSuspect(loss->suspects, strongest.group);
    });
  }
  // If most losses have another cause, so may these.
  if (unexplained.size() * 2 >= total) blamed.clear();
  return blamed;
}

std::vector<const LossAttribution::Loss*> LossAttribution::Unexplained(
    std::size_t upstreams, Timestamp now) const {
  std::vector<const Loss*> unexplained;
  auto loss = this->losses.begin();
  while (loss != this->losses.end()) {
    const auto after = std::find_if(loss, this->losses.end(), [&](auto& other) {
      return other.at - loss->at > kCommonCauseWindow;
    });
    const auto together = static_cast<std::size_t>(after - loss);
    if (together * 2 > upstreams) {
      loss = after;
      continue;
    }
    if (loss->at + kAttributionWindow >= now) unexplained.push_back(&*loss);
    ++loss;
  }
  return unexplained;
}

BlamedGroup LossAttribution::Strongest(const std::vector<const Loss*>& losses) {
  const std::map<JobGroupId, std::uint32_t> counts = CountSuspects(losses);
  const auto strongest = std::max_element(
      counts.begin(), counts.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
      });
  if (strongest == counts.end()) return {};
  const JobGroupId group = strongest->first;
  const std::uint32_t highest = strongest->second;
  std::vector<const Loss*> explained = losses;
  std::erase_if(explained, [&](const Loss* loss) {
    return !IsSuspect(loss->suspects, group);
  });
  const std::map<JobGroupId, std::uint32_t> beside = CountSuspects(explained);
  const auto equally_strong =
      std::count_if(beside.begin(), beside.end(),
                    [&](const auto& other) { return other.second == highest; });
  return equally_strong == 1 ? Explained(explained, group) : BlamedGroup();
}

std::map<JobGroupId, std::uint32_t> LossAttribution::CountSuspects(
    const std::vector<const Loss*>& losses) {
  std::map<JobGroupId, std::uint32_t> counts;
  for (const Loss* loss : losses) {
    for (const JobGroupId group : loss->suspects) ++counts[group];
  }
  return counts;
}

BlamedGroup LossAttribution::Explained(const std::vector<const Loss*>& losses,
                                       JobGroupId group) {
  BlamedGroup explained;
  explained.group = group;
  for (const Loss* loss : losses) {
    const bool same_moment =
        explained.losses > 0 && loss->at - explained.latest <= kOneMoment;
    if (!same_moment) ++explained.moments;
    ++explained.losses;
    explained.latest = loss->at;
  }
  return explained;
}

Timestamp LossAttribution::LatestLossOf(JobGroupId group) const {
  const auto found = std::find_if(
      this->losses.rbegin(), this->losses.rend(),
      [&](const Loss& loss) { return IsSuspect(loss.suspects, group); });
  return found == this->losses.rend() ? Timestamp() : found->at;
}

void LossAttribution::Expire(Timestamp now) {
  while (!this->losses.empty() &&
         this->losses.front().at + kAttributionWindow < now) {
    this->losses.pop_front();
  }
  std::erase_if(this->latest, [&](const auto& item) {
    return item.second.at + kAttributionWindow < now;
  });
}

}  // namespace dandelionspur
