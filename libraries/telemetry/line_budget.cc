#include "libraries/telemetry/line_budget.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Failures are what is looked for afterwards; beliefs change in waves, as
// when many agents come at once.
constexpr std::array<double, kLineClasses> kShares{0.3, 0.5, 0.2};

}  // namespace

LineBudget::LineBudget(std::uint32_t lines_per_second) {
  this->SetRate(lines_per_second);
}

void LineBudget::SetRate(std::uint32_t lines_per_second) {
  this->rate = lines_per_second;
  for (std::size_t i = 0; i < kLineClasses; ++i) {
    this->left[i] = kShares[i] * this->rate;
  }
}

bool LineBudget::Admit(LineClass line_class, std::size_t count, Timestamp now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->refilled_at).count();
  const double seconds = std::clamp(elapsed, 0.0, 1.0);
  this->refilled_at = now;
  for (std::size_t i = 0; i < kLineClasses; ++i) {
    const double full = kShares[i] * this->rate;
    this->left[i] = std::min(full, this->left[i] + full * seconds);
  }
  double& available = this->left[static_cast<std::size_t>(line_class)];
  const auto wanted = static_cast<double>(count);
  if (available < wanted) return false;
  available -= wanted;
  return true;
}

}  // namespace dandelionspur
