#include "libraries/entry_core/view_spread.h"

#include <algorithm>

namespace dandelionspur {
namespace {

constexpr Duration kLongestInterval = std::chrono::milliseconds(3'200);

}  // namespace

void ViewSpread::OnAdopted(Timestamp now) {
  this->adopted = now;
  this->reminders.clear();
}

std::vector<EntryId> ViewSpread::TakeOutdated(const View& view, Timestamp now) {
  std::vector<EntryId> outdated;
  if (now < this->adopted + kViewPatience) return outdated;
  for (const EntryId peer : this->peers.Connected()) {
    const Epoch known = this->peers.KnownEpoch(peer);
    if (peer == this->self || known >= view.epoch) continue;
    // A peer that is no member has ended, or tells its view.
    const bool has_told = known != Epoch();
    if (!has_told && view.Find(peer) == nullptr) continue;
    Reminder& reminder = this->reminders[peer];
    if (now < reminder.next) continue;
    reminder.next = now + reminder.interval;
    if (!has_told) {
      reminder.interval = std::min(2 * reminder.interval, kLongestInterval);
    }
    outdated.push_back(peer);
  }
  return outdated;
}

}  // namespace dandelionspur
