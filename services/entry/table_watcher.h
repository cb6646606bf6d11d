#ifndef DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/configuration/settings.h"
#include "libraries/telemetry/metrics.h"
#include "platform/table_client.h"
#include "services/entry/entry_links.h"

namespace dandelionspur {

// A service document as the table holds it.
struct StoredDocument {
  VersionedDocument document;
  std::string change_id;
  std::string previous_change_id;
};

BOOST_DEFINE_ENUM_CLASS(DocumentWriteState, kWritten, kConflict, kUnavailable)

struct DocumentWriteResult {
  DocumentWriteState state = DocumentWriteState::kUnavailable;
  // The version in force as far as known.
  DocumentVersion version;
};

using DocumentWriteCallback = std::function<void(DocumentWriteResult)>;
using HistoryCallback =
    std::function<void(std::optional<std::vector<StoredDocument>>)>;

// Everything an entry has to do with the table service: it follows what
// changes, joins the view, and writes views and documents by
// conditional write. Runs on one io_context; public calls may come from any
// thread.
class TableWatcher {
 public:
  TableWatcher(const EntrySettings& configured, const ViewMember& self,
               boost::asio::io_context& thread, Metrics& counters,
               EntryEventSink events);
  TableWatcher(const TableWatcher&) = delete;
  TableWatcher& operator=(const TableWatcher&) = delete;

  void Start();
  // The table service has another address from now on.
  void MoveTo(const Endpoint& endpoint);
  // Writes `view` if the table still holds its predecessor.
  void Propose(const View& view);
  // From now on a view without this entry is as it should be.
  void StopJoining();
  // Writes the next version of a document if the table holds `base`. A write
  // with a change id that took effect before counts as written.
  void WriteDocument(const ServiceName& service, DocumentVersion base,
                     const std::string& change_id, const std::string& text,
                     DocumentWriteCallback callback);
  // All versions of a document, newest first.
  void ReadHistory(const ServiceName& service, HistoryCallback callback);

 private:
  // Follows one table: reads what changes, waits for it, and so on.
  struct Feed {
    Feed(TableName name, boost::asio::io_context& thread)
        : table(name), retry(thread) {}

    TableName table;
    boost::asio::steady_timer retry;
    TableRevision revision;
  };

  void Follow(Feed& feed);
  void FollowLater(Feed& feed);
  void NoteReachable(bool answered);
  void OnOwnRows(const std::vector<Row>& rows);
  void OnOperatorRows(const std::vector<Row>& rows);
  // Once the platform answers, reads the view again after a write of it whose
  // outcome is open.
  void ReadViewAgain();
  void OnViewRow(const Row& row);
  void Join();
  void WriteView(const View& view);
  void WriteNext(const Row& current, DocumentVersion base,
                 const std::string& change_id, const std::string& text,
                 const DocumentWriteCallback& callback);
  void ReadBack(const std::string& key, const std::string& change_id,
                const DocumentWriteCallback& callback);
  void CollectHistory(const ServiceName& service, const std::string& change_id,
                      std::vector<StoredDocument> collected,
                      const HistoryCallback& callback);

  EntrySettings settings;
  ViewMember own_member;
  boost::asio::io_context& context;
  Metrics& metrics;
  EntryEventSink sink;
  TableClient table;
  Feed own_feed;
  Feed operator_feed;
  // Services that the operators' configuration has named so far.
  std::set<ServiceName> configured_services;
  RowVersion view_version;
  View view;
  bool joining = true;
  bool reachable = true;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_
