#include "services/entry/table_watcher.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/configuration/object_reader.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/protocol/agent_row.h"
#include "libraries/protocol/parse_json.h"
#include "libraries/protocol/view_row.h"
#include "libraries/telemetry/log.h"
#include "platform/desired_state.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

// How long the table service may hold a long poll open without changes.
constexpr Duration kFeedPollTimeout = std::chrono::seconds(1);
// Pause after a failed call, or while the table has no revision yet.
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
// How long an entry that joins waits for others to ask, if it sees that it is
// not the only one.
constexpr Duration kJoinPause = std::chrono::milliseconds(150);
const char* const kServicePrefix = "service.";

std::string DocumentRow(const ServiceName& service) {
  return kServicePrefix + service.value();
}

std::string DocumentObject(const ServiceName& service,
                           const std::string& change_id) {
  return "documents." + service.value() + "." + change_id;
}

std::string EncodeDocument(const StoredDocument& stored) {
  return nlohmann::json{{"service", stored.document.service.value()},
                        {"version", stored.document.version.value()},
                        {"change_id", stored.change_id},
                        {"previous_change_id", stored.previous_change_id},
                        {"text", stored.document.text}}
      .dump();
}

Result<StoredDocument> ParseDocument(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "document"));
  ObjectReader reader("document", "", json, UnknownFields::kIgnored);
  StoredDocument stored;
  stored.document.service = ServiceName(reader.Text("service"));
  stored.document.version = DocumentVersion(reader.Unsigned("version"));
  stored.document.text = reader.Text("text");
  stored.change_id = reader.Text("change_id");
  stored.previous_change_id = reader.AnyTextOr("previous_change_id", "");
  BOOST_LEAF_CHECK(reader.Finish());
  return stored;
}

std::optional<StoredDocument> DecodeDocument(const std::string& text) {
  return OrElse(
      [&]() -> Result<std::optional<StoredDocument>> {
        BOOST_LEAF_AUTO(stored, ParseDocument(text));
        return std::optional<StoredDocument>(std::move(stored));
      },
      [](const std::string&) { return std::optional<StoredDocument>(); });
}

}  // namespace

TableWatcher::TableWatcher(const EntrySettings& configured,
                           const ViewMember& self, asio::io_context& thread,
                           Metrics& counters, EntryEventSink events)
    : settings(configured),
      own_member(self),
      context(thread),
      metrics(counters),
      boundary(counters),
      sink(std::move(events)),
      overtaken_configurations(counters.CounterFor(
          "configurations_skipped_total", "reason", "overtaken")),
      older_configurations(counters.CounterFor("configurations_skipped_total",
                                               "reason", "older")),
      decode_times(counters.HistogramFor("stage_seconds", "stage",
                                         "configuration_decode")),
      table(thread, configured.table),
      own_feed(TableName::kOwn, thread),
      operator_feed(TableName::kOperators, thread),
      agent_rows(this->table),
      admission_timer(thread) {}

void TableWatcher::Start() {
  asio::post(this->context, [this] {
    this->Follow(this->own_feed);
    this->Follow(this->operator_feed);
  });
}

void TableWatcher::SetEndpoint(const Endpoint& endpoint) {
  asio::post(this->context,
             [this, endpoint] { this->table.SetEndpoint(endpoint); });
}

void TableWatcher::StopJoining() {
  asio::post(this->context, [this] { this->joining = false; });
}

void TableWatcher::ScheduleFollow(Feed& feed) {
  feed.retry.expires_after(kRetryInterval);
  feed.retry.async_wait([this, &feed](boost::system::error_code error) {
    if (!error) this->Follow(feed);
  });
}

void TableWatcher::NoteViewRead(Timestamp began) {
  this->view_read_began = began;
  const std::chrono::duration<double> since_epoch = began.time_since_epoch();
  this->metrics.Set("view_read_time_seconds", since_epoch.count());
}

std::optional<Duration> TableWatcher::ViewAge(Timestamp now) const {
  const Timestamp began = this->view_read_began;
  if (began == Timestamp()) return std::nullopt;
  return now - began;
}

void TableWatcher::Follow(Feed& feed) {
  this->table.ReadChanges(
      feed.table, feed.revision, kFeedPollTimeout,
      [this, &feed,
       began = WallClockNow()](const std::optional<RowChanges>& changes) {
        this->UpdateReachability(changes.has_value());
        if (!changes) {
          this->ScheduleFollow(feed);
          return;
        }
        feed.revision = changes->revision;
        for (const UnreadableRow& row : changes->unreadable_rows) {
          this->ReportUnreadable("row", row.problem);
        }
        if (feed.table == TableName::kOwn) {
          this->OnOwnRows(changes->rows);
          this->NoteViewRead(began);
        } else {
          this->OnEvacuationRows(*changes);
          this->OnOperatorRows(changes->rows);
        }
        if (feed.revision == TableRevision()) {
          this->ScheduleFollow(feed);
        } else {
          this->Follow(feed);
        }
      });
}

void TableWatcher::ReportUnreadable(std::string_view kind,
                                    const std::string& problem) {
  this->metrics.Count("unreadable_configurations_total", "kind", kind);
  LogStateChange(ConfigurationUnreadable{BoundedMessage(problem)});
}

void TableWatcher::UpdateReachability(bool answered) {
  this->metrics.Set("table_reachable", answered ? 1 : 0);
  if (answered == this->reachable) return;
  this->reachable = answered;
  if (answered) {
    LogStateChange(TableReachable{});
  } else {
    LogStateChange(TableUnreachable{});
  }
}

void TableWatcher::OnOwnRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    this->boundary.Run(HandlerKind::kRow, [&] { this->OnOwnRow(row); });
  }
  this->Join();
}

void TableWatcher::OnOwnRow(const Row& row) {
  if (row.key == kViewRow) {
    this->OnViewRow(row);
  } else if (JoinRequests::IsRowKey(row.key)) {
    this->OnJoinRow(row);
  } else if (IsAgentRowKey(row.key)) {
    this->agent_rows.OnRow(row, WallClockNow());
  } else if (row.key.starts_with(kServicePrefix)) {
    this->OnDocumentRow(row);
  }
}

void TableWatcher::OnDocumentRow(const Row& row) {
  // The document of a row that was removed stays in force.
  if (row.version == RowVersion()) return;
  std::optional<StoredDocument> stored = DecodeDocument(row.value);
  const bool is_usable =
      stored && row.key == DocumentRow(stored->document.service);
  if (!is_usable) {
    this->ReportUnreadable("document", "row " + row.key);
    return;
  }
  this->sink(DocumentRead{std::move(stored->document)});
}

void TableWatcher::OnOperatorRows(const std::vector<Row>& rows) {
  const Row* newest = nullptr;
  for (const Row& row : rows) {
    if (row.key != kConfigurationRow) continue;
    // Each version of the row holds the whole configuration, so one that was
    // overtaken before it was read tells nothing.
    if (newest != nullptr) this->overtaken_configurations.Increment();
    const bool is_newer = newest == nullptr || row.version >= newest->version;
    if (is_newer) newest = &row;
  }
  if (newest == nullptr) return;
  this->boundary.Run(HandlerKind::kRow,
                     [&] { this->OnConfigurationRow(*newest); });
}

void TableWatcher::OnEvacuationRows(const RowChanges& changes) {
  this->boundary.Run(HandlerKind::kRow, [&] {
    std::optional<EvacuationSet> read = this->evacuation_rows.Apply(changes);
    if (read) this->sink(EvacuationsRead{std::move(*read)});
  });
}

void TableWatcher::OnConfigurationRow(const Row& row) {
  const auto began = SteadyClock::now();
  const std::vector<VersionedDocument> documents =
      OrElse([&] { return DecodeConfiguration(row.value); },
             [this](const std::string& problem) {
               this->ReportUnreadable("operators", problem);
               return std::vector<VersionedDocument>();
             });
  this->decode_times.Observe(
      std::chrono::duration<double>(SteadyClock::now() - began).count());
  if (documents.empty()) return;
  const DocumentVersion version = documents.front().version;
  if (version < this->newest_configuration) {
    // Its services must not replace those known by now, or one that is removed
    // later would keep its routes.
    this->older_configurations.Increment();
    return;
  }
  this->newest_configuration = version;
  std::set<ServiceName> dropped = std::move(this->configured_services);
  this->configured_services.clear();
  for (const VersionedDocument& document : documents) {
    dropped.erase(document.service);
    this->configured_services.insert(document.service);
    this->sink(DocumentRead{document});
  }
  for (const ServiceName& service : dropped) {
    this->sink(DocumentRead{DocumentWithoutRoutes(service, version)});
  }
}

void TableWatcher::RereadView() {
  this->table.ReadRow(kViewRow, [this](const std::optional<Row>& row) {
    if (!row) return;
    this->boundary.Run(HandlerKind::kRow, [&] { this->OnViewRow(*row); });
    this->Join();
  });
}

void TableWatcher::OnViewRow(const Row& row) {
  if (row.version == RowVersion()) return;
  const std::optional<View> read = DecodeViewRow(row.value);
  if (!read) {
    this->ReportUnreadable("view", "row " + row.key);
    return;
  }
  if (read->epoch < this->view.epoch) return;
  this->view = *read;
  this->view_version = row.version;
  if (this->view.Find(this->own_member.entry) != nullptr) {
    // An entry that was a member and is removed restarts as a new incarnation
    // instead of joining again.
    this->joining = false;
  }
  this->sink(ViewRead{this->view});
  const bool has_joined = this->view.Find(this->own_member.entry) != nullptr;
  if (has_joined && !this->agents_requested) this->ReadAgentAddresses();
}

void TableWatcher::ReadAgentAddresses() {
  if (!this->settings.agents_are_listed) return;
  this->agents_requested = true;
  this->table.ReadChanges(
      TableName::kOwn, TableRevision(), Duration(),
      [this, epoch = this->view.epoch](const std::optional<RowChanges>& read) {
        // A list that lacks an agent would be worse than none. The next view
        // that is read causes another attempt.
        this->agents_requested = read && read->unreadable_rows.empty();
        if (!this->agents_requested) return;
        AgentAddressesRead listed{epoch, {}};
        for (const Row& row : read->rows) {
          const bool is_present =
              IsAgentRowKey(row.key) && row.version != RowVersion();
          if (!is_present) continue;
          const std::optional<AgentRow> agent = DecodeAgentRow(row.value);
          if (!agent) {
            this->ReportUnreadable("agent", "row " + row.key);
            this->agents_requested = false;
            return;
          }
          if (agent->has_departed) continue;
          listed.addresses.push_back(agent->admin_endpoint);
        }
        this->sink(std::move(listed));
      });
}

void TableWatcher::OnJoinRow(const Row& row) {
  if (row.version == RowVersion()) {
    this->join_requests.Remove(row.key);
    return;
  }
  if (this->join_requests.Note(row.key, row.value)) return;
  this->ReportUnreadable("join", "row " + row.key);
}

void TableWatcher::Join() {
  if (!this->joining || this->admission_scheduled) return;
  if (!this->join_requested) {
    this->RequestToJoin();
    return;
  }
  // The pauses of the entries that wait differ, so that they rarely write at
  // the same time.
  constexpr std::uint64_t kSpread = 7;
  const auto turn =
      static_cast<std::int64_t>(this->own_member.entry.value() % kSpread);
  const bool others = this->join_requests.HasOthers(this->own_member.entry);
  this->ScheduleAdmission(others ? kJoinPause + turn * kJoinPause / 2
                                 : Duration());
}

void TableWatcher::RequestToJoin() {
  this->join_requested = true;
  const Row row{JoinRequests::RowKey(this->own_member.entry), RowVersion(),
                JoinRequests::EncodeRow({this->own_member, WallClockNow()})};
  // Without the row, this entry admits itself.
  this->table.WriteRow(row, RowVersion(), {},
                       [this](WriteOutcome) { this->Join(); });
}

void TableWatcher::ScheduleAdmission(Duration pause) {
  this->admission_scheduled = true;
  this->admission_timer.expires_after(pause);
  this->admission_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->admission_scheduled = false;
    this->AdmitWaiting();
  });
}

void TableWatcher::AdmitWaiting() {
  if (!this->joining) return;
  const Timestamp now = WallClockNow();
  const View admitted =
      this->join_requests.Admit(this->view, this->own_member, now);
  this->WriteView(admitted, this->join_requests.ObsoleteRows(admitted, now));
}

void TableWatcher::Propose(const View& proposed) {
  asio::post(this->context,
             [this, proposed] { this->WriteView(proposed, {}); });
}

void TableWatcher::Release(const ReleaseAgentAddress& released) {
  asio::post(this->context, [this, released] {
    this->agent_rows.Release(released, WallClockNow());
  });
}

void TableWatcher::WriteView(const View& proposed,
                             const std::vector<std::string>& obsolete_rows) {
  if (proposed.epoch.value() != this->view.epoch.value() + 1) return;
  const Row row{kViewRow, RowVersion(), EncodeViewRow(proposed)};
  this->table.WriteRow(row, this->view_version, obsolete_rows,
                       [this, proposed](WriteOutcome outcome) {
                         this->metrics.Count(
                             "view_writes_total", "outcome",
                             outcome == WriteOutcome::kWritten    ? "written"
                             : outcome == WriteOutcome::kConflict ? "conflict"
                                                                  : "unknown");
                         // This entry sees each view that it has written, even
                         // if another one follows at once: only a member of the
                         // first view of all knows that there was none before.
                         if (outcome == WriteOutcome::kWritten) {
                           this->sink(ViewRead{proposed});
                         }
                         // Whether the write succeeded or conflicted, the view
                         // that the table now holds is adopted. If the outcome
                         // is unknown, the view arrives with the feed of
                         // changes.
                         if (outcome != WriteOutcome::kUnknown) {
                           this->RereadView();
                         }
                       });
}

void TableWatcher::WriteDocument(const ServiceName& service,
                                 DocumentVersion base,
                                 const std::string& change_id,
                                 const std::string& text,
                                 DocumentWriteCallback callback) {
  asio::post(this->context, [=, this, done = std::move(callback)] {
    this->table.ReadRow(
        DocumentRow(service), [=, this](const std::optional<Row>& row) {
          if (!row) {
            done({DocumentWriteState::kUnavailable, DocumentVersion()});
            return;
          }
          this->WriteNextVersion(*row, base, change_id, text, done);
        });
  });
}

void TableWatcher::WriteNextVersion(const Row& current, DocumentVersion base,
                                    const std::string& change_id,
                                    const std::string& text,
                                    const DocumentWriteCallback& callback) {
  const std::optional<StoredDocument> stored = DecodeDocument(current.value);
  const DocumentVersion version =
      stored ? stored->document.version : DocumentVersion();
  if (stored && stored->change_id == change_id) {
    callback({DocumentWriteState::kWritten, version});
    return;
  }
  if (version != base) {
    callback({DocumentWriteState::kConflict, version});
    return;
  }
  StoredDocument next;
  next.document.service =
      ServiceName(current.key.substr(std::string(kServicePrefix).size()));
  next.document.version = DocumentVersion(version.value() + 1);
  next.document.text = text;
  next.change_id = change_id;
  next.previous_change_id = stored ? stored->change_id : "";
  const std::string encoded = EncodeDocument(next);
  // The history object is written before the row, so that no version in force
  // is missing from the history. An object whose row write fails is not linked
  // from any version.
  this->table.PutObject(
      DocumentObject(next.document.service, change_id), encoded,
      [=, this](bool stored_object) {
        if (!stored_object) {
          callback({DocumentWriteState::kUnavailable, version});
          return;
        }
        this->table.WriteRow(
            {current.key, RowVersion(), encoded}, current.version, {},
            [=, this](WriteOutcome outcome) {
              if (outcome == WriteOutcome::kWritten) {
                callback({DocumentWriteState::kWritten, next.document.version});
                return;
              }
              this->VerifyWrite(current.key, change_id, callback);
            });
      });
}

void TableWatcher::VerifyWrite(const std::string& key,
                               const std::string& change_id,
                               const DocumentWriteCallback& callback) {
  this->table.ReadRow(key, [=, this](const std::optional<Row>& row) {
    if (!row) {
      callback({DocumentWriteState::kUnavailable, DocumentVersion()});
      return;
    }
    const std::optional<StoredDocument> stored = DecodeDocument(row->value);
    const DocumentVersion version =
        stored ? stored->document.version : DocumentVersion();
    if (!stored) {
      callback({DocumentWriteState::kConflict, DocumentVersion()});
      return;
    }
    // This change may have been written and followed by later ones, so the
    // history is searched for it.
    this->CollectHistory(
        stored->document.service, stored->previous_change_id, {*stored},
        [=](const std::optional<std::vector<StoredDocument>>& history) {
          if (!history) {
            callback({DocumentWriteState::kUnavailable, version});
            return;
          }
          for (const StoredDocument& past : *history) {
            if (past.change_id != change_id) continue;
            callback({DocumentWriteState::kWritten, past.document.version});
            return;
          }
          callback({DocumentWriteState::kConflict, version});
        });
  });
}

void TableWatcher::ReadHistory(const ServiceName& service,
                               HistoryCallback callback) {
  asio::post(this->context, [=, this, done = std::move(callback)] {
    this->table.ReadRow(
        DocumentRow(service), [=, this](const std::optional<Row>& row) {
          if (!row) {
            done(std::nullopt);
            return;
          }
          const std::optional<StoredDocument> newest =
              DecodeDocument(row->value);
          if (!newest) {
            done(std::vector<StoredDocument>());
            return;
          }
          this->CollectHistory(service, newest->previous_change_id, {*newest},
                               done);
        });
  });
}

void TableWatcher::CollectHistory(const ServiceName& service,
                                  const std::string& change_id,
                                  std::vector<StoredDocument> collected,
                                  const HistoryCallback& callback) {
  constexpr std::size_t kMaximumHistory = 100;
  if (change_id.empty() || collected.size() >= kMaximumHistory) {
    callback(std::move(collected));
    return;
  }
  this->table.GetObject(
      DocumentObject(service, change_id),
      [=, this](const std::optional<std::string>& text) mutable {
        const std::optional<StoredDocument> stored =
            text ? DecodeDocument(*text) : std::nullopt;
        if (!stored) {
          callback(std::nullopt);
          return;
        }
        collected.push_back(*stored);
        this->CollectHistory(service, stored->previous_change_id,
                             std::move(collected), callback);
      });
}

}  // namespace dandelionspur
