#ifndef DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/settings.h"
#include "libraries/telemetry/metrics.h"
#include "platform/table_client.h"
#include "services/entry/agent_row_releaser.h"
#include "services/entry/entry_links.h"
#include "services/entry/evacuation_rows.h"
#include "services/entry/join_requests.h"
#include "services/runtime/handler_boundary.h"

namespace dandelionspur {

// A service document as stored in the table.
struct StoredDocument {
  VersionedDocument document;
  std::string change_id;
  std::string previous_change_id;
};

BOOST_DEFINE_ENUM_CLASS(DocumentWriteState, kWritten, kConflict, kUnavailable)

struct DocumentWriteResult {
  DocumentWriteState state = DocumentWriteState::kUnavailable;
  // The latest version read or written.
  DocumentVersion version;
};

using DocumentWriteCallback = std::function<void(DocumentWriteResult)>;
using HistoryCallback =
    std::function<void(std::optional<std::vector<StoredDocument>>)>;

// An entry's client of the table service: reads changes of the view and the
// service documents, adds the entry to the view, and updates views and
// documents by conditional writes. Runs on one io_context; public methods are
// safe from any thread.
class TableWatcher {
 public:
  TableWatcher(const EntrySettings& configured, const ViewMember& self,
               boost::asio::io_context& thread, Metrics& counters,
               EntryEventSink events);
  TableWatcher(const TableWatcher&) = delete;
  TableWatcher& operator=(const TableWatcher&) = delete;

  void Start();
  // Switches to a table service at another address.
  void SetEndpoint(const Endpoint& endpoint);
  // Writes `view` if the table still holds the view of the preceding epoch.
  void Propose(const View& view);
  // How long ago the latest finished reading of the view began; not set before
  // the first one.
  [[nodiscard]] std::optional<Duration> ViewAge(Timestamp now) const;
  // Marks the address as vacant in the table.
  void Release(const ReleaseAgentAddress& released);
  // Stops adding this entry to views that lack it.
  void StopJoining();
  // Writes the next version of a document if the table holds version `base`. If
  // a write with the same change id took effect before, reports kWritten.
  void WriteDocument(const ServiceName& service, DocumentVersion base,
                     const std::string& change_id, const std::string& text,
                     DocumentWriteCallback callback);
  // Reads the latest versions of a document, newest first. Passes nothing if
  // one of them can't be read.
  void ReadHistory(const ServiceName& service, HistoryCallback callback);

 private:
  // State of the long poll for the changes of one table.
  struct Feed {
    Feed(TableName name, boost::asio::io_context& thread)
        : table(name), retry(thread) {}

    TableName table;
    boost::asio::steady_timer retry;
    TableRevision revision;
  };

  void Follow(Feed& feed);
  void ScheduleFollow(Feed& feed);
  void UpdateReachability(bool answered);
  // Records that a reading of the view that began at `began` has finished.
  void NoteViewRead(Timestamp began);
  // Counts and logs something that another process wrote and that can't be
  // read. `kind` is the counter's label.
  void ReportUnreadable(std::string_view kind, const std::string& problem);
  void OnOwnRows(const std::vector<Row>& rows);
  void OnOwnRow(const Row& row);
  void OnOperatorRows(const std::vector<Row>& rows);
  void OnEvacuationRows(const RowChanges& changes);
  void OnConfigurationRow(const Row& row);
  void OnDocumentRow(const Row& row);
  void OnJoinRow(const Row& row);
  // Reads the view after a write of it, to adopt what the table holds now.
  void RereadView();
  void OnViewRow(const Row& row);
  // Reads the addresses of all agents, once this entry is a member.
  void ReadAgentAddresses();
  // Makes this entry a member, unless it is one or its request is under way.
  void Join();
  void RequestToJoin();
  // Admits this entry and all others that wait, after a pause in which more of
  // them may ask.
  void ScheduleAdmission(Duration pause);
  void AdmitWaiting();
  void WriteView(const View& view,
                 const std::vector<std::string>& obsolete_rows);
  void WriteNextVersion(const Row& current, DocumentVersion base,
                        const std::string& change_id, const std::string& text,
                        const DocumentWriteCallback& callback);
  void VerifyWrite(const std::string& key, const std::string& change_id,
                   const DocumentWriteCallback& callback);
  void CollectHistory(const ServiceName& service, const std::string& change_id,
                      std::vector<StoredDocument> collected,
                      const HistoryCallback& callback);

  EntrySettings settings;
  ViewMember own_member;
  boost::asio::io_context& context;
  Metrics& metrics;
  HandlerBoundary boundary;
  EntryEventSink sink;
  // Versions of the operators' configuration that were not put in force.
  prometheus::Counter& overtaken_configurations;
  prometheus::Counter& older_configurations;
  prometheus::Histogram& decode_times;
  TableClient table;
  Feed own_feed;
  Feed operator_feed;
  EvacuationRows evacuation_rows;
  AgentRowReleaser agent_rows;
  // The latest version of the operators' configuration, and its services.
  DocumentVersion newest_configuration;
  std::set<ServiceName> configured_services;
  RowVersion view_version;
  View view;
  bool joining = true;
  JoinRequests join_requests;
  bool join_requested = false;
  // Whether the agents' addresses have been read, or are being read.
  bool agents_requested = false;
  bool admission_scheduled = false;
  boost::asio::steady_timer admission_timer;
  bool reachable = true;
  // When the latest finished reading of the view began.
  std::atomic<Timestamp> view_read_began{Timestamp()};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_TABLE_WATCHER_H_
