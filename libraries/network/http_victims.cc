#include "libraries/network/http_victims.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <map>
#include <tuple>
#include <utility>

namespace dandelionspur {
namespace {

using Clock = HttpSessionProgress::Clock;

// A caller that doesn't get on with a request or an answer for longer counts as
// stalled.
constexpr std::chrono::seconds kStalledAfter{5};
// The part of all connections that is closed at a time, so that the choice
// isn't made anew for each new one.
constexpr std::size_t kRoomPart = 32;
// What is held falls to this share of the limit.
constexpr std::size_t kRelievedPercent = 75;
constexpr std::size_t kPercent = 100;

// What is closed sooner comes first.
enum class Rank { kStalled, kIdle, kUnfinished, kNeeded };

Rank RankOf(const HttpSessionProgress& progress, Clock::time_point now) {
  if (progress.end_requested) return Rank::kNeeded;
  const bool stalled = progress.Age(now) > kStalledAfter;
  switch (progress.phase()) {
    case HttpSessionPhase::kLingering:
      return Rank::kStalled;
    case HttpSessionPhase::kIdle:
      return Rank::kIdle;
    case HttpSessionPhase::kReading:
      return stalled ? Rank::kStalled : Rank::kUnfinished;
    case HttpSessionPhase::kWriting:
      return stalled ? Rank::kStalled : Rank::kNeeded;
    case HttpSessionPhase::kHandling:
    case HttpSessionPhase::kEnding:
      break;
  }
  return Rank::kNeeded;
}

struct Candidate {
  SessionPointer session;
  std::size_t connections_of_peer = 0;
  Rank rank = Rank::kNeeded;
  Clock::duration age{};
};

bool IsEnding(const HttpSessionProgress& progress) {
  return progress.end_requested ||
         progress.phase() == HttpSessionPhase::kEnding;
}

}  // namespace

std::optional<std::vector<SessionPointer>> ChooseForRoom(
    std::vector<SessionPointer> open, std::size_t most, Clock::time_point now) {
  std::erase_if(open, [](const SessionPointer& session) {
    return IsEnding(session->progress());
  });
  std::vector<SessionPointer> chosen;
  if (open.size() <= most) return chosen;
  std::map<boost::asio::ip::address, std::size_t> by_peer;
  for (const auto& session : open) ++by_peer[session->peer()];
  std::vector<Candidate> candidates;
  const std::size_t wanted = open.size() - most + open.size() / kRoomPart;
  for (auto& session : open) {
    const Rank rank = RankOf(session->progress(), now);
    if (rank == Rank::kNeeded) continue;
    const std::size_t of_peer = by_peer[session->peer()];
    const Clock::duration age = session->progress().Age(now);
    candidates.push_back({std::move(session), of_peer, rank, age});
  }
  if (candidates.empty()) return std::nullopt;
  const std::size_t count = std::min(candidates.size(), wanted);
  std::partial_sort(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
      [](const Candidate& one, const Candidate& other) {
        return std::tuple(other.connections_of_peer, one.rank, other.age) <
               std::tuple(one.connections_of_peer, other.rank, one.age);
      });
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(std::move(candidates[i].session));
  }
  return chosen;
}

std::vector<SessionPointer> ChooseForRelief(std::vector<SessionPointer> open,
                                            std::size_t limit,
                                            Clock::time_point now) {
  // Read once: the connections go on meanwhile.
  std::vector<std::pair<std::size_t, SessionPointer>> candidates;
  std::size_t held = 0;
  for (auto& session : open) {
    const std::size_t bytes = session->progress().held;
    held += bytes;
    const Rank rank = RankOf(session->progress(), now);
    const bool may_end = rank == Rank::kStalled || rank == Rank::kUnfinished;
    if (bytes == 0 || !may_end) continue;
    candidates.emplace_back(bytes, std::move(session));
  }
  std::vector<SessionPointer> chosen;
  if (held <= limit) return chosen;
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& one, const auto& other) {
              return one.first > other.first;
            });
  for (auto& [bytes, session] : candidates) {
    if (held <= limit / kPercent * kRelievedPercent) break;
    held -= std::min(held, bytes);
    chosen.push_back(std::move(session));
  }
  return chosen;
}

}  // namespace dandelionspur
