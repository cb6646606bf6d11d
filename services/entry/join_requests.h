#ifndef DANDELIONSPUR_SERVICES_ENTRY_JOIN_REQUESTS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_JOIN_REQUESTS_H_

#include <boost/describe.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/protocol/view.h"

namespace dandelionspur {

// A row in which an entry asks to become a member of the view.
struct JoinRequest {
  ViewMember member;
  // When the entry wrote the row, by its clock.
  Timestamp requested_at;
};
BOOST_DESCRIBE_STRUCT(JoinRequest, (), (member, requested_at))

// The entries that have asked to become members. An entry that joins admits all
// others that are waiting as well, in one view: with a view for each of them, a
// fleet that starts at once would change the view as often as it has entries,
// and each change costs messages among all of them.
class JoinRequests {
 public:
  // The row in which `entry` asks, and whether a row is such a request.
  [[nodiscard]] static std::string RowKey(EntryId entry);
  [[nodiscard]] static bool IsRowKey(std::string_view key);
  [[nodiscard]] static std::string EncodeRow(const JoinRequest& request);

  // Records a row of the table. Returns false if it cannot be decoded
  // or names an endpoint that nobody can reach.
  bool Note(const std::string& key, const std::string& value);
  // Records that a row was removed.
  void Remove(const std::string& key) { this->requests.erase(key); }

  // Whether an entry other than `self` is waiting.
  [[nodiscard]] bool HasOthers(EntryId self) const;
  // The successor of `view` with `self` and with every entry that is waiting at
  // `now`, by the clock of this process.
  [[nodiscard]] View Admit(const View& view, const ViewMember& self,
                           Timestamp now) const;
  // The rows that are obsolete once `admitted` is in force: those of its
  // members, and those whose entries have given up or ended.
  [[nodiscard]] std::vector<std::string> ObsoleteRows(const View& admitted,
                                                      Timestamp now) const;

 private:
  std::map<std::string, JoinRequest> requests;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_JOIN_REQUESTS_H_
