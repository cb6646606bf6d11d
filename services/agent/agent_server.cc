#include "services/agent/agent_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/base/enum_name.h"
#include "libraries/configuration/object_reader.h"
#include "libraries/protocol/parse_json.h"
#include "libraries/protocol/view_row.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/admin_routes.h"
#include "services/runtime/daemon.h"
#include "services/runtime/fatal_error.h"
#include "services/runtime/handler_boundary.h"
#include "services/runtime/settings_reloader.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kClaimRetryInterval{200};
constexpr IntegerRange kSlotRange{1, 1024};
constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

AgentCoreSettings CoreSettings(const AgentSettings& settings, AgentId self) {
  AgentCoreSettings core;
  core.self = self;
  core.bucket_count = settings.bucket_count;
  core.data_centre = settings.data_centre;
  core.started_set = {settings.maximum_remembered_tasks,
                      static_cast<std::size_t>(settings.maximum_answer_bytes),
                      settings.duplicate_window};
  core.admin_endpoint = settings.admin;
  core.predecessor_run_time =
      MaximumRunTime(settings.lease, StartConfirmation::kUnconfirmed);
  core.claims_address = settings.lists_address;
  return core;
}

struct Announcement {
  AgentDescription description;
  Endpoint endpoint;
};

Result<Announcement> ParseAnnouncement(const std::string& text) {
  BOOST_LEAF_AUTO(json,
                  ParseMessage(text, "announcement", JsonComments::kIgnored));
  ObjectReader reader("announcement", "", json);
  Announcement announcement;
  announcement.description.service = ServiceName(reader.Text("service"));
  announcement.endpoint.address = reader.Text("address");
  announcement.endpoint.port =
      static_cast<std::uint16_t>(reader.Integer("port", kPortRange));
  const auto slots =
      static_cast<std::uint64_t>(reader.Integer("slots", kSlotRange));
  announcement.description.capacity.millicores = slots * kOneSlot.millicores;
  announcement.description.rack = reader.Text("rack");
  announcement.description.upstream = EndpointText(announcement.endpoint);
  boost::system::error_code error;
  asio::ip::make_address(announcement.endpoint.address, error);
  if (error) reader.ReportProblem("address", "must be an IP number");
  BOOST_LEAF_CHECK(reader.Finish());
  return announcement;
}

}  // namespace

Result<std::unique_ptr<AgentServer>> AgentServer::Create(
    const AgentSettings& settings) {
  std::unique_ptr<AgentServer> server(
      new AgentServer(settings, AgentId(NewIncarnation())));
  BOOST_LEAF_CHECK(server->Listen());
  return server;
}

AgentServer::AgentServer(const AgentSettings& configured, AgentId own)
    : settings(configured),
      self(own),
      network_threads(std::in_place, configured.input_output_threads),
      input_output(configured.input_output_threads == 0
                       ? this->core_thread
                       : *this->network_threads),
      client_limits(configured.client_limits, this->metrics),
      refusals(this->metrics, "start_refusals_total"),
      core(CoreSettings(configured, own)),
      log(this->core),
      tick_timer(this->core_thread.First()),
      claim_timer(this->core_thread.First()),
      view_timer(this->core_thread.First()),
      view_reading(own) {
  this->log.Follow(configured.log.jobs_followed_per_thousand);
}

AgentServer::~AgentServer() {
  if (this->network_threads) this->network_threads->Stop();
  this->core_thread.Stop();
}

Result<void> AgentServer::Listen() {
  this->records = std::make_unique<RecordUploader<AgentCore>>(
      this->input_output.First(), this->settings.table, ProcessRole::kAgent,
      this->self.value(), CoreSettings(this->settings, this->self),
      this->settings.recording, this->metrics);
  this->table = std::make_unique<TableClient>(this->core_thread.First(),
                                              this->settings.table);
  this->row_writer =
      std::make_unique<AgentRowWriter>(*this->table, this->settings.admin);
  this->links = std::make_unique<AgentLinks>(
      this->self, this->core_thread.First(), this->input_output, this->metrics,
      [this](AgentEvent event) { this->Dispatch(std::move(event)); });
  BOOST_LEAF_AUTO(
      admin,
      HttpServer::Create(this->settings.admin, this->input_output,
                         GuardRequests(this->metrics,
                                       [this](const HttpRequest& request,
                                              const HttpResponder& responder) {
                                         this->HandleAdmin(request, responder);
                                       }),
                         this->client_limits.ForOthers("admin")));
  this->admin_server = std::move(admin);
  if (this->settings.upstream_protocol == UpstreamProtocol::kPlatform) {
    BOOST_LEAF_AUTO(
        bound, PlatformUpstream::Create(
                   this->settings, this->core_thread, this->metrics,
                   [this](AgentEvent event) {
                     this->OnUpstreamEvent(std::move(event));
                   },
                   [this] { return this->core.RenewalAt(WallClockNow()); }));
    this->platform_upstream = std::move(bound);
  }
  asio::post(this->core_thread.First(), [this] {
    this->ScheduleTick();
    this->ScheduleViewRead(Duration());
  });
  LogStateChange(ProcessStarted{this->self.value(), DANDELIONSPUR_VERSION});
  return {};
}

void AgentServer::Drain() {
  LogStateChange(ProcessDraining{});
  this->Post(LeaveRequested{});
}

void AgentServer::Reconfigure(const AgentSettings& changed) {
  LogReload(this->settings, changed, {"table", "recording", "log"});
  asio::post(this->core_thread.First(), [this, changed] {
    this->table->SetEndpoint(changed.table);
    this->log.Follow(changed.log.jobs_followed_per_thousand);
  });
  this->records->Reconfigure(changed.table, changed.recording);
}

void AgentServer::Post(AgentEvent event) {
  asio::post(this->core_thread.First(),
             [this, posted = std::move(event)] { this->Handle(posted); });
}

void AgentServer::Dispatch(AgentEvent event) {
  asio::dispatch(
      this->core_thread.First(),
      [this, received = std::move(event)] { this->Handle(received); });
}

void AgentServer::Handle(const AgentEvent& event) {
  RunCoreStep([&] {
    const Timestamp now = WallClockNow();
    std::vector<AgentEffect> effects = this->core.Handle(event, now);
    this->log.Observe(event, effects, now);
    this->records->Record(event, now, effects);
    for (AgentEffect& effect : effects) {
      std::visit([this](auto& alternative) { this->Apply(alternative); },
                 effect);
    }
  });
}

void AgentServer::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    AgentTick tick;
    if (this->platform_upstream) {
      tick.unconfirmed = this->platform_upstream->UnconfirmedTasks();
    }
    this->Handle(tick);
    FlushLog();
    this->ScheduleTick();
  });
}

void AgentServer::ScheduleViewRead(Duration delay) {
  this->view_timer.expires_after(delay);
  this->view_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    // Entries that confirm heartbeats send newer views. An open connection
    // alone shows nothing: the entry at its other end may be gone.
    if (this->core.RenewalAt(WallClockNow()) == LeaseRenewal::kAllowed) {
      this->ScheduleNextViewRead();
      return;
    }
    this->ReadView();
  });
}

void AgentServer::ScheduleNextViewRead() {
  this->ScheduleViewRead(
      this->view_reading.NextPause(this->core.RenewalAt(WallClockNow())));
}

void AgentServer::ReadView() {
  if (!this->settings.lists_address) {
    this->ReadViewRow();
    return;
  }
  // Entries that join conclude from the list that they know all agents that
  // were ready before. One that is not listed claims its address first.
  this->row_writer->Check([this](AddressListing listing) {
    if (listing == AddressListing::kUnknown) {
      this->ScheduleNextViewRead();
      return;
    }
    if (listing == AddressListing::kVacant) this->Handle(AddressFoundVacant{});
    this->ReadViewRow();
  });
}

void AgentServer::Claim() {
  this->row_writer->Claim([this](AddressListing listing) {
    if (listing == AddressListing::kUnknown) {
      this->claim_timer.expires_after(kClaimRetryInterval);
      this->claim_timer.async_wait([this](boost::system::error_code error) {
        if (!error) this->Claim();
      });
      return;
    }
    this->ReadClaimedView();
  });
}

void AgentServer::ReadClaimedView() {
  this->table->ReadRow(kViewRow, [this](const std::optional<Row>& row) {
    const std::optional<View> view = this->DecodeView(row);
    if (view) {
      this->Handle(AddressClaimed{*view});
      return;
    }
    this->claim_timer.expires_after(kClaimRetryInterval);
    this->claim_timer.async_wait([this](boost::system::error_code error) {
      if (!error) this->ReadClaimedView();
    });
  });
}

void AgentServer::ReadViewRow() {
  this->table->ReadRow(kViewRow, [this](const std::optional<Row>& row) {
    const std::optional<View> view = this->DecodeView(row);
    if (view) this->Handle(AgentViewRead{*view});
    this->ScheduleNextViewRead();
  });
}

std::optional<View> AgentServer::DecodeView(const std::optional<Row>& row) {
  if (!row || row->version == RowVersion()) return std::nullopt;
  std::optional<View> view = DecodeViewRow(row->value);
  if (view) return view;
  this->metrics.Count("unreadable_configurations_total", "kind", "view");
  LogStateChange(ConfigurationUnreadable{"row " + row->key});
  return std::nullopt;
}

void AgentServer::SetUpstream(const AgentDescription& description,
                              const Endpoint& endpoint) {
  if (endpoint != this->upstream_endpoint) {
    this->upstream_endpoint = endpoint;
    this->upstream = std::make_unique<UpstreamClient>(
        this->core_thread.First(), endpoint,
        this->settings.upstream_connections, this->settings.lease,
        [this](UpstreamTaskCompleted ended) {
          this->Handle(std::move(ended));
        });
    AgentDescription complete = description;
    complete.agent = this->self;
    complete.admin_endpoint = this->settings.admin;
    this->Handle(UpstreamAnnounced{complete});
  }
}

void AgentServer::OnUpstreamEvent(AgentEvent event) {
  if (auto* announced = std::get_if<UpstreamAnnounced>(&event)) {
    announced->description.agent = this->self;
    announced->description.admin_endpoint = this->settings.admin;
  }
  if (std::holds_alternative<UpstreamContactBroken>(event)) {
    this->metrics.Count("upstream_contact_breaks_total", "evidence",
                        "connection_refused");
  }
  if (const auto* lost = std::get_if<UpstreamLost>(&event)) {
    this->metrics.Count("upstreams_lost_total", "evidence",
                        EnumName(lost->evidence));
  }
  this->Handle(event);
}

void AgentServer::Apply(SendToEntry& effect) {
  this->links->Send(effect.to, std::move(effect.message));
}

void AgentServer::Apply(const RunOnUpstream& effect) {
  if (this->platform_upstream) {
    this->platform_upstream->Run(effect);
  } else {
    this->upstream->Run(effect);
  }
}

void AgentServer::Apply(const StopOnUpstream& effect) {
  if (this->platform_upstream) {
    this->platform_upstream->Stop(effect.task);
  } else {
    this->upstream->Stop(effect.task);
  }
}

void AgentServer::Apply(const ConnectToMembers& effect) {
  this->links->ConnectToMembers(effect.view);
}

void AgentServer::Apply(const AgentDrained& /*effect*/) {
  LogStateChange(ProcessDrained{});
  // Leaves time to send the last queued answers.
  constexpr std::chrono::milliseconds kSendGrace{300};
  auto timer = std::make_shared<asio::steady_timer>(this->core_thread.First(),
                                                    kSendGrace);
  timer->async_wait([this, timer](boost::system::error_code) {
    this->row_writer->MarkVacant([this](AddressListing) {
      this->records->Flush([] { Lifetime::Finish(ExitCode::kSuccess); });
    });
  });
}

void AgentServer::Apply(const StartRefusalCounted& effect) {
  this->refusals.Count(effect.reason);
}

void AgentServer::Apply(const RenewalChanged& effect) {
  // The entries may have been replaced by others, which only the table tells.
  if (effect.renewal == LeaseRenewal::kSuspended) this->ScheduleNextViewRead();
}

void AgentServer::Apply(const ReleaseAddress& /*effect*/) {
  LogStateChange(AddressReleased{EndpointText(this->settings.admin)});
  // If that fails, entries that join wait for this address as for any other.
  this->row_writer->MarkVacant([](AddressListing) {});
}

void AgentServer::Apply(const ClaimAddress& /*effect*/) {
  // Posted, since the core's other effects are still to be applied.
  asio::post(this->core_thread.First(), [this] { this->Claim(); });
}

void AgentServer::UpdateGauges() {
  this->metrics.Set("tasks_running", static_cast<double>(this->core.running()));
  this->metrics.Set("tasks_remembered",
                    static_cast<double>(this->core.remembered()));
  this->metrics.Set("evacuated", this->core.is_evacuated() ? 1 : 0);
  SetLogGauges(this->metrics);
}

nlohmann::json AgentServer::Status() const {
  return {{"agent", std::to_string(this->self.value())},
          {"ready", this->core.is_ready()},
          {"evacuated", this->core.is_evacuated()},
          {"running", this->core.running()},
          {"remembered", this->core.remembered()}};
}

void AgentServer::HandleAnnouncement(const HttpRequest& request,
                                     const HttpResponder& responder) {
  const std::string problem = OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(announcement, ParseAnnouncement(request.body()));
        asio::post(this->core_thread.First(),
                   [this, announcement = std::move(announcement)] {
                     this->SetUpstream(announcement.description,
                                       announcement.endpoint);
                   });
        return std::string();
      },
      [](const std::string& message) { return message; });
  if (problem.empty()) {
    responder(JsonResponse(kOk, {{"accepted", true}}));
  } else {
    responder(ProblemResponse(kBadRequest, problem));
  }
}

void AgentServer::HandleAdmin(const HttpRequest& request,
                              const HttpResponder& responder) {
  const std::vector<std::string> parts =
      PathParts({request.target().data(), request.target().size()});
  const std::string path = parts.empty() ? "" : parts.back();
  if (path == "upstream" && request.method() == http::verb::put) {
    this->HandleAnnouncement(request, responder);
  } else if (path == "upstream" && request.method() == http::verb::delete_) {
    this->Drain();
    responder(JsonResponse(kAccepted, {{"leaving", true}}));
  } else if (path == "drain" && request.method() == http::verb::post) {
    this->Drain();
    responder(JsonResponse(kAccepted, {{"draining", true}}));
  } else if (path == "healthz") {
    responder(JsonResponse(kOk, {{"healthy", true}}));
  } else if (path == "metrics") {
    asio::post(this->core_thread.First(), [this, responder] {
      this->UpdateGauges();
      responder(MetricsResponse(this->metrics));
    });
  } else if (path == "status" || path == "readyz") {
    asio::post(this->core_thread.First(), [this, responder, path] {
      const bool ready = this->core.is_ready();
      const unsigned status = path == "status" || ready ? kOk : kUnavailable;
      responder(JsonResponse(status, this->Status()));
    });
  } else if (path == "records") {
    this->records->ReadUnsent(
        [responder](const std::vector<FinishedSegment>& unsent) {
          responder(SegmentsResponse(unsent));
        });
  } else {
    responder(ProblemResponse(kNotFound, "no such path"));
  }
}

}  // namespace dandelionspur
