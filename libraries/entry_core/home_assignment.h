#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_ASSIGNMENT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_ASSIGNMENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/local_health.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// What decides how many buckets an entry takes back at once.
struct ReturnConditions {
  // For how long the entry has handled all events in time.
  Duration kept_up_for{};
  // For how long it has heard all members.
  Duration undisturbed_for{};
  // The buckets that it acquires at the moment.
  std::size_t collecting = 0;
  // The buckets for which it ranks first.
  std::size_t by_rank = 0;
};

// How many buckets the entry may take back now from homes that rank lower. None
// while anything is disturbed: an acquisition waits for all members or agents,
// and the jobs of the bucket wait with it.
[[nodiscard]] std::size_t BucketsToTakeBack(const ReturnConditions& conditions);

// Whether an entry that has kept up with its events for this time declines the
// buckets of silent homes, so that the next in rank takes them.
[[nodiscard]] bool DeclinesBuckets(Duration kept_up_for);

// The buckets of one entry.
struct BucketShare {
  // Those that it is home of or acquires.
  std::uint64_t held = 0;
  // Those for which it ranks first.
  std::uint64_t by_rank = 0;
};
[[nodiscard]] BucketShare ShareOf(const Ownership& ownership,
                                  const EntryCoreSettings& settings);

// Returns buckets in steps to the entry that ranks first for them. Without it a
// home keeps what it took while others were suspected, until the view changes.
// docs/design/home-assignment.md weighs the alternatives.
class BucketReturn {
 public:
  BucketReturn(const EntryCoreSettings& configured,
               const PeerDirectory& directory, const LocalHealth& own_health,
               Ownership& owner);

  // Takes back what the policy allows. Call it once in each repeat interval.
  void Advance(Timestamp now);

 private:
  [[nodiscard]] bool HearsAllMembers(Timestamp now) const;

  EntryCoreSettings settings;
  const PeerDirectory& peers;
  const LocalHealth& health;
  Ownership& ownership;
  Epoch epoch;
  Timestamp undisturbed_since;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_ASSIGNMENT_H_
