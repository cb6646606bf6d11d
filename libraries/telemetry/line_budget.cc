#include "libraries/telemetry/line_budget.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Each category's share of the budget, in the order of the enumerators.
// Failures have the largest, as they are what is looked for afterwards. State
// changes (kBelief) come in bursts, for instance when many agents connect at
// once.
constexpr std::array<double, kLogCategories> kShares{0.3, 0.5, 0.2};

}  // namespace

LineBudget::LineBudget(std::uint32_t lines_per_second) {
  this->SetRate(lines_per_second);
}

void LineBudget::SetRate(std::uint32_t lines_per_second) {
  this->rate = lines_per_second;
  for (std::size_t i = 0; i < kLogCategories; ++i) {
    this->tokens[i] = kShares[i] * this->rate;
  }
}

bool LineBudget::Admit(LogCategory log_category, std::size_t count,
                       Timestamp now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->refilled_at).count();
  const double seconds = std::clamp(elapsed, 0.0, 1.0);
  this->refilled_at = now;
  for (std::size_t i = 0; i < kLogCategories; ++i) {
    const double full = kShares[i] * this->rate;
    this->tokens[i] = std::min(full, this->tokens[i] + full * seconds);
  }
  double& available_tokens =
      this->tokens[static_cast<std::size_t>(log_category)];
  const auto needed_tokens = static_cast<double>(count);
  if (available_tokens < needed_tokens) return false;
  available_tokens -= needed_tokens;
  return true;
}

}  // namespace dandelionspur
