#include "libraries/entry_core/interference/banded_sample.h"

#include <algorithm>
#include <cmath>

namespace dandelionspur {
namespace {

// The time after which an observation's weight has fallen to 1/e.
constexpr Duration kForgetAfter = std::chrono::seconds(30);
// The least weight on either side of a comparison within one band.
constexpr double kLeastWeight = 1;
// The least variance of one observation, so that a few that are equal by chance
// are no proof.
constexpr double kLeastVariance = 0.01;

}  // namespace

std::size_t LoadBandOf(double used_share) {
  const double band = std::floor(used_share * kLoadBands);
  return static_cast<std::size_t>(
      std::clamp(band, 0.0, static_cast<double>(kLoadBands - 1)));
}

void BandedSample::Add(std::size_t band, double value, double weight,
                       Timestamp now) {
  this->Decay(now);
  Sums& sums = this->bands.at(band);
  sums.weight += weight;
  sums.values += weight * value;
  sums.squares += weight * value * value;
}

void BandedSample::Decay(Timestamp now) {
  if (now <= this->at) return;
  const double kept = std::exp(-static_cast<double>((now - this->at).count()) /
                               static_cast<double>(kForgetAfter.count()));
  for (Sums& sums : this->bands) {
    sums.weight *= kept;
    sums.values *= kept;
    sums.squares *= kept;
  }
  this->at = now;
}

double BandedSample::Weight() const {
  double total = 0;
  for (const Sums& sums : this->bands) total += sums.weight;
  return total;
}

Contrast Contrast::Between(const BandedSample& part,
                           const BandedSample& whole) {
  Contrast contrast;
  double differences = 0;
  double precision = 0;
  for (std::size_t band = 0; band < kLoadBands; ++band) {
    const BandedSample::Sums& with = part.bands.at(band);
    const BandedSample::Sums& all = whole.bands.at(band);
    const BandedSample::Sums without{all.weight - with.weight,
                                     all.values - with.values,
                                     all.squares - with.squares};
    const bool has_both =
        with.weight >= kLeastWeight && without.weight >= kLeastWeight;
    if (!has_both) continue;
    const double mean_with = with.values / with.weight;
    const double mean_without = without.values / without.weight;
    const double scatter = with.squares - with.values * mean_with +
                           without.squares - without.values * mean_without;
    const double variance =
        std::max(kLeastVariance, scatter / (with.weight + without.weight));
    const double band_precision =
        1 / (variance * (1 / with.weight + 1 / without.weight));
    differences += band_precision * (mean_with - mean_without);
    precision += band_precision;
    contrast.weight += with.weight;
  }
  if (contrast.weight == 0) return contrast;
  contrast.difference = differences / precision;
  contrast.error = 1 / std::sqrt(precision);
  return contrast;
}

}  // namespace dandelionspur
