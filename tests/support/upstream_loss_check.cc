#include "tests/support/upstream_loss_check.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// docs/design/platform.md, "Tasks that crash upstreams".
constexpr std::uint32_t kSuspectedLossesToGiveUp = 2;
constexpr std::uint32_t kLossesToGiveUp = 3;

}  // namespace

std::optional<std::string> UpstreamLossCheck::OnUpstreamLost(
    const std::vector<TaskId>& running) {
  std::uint32_t strongest = 0;
  for (const TaskId& task : running) {
    strongest = std::max(strongest, this->tasks[task].suspected);
  }
  const std::uint32_t most_suspected =
      this->entry_lost ? kLossesToGiveUp : kSuspectedLossesToGiveUp;
  std::optional<std::string> violation;
  for (const TaskId& task : running) {
    Losses& losses = this->tasks[task];
    ++losses.total;
    if (losses.suspected == strongest) ++losses.suspected;
    if (losses.total > kLossesToGiveUp || losses.suspected > most_suspected) {
      violation = "too many upstreams are lost under a task";
    }
  }
  return violation;
}

std::optional<std::string> UpstreamLossCheck::OnGivenUp(
    const JobKey& key) const {
  const bool is_justified = std::any_of(
      this->tasks.begin(), this->tasks.end(), [&](const auto& item) {
        const Losses& losses = item.second;
        return item.first.key == key &&
               (losses.suspected >= kSuspectedLossesToGiveUp ||
                losses.total >= kLossesToGiveUp);
      });
  if (is_justified) return std::nullopt;
  return "a job is given up with too few lost upstreams";
}

}  // namespace dandelionspur
