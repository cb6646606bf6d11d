#include "services/entry/join_requests.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/protocol/table_row.h"

namespace dandelionspur {
namespace {

constexpr std::string_view kRowPrefix = "join.";
// An entry that has waited for longer has probably ended. Includes the
// difference of the clocks.
constexpr Duration kMaximumWait = std::chrono::seconds(5) + kClockSkewLimit;
// A transaction of the table service holds at most 100 rows.
constexpr std::size_t kMaximumRows = 90;

bool IsWaiting(const JoinRequest& request, Timestamp now) {
  return std::chrono::abs(now - request.requested_at) <= kMaximumWait;
}

bool MayEnter(const View& view, const ViewMember& candidate) {
  // A process that was removed from the view never becomes a member again.
  const bool was_removed = std::any_of(
      view.losses.begin(), view.losses.end(),
      [&](const EntryLoss& loss) { return loss.entry == candidate.entry; });
  // The ids of the processes at one address rise.
  const bool is_replaced = std::any_of(
      view.members.begin(), view.members.end(), [&](const ViewMember& member) {
        return member.peer_endpoint == candidate.peer_endpoint &&
               member.entry >= candidate.entry;
      });
  return !was_removed && !is_replaced;
}

}  // namespace

std::string JoinRequests::RowKey(EntryId entry) {
  return std::string(kRowPrefix) + std::to_string(entry.value());
}

bool JoinRequests::IsRowKey(std::string_view key) {
  return key.starts_with(kRowPrefix);
}

std::string JoinRequests::EncodeRow(const JoinRequest& request) {
  return EncodeTableRow(request);
}

bool JoinRequests::Note(const std::string& key, const std::string& value) {
  std::optional<JoinRequest> request = DecodeTableRow<JoinRequest>(value);
  const bool is_usable = request &&
                         IsReachable(request->member.peer_endpoint) &&
                         IsReachable(request->member.admin_endpoint);
  if (!is_usable) {
    this->requests.erase(key);
    return false;
  }
  this->requests[key] = std::move(*request);
  return true;
}

bool JoinRequests::HasOthers(EntryId self) const {
  return std::any_of(
      this->requests.begin(), this->requests.end(),
      [&](const auto& item) { return item.second.member.entry != self; });
}

View JoinRequests::Admit(const View& view, const ViewMember& self,
                         Timestamp now) const {
  std::vector<ViewMember> waiting;
  for (const auto& [key, request] : this->requests) {
    if (waiting.size() >= kMaximumRows) break;
    const bool is_other = request.member.entry != self.entry;
    if (is_other && IsWaiting(request, now)) waiting.push_back(request.member);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const ViewMember& left, const ViewMember& right) {
              return left.entry < right.entry;
            });
  View admitted = view;
  for (const ViewMember& candidate : waiting) {
    if (!MayEnter(admitted, candidate)) continue;
    admitted = WithMember(std::move(admitted), candidate, now);
  }
  admitted = WithMember(std::move(admitted), self, now);
  admitted.epoch = Epoch(view.epoch.value() + 1);
  return admitted;
}

std::vector<std::string> JoinRequests::ObsoleteRows(const View& admitted,
                                                    Timestamp now) const {
  std::vector<std::string> rows;
  for (const auto& [key, request] : this->requests) {
    if (rows.size() >= kMaximumRows) break;
    const bool is_member = admitted.Find(request.member.entry) != nullptr;
    if (is_member || !IsWaiting(request, now)) rows.push_back(key);
  }
  return rows;
}

}  // namespace dandelionspur
