#include "libraries/entry_core/contention/urgent_reserve.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Jobs of a priority that come less often need no room of their own.
constexpr Duration kRecent = std::chrono::seconds(1);
constexpr std::uint64_t kAverageDivisor = 8;

std::uint64_t Average(std::uint64_t average, std::uint64_t sample) {
  return (average * (kAverageDivisor - 1) + sample) / kAverageDivisor;
}

}  // namespace

void UrgentReserve::Observe(std::uint32_t priority, const Resources& need,
                            Timestamp now) {
  std::erase_if(this->priorities, [&](const auto& item) {
    return now - item.second.latest > kRecent;
  });
  const auto [found, is_new] =
      this->priorities.try_emplace(priority, Demand{need, now});
  if (is_new) return;
  Resources& usual = found->second.usual_need;
  usual.millicores = Average(usual.millicores, need.millicores);
  usual.memory_megabytes =
      Average(usual.memory_megabytes, need.memory_megabytes);
  usual.accelerators = Average(usual.accelerators, need.accelerators);
  found->second.latest = now;
}

Resources UrgentReserve::For(std::uint32_t priority, Timestamp now) const {
  Resources reserve;
  for (const auto& [level, demand] : this->priorities) {
    if (level >= priority) break;
    if (now - demand.latest > kRecent) continue;
    const Resources& usual = demand.usual_need;
    reserve.millicores = std::max(reserve.millicores, usual.millicores);
    reserve.memory_megabytes =
        std::max(reserve.memory_megabytes, usual.memory_megabytes);
    reserve.accelerators = std::max(reserve.accelerators, usual.accelerators);
  }
  return reserve;
}

}  // namespace dandelionspur
