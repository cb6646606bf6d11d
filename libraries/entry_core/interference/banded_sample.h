#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_BANDED_SAMPLE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_BANDED_SAMPLE_H_

#include <array>
#include <cstddef>

#include "libraries/base/time.h"

namespace dandelionspur {

// How full the upstream was, in quarters of its capacity. Tasks are compared
// only with others of the same band, so that a slowdown by load isn't taken for
// one by a neighbour.
inline constexpr std::size_t kLoadBands = 4;

// The band of an upstream with this share of its capacity in use.
[[nodiscard]] std::size_t LoadBandOf(double used_share);

// Weighted observations of a value in each load band. Older ones lose weight
// exponentially.
class BandedSample {
 public:
  void Add(std::size_t band, double value, double weight, Timestamp now);
  // Brings the weights to `now`.
  void Decay(Timestamp now);
  // As of the last call of Add or Decay.
  [[nodiscard]] double Weight() const;

 private:
  friend struct Contrast;
  struct Sums {
    double weight = 0;
    double values = 0;
    double squares = 0;
  };
  std::array<Sums, kLoadBands> bands;
  Timestamp at;
};

// How much larger a value is in a part of a sample than in the rest of it,
// within the bands that have both.
struct Contrast {
  // Both must have been brought to the same time.
  static Contrast Between(const BandedSample& part, const BandedSample& whole);

  double difference = 0;
  // The standard error of the difference; meaningful if `weight` is not 0.
  double error = 0;
  // The weight of the observations of the part that were compared.
  double weight = 0;

  // The difference in standard errors; 0 if nothing was compared.
  [[nodiscard]] double Significance() const {
    return this->weight > 0 ? this->difference / this->error : 0;
  }
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_BANDED_SAMPLE_H_
