#include "services/entry/entry_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/enum_name.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "platform/job_calls.h"
#include "services/entry/core_settings.h"
#include "services/entry/submission_reader.h"
#include "services/runtime/daemon.h"
#include "services/runtime/fatal_error.h"
#include "services/runtime/handler_boundary.h"
#include "services/runtime/settings_reloader.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTickInterval{50};
// Margin before the process would be killed, for the exit itself, which takes
// longer on a busy processor.
constexpr std::chrono::milliseconds kExitMargin{250};

}  // namespace

Result<std::unique_ptr<EntryServer>> EntryServer::Create(
    const EntrySettings& settings) {
  std::unique_ptr<EntryServer> server(
      new EntryServer(settings, EntryId(NewIncarnation())));
  BOOST_LEAF_CHECK(server->Listen());
  return server;
}

EntryServer::EntryServer(const EntrySettings& configured, EntryId own)
    : settings(configured),
      self(own),
      network_threads(std::in_place, configured.input_output_threads),
      input_output(configured.input_output_threads == 0
                       ? this->core_thread
                       : *this->network_threads),
      client_limits(configured.client_limits, configured.memory_bytes,
                    this->metrics),
      large_requests(configured.memory_bytes),
      retries(this->metrics, "retries_total"),
      refusals(this->metrics, "refusals_decided_total"),
      agent_messages(this->metrics, "messages_from_agents_total"),
      publish_times(this->metrics.HistogramFor("stage_seconds", "stage",
                                               "configuration_publish")),
      core(DeriveCoreSettings(configured, own)),
      log(this->core, this->metrics),
      status(this->core, own, configured.bucket_count),
      shutdown(this->core_thread.First(), this->core, own,
               this->waiting_callers, [this] { this->Exit(); }),
      tick_timer(this->core_thread.First()) {
  this->log.Follow(configured.log.jobs_followed_per_thousand);
}

EntryServer::~EntryServer() {
  if (this->network_threads) this->network_threads->Stop();
  this->core_thread.Stop();
}

Result<void> EntryServer::Listen() {
  this->CreateTable();
  BOOST_LEAF_CHECK(this->CreateLinks());
  BOOST_LEAF_CHECK(this->ListenToCallers());
  BOOST_LEAF_CHECK(this->ListenToOperators());
  if (this->settings.readiness) BOOST_LEAF_CHECK(this->ListenToProbes());
  asio::post(this->core_thread.First(), [this] { this->ScheduleTick(); });
  this->table->Start();
  LogStateChange(ProcessStarted{this->self.value(), DANDELIONSPUR_VERSION});
  return {};
}

void EntryServer::CreateTable() {
  const EntryEventSink sink = [this](EntryEvent event) {
    if (const auto* read = std::get_if<DocumentRead>(&event)) {
      this->configuration_age.NoteRead(
          read->document.service, read->document.version, SteadyClock::now());
    }
    this->Post(std::move(event));
  };
  const ViewMember member{this->self, this->settings.peers,
                          this->settings.admin, this->settings.data_centre,
                          this->settings.millicores};
  this->records = std::make_unique<RecordUploader<EntryCore>>(
      this->input_output.First(), this->settings.table, ProcessRole::kEntry,
      this->self.value(), DeriveCoreSettings(this->settings, this->self),
      this->settings.recording, this->metrics);
  this->table = std::make_unique<TableWatcher>(
      this->settings, member, this->input_output.Next(), this->metrics, sink);
}

Result<void> EntryServer::CreateLinks() {
  BOOST_LEAF_AUTO(
      bound_links,
      EntryLinks::Create(
          this->settings, this->self, this->core_thread.First(),
          this->input_output, this->metrics,
          [this](EntryEvent event) { this->Dispatch(std::move(event)); }));
  this->links = std::move(bound_links);
  this->load_monitor = std::make_unique<LoadMonitor>(
      this->settings, this->core, *this->links, this->metrics);
  return {};
}

Result<void> EntryServer::ListenToCallers() {
  this->intake = std::make_unique<JobIntake>(
      this->core_thread.First(), *this->load_monitor, this->shutdown,
      this->waiting_callers, this->refusals, this->metrics,
      [this](const EntryEvent& event) { this->Handle(event); });
  CoreInterface core_interface;
  core_interface.submit = [this](JobSubmission job, AnswerCallback callback) {
    this->intake->Submit(std::move(job), std::move(callback));
  };
  core_interface.cancel = [this](JobSubmission job, AnswerCallback callback) {
    this->intake->Cancel(std::move(job), std::move(callback));
  };
  this->caller_routes = std::make_unique<CallerRoutes>(
      this->serving, std::move(core_interface),
      this->settings.upstream_protocol, this->metrics);
  BOOST_LEAF_AUTO(
      callers,
      HttpServer::Create(
          this->settings.callers, this->input_output,
          GuardRequests(
              this->metrics,
              [this](const HttpRequest& request, HttpResponder responder) {
                this->HandleCaller(request, std::move(responder));
              },
              InternalErrorResponse()),
          this->client_limits.ForCallers(
              "callers",
              [this](const HttpConnectionReport& report) {
                this->OnCallerGone(report);
              },
              OverloadResponse)));
  this->caller_server = std::move(callers);
  return {};
}

Result<void> EntryServer::ListenToOperators() {
  this->gauges = std::make_unique<EntryGauges>(
      this->core, *this->intake, *this->links, *this->caller_server,
      this->configuration_age, this->metrics);
  this->document_routes =
      std::make_unique<DocumentRoutes>(this->serving, *this->table);
  this->preview_route = std::make_unique<PreviewRoute>(
      this->core_thread.First(), this->core, this->serving,
      BodiesFor(this->settings.upstream_protocol));
  this->admin_routes = std::make_unique<EntryAdminRoutes>(
      this->core_thread.First(), this->core, this->status, *this->gauges,
      this->metrics, *this->document_routes, *this->preview_route,
      *this->records, [this] { this->Drain(); });
  BOOST_LEAF_AUTO(
      admin, HttpServer::Create(
                 this->settings.admin, this->input_output,
                 GuardRequests(this->metrics,
                               [this](const HttpRequest& request,
                                      const HttpResponder& responder) {
                                 this->admin_routes->Handle(request, responder);
                               }),
                 this->client_limits.ForOthers("admin")));
  this->admin_server = std::move(admin);
  return {};
}

Result<void> EntryServer::ListenToProbes() {
  BOOST_LEAF_AUTO(
      readiness,
      HttpServer::Create(*this->settings.readiness, this->input_output,
                         GuardRequests(this->metrics,
                                       [this](const HttpRequest&,
                                              const HttpResponder& responder) {
                                         this->HandleReadiness(responder);
                                       }),
                         this->client_limits.ForOthers("readiness")));
  this->readiness_server = std::move(readiness);
  return {};
}

void EntryServer::HandleCaller(const HttpRequest& request,
                               HttpResponder responder) {
  if (this->large_requests.Admits(request.body().size())) {
    this->caller_routes->Handle(request, std::move(responder));
    return;
  }
  this->metrics.Count("overload_refusals_total", "resource",
                      EnumName(ScarceResource::kMemory));
  // Calls of queues have their job in the path, and no such header.
  std::string job(HeaderValue(request, "Idempotency-Key"));
  if (job.empty()) job = std::string(request.target());
  LogEvent(LogCategory::kFailure,
           RequestRejected{job, "", Reason::kQueueFull,
                           "the memory of this entry is full"});
  responder(OverloadResponse(request));
}

void EntryServer::Drain() {
  if (this->drain_requested.exchange(true)) return;
  LogStateChange(ProcessDraining{});
  Lifetime::FinishAfter(
      this->settings.stop_within - kExitMargin, ExitCode::kSuccess, [this] {
        const HttpServerLoad load = this->caller_server->Load();
        LogStateChange(StopTimeReached{load.connections, load.unanswered});
      });
  this->table->StopJoining();
  this->Post(DrainRequested{});
  this->shutdown.Begin(
      *this->caller_server,
      ShutdownSchedule(
          SteadyClock::now(),
          DeriveCoreSettings(this->settings, this->self).drain_accepts,
          this->settings.stop_within),
      ShutdownCause::kStopped);
}

void EntryServer::Reconfigure(const EntrySettings& changed) {
  LogReload(this->settings, changed, {"table", "recording", "log"});
  asio::post(this->core_thread.First(),
             [this, share = changed.log.jobs_followed_per_thousand] {
               this->log.Follow(share);
             });
  this->table->SetEndpoint(changed.table);
  this->records->Reconfigure(changed.table, changed.recording);
}

void EntryServer::Post(EntryEvent event) {
  asio::post(this->core_thread.First(),
             [this, posted = std::move(event), arrived = SteadyClock::now()] {
               this->load_monitor->RecordQueueDelay(arrived);
               this->Handle(posted);
             });
}

void EntryServer::Dispatch(EntryEvent event) {
  asio::dispatch(
      this->core_thread.First(),
      [this, received = std::move(event)] { this->Handle(received); });
}

void EntryServer::Handle(const EntryEvent& event) {
  this->shutdown.TakeDueSteps();
  const Timestamp now = WallClockNow();
  if (const auto* received = std::get_if<AgentMessageReceived>(&event)) {
    this->agent_messages.Count(received->message);
    if (const auto* hello = std::get_if<Register>(&received->message)) {
      this->links->SetAgentEndpoint(hello->description);
    }
  }
  RunCoreStep([&] {
    std::vector<EntryEffect> effects = this->core.Handle(event, now);
    this->log.Observe(event, effects, now);
    this->records->Record(event, now, effects);
    for (EntryEffect& effect : effects) {
      std::visit([this](auto& alternative) { this->Apply(alternative); },
                 effect);
    }
  });
}

void EntryServer::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->load_monitor->ObserveDelay(std::chrono::duration_cast<Duration>(
        SteadyClock::now() - this->tick_timer.expiry()));
    this->Handle(EntryTick{this->links->pacer().backlog(),
                           this->table->ViewAge(WallClockNow())});
    this->load_monitor->ObserveResources();
    FlushLog();
    this->ScheduleTick();
  });
}

void EntryServer::Apply(AnswerCaller& effect) {
  this->waiting_callers.Answer(effect.request, effect.answer);
}

void EntryServer::Apply(const CancelAnswered& effect) {
  const Reason reason = effect.outcome == CancelOutcome::kHolds
                            ? Reason::kCancelled
                            : Reason::kHomeUnreachable;
  this->waiting_callers.Answer(effect.request, JobAnswer::MayHaveRun(reason));
}

void EntryServer::Apply(SendToPeer& effect) {
  this->links->Send(effect.to, std::move(effect.message));
}

void EntryServer::Apply(SendToAgent& effect) {
  this->links->Send(effect.to, std::move(effect.message));
}

void EntryServer::Apply(const ProposeView& effect) {
  this->table->Propose(effect.view);
}

void EntryServer::Apply(const ReleaseAgentAddress& effect) {
  this->table->Release(effect);
}

void EntryServer::Apply(const ViewInForce& effect) {
  LogStateChange(
      ViewAdopted{effect.view.epoch.value(), effect.view.members.size()});
  this->links->ConnectToMembers(effect.view);
  this->next_serving_state.view = effect.view;
  this->PublishServingState();
}

void EntryServer::Apply(const DocumentInForce& effect) {
  const VersionedDocument& document = effect.document;
  const auto began = SteadyClock::now();
  const bool is_served = this->next_serving_state.Adopt(document);
  if (is_served) this->PublishServingState();
  const auto now = SteadyClock::now();
  this->publish_times.Observe(
      std::chrono::duration<double>(now - began).count());
  LogStateChange(DocumentAdopted{
      document.service.value(), document.version.value(), document.text.size(),
      this->next_serving_state.RoutesOf(document.service),
      this->configuration_age.NoteInForce(document.service, document.version,
                                          now)});
}

void EntryServer::Apply(const RetryCounted& effect) {
  this->retries.Count(effect.reason);
}

void EntryServer::Apply(const OwnershipChanged& effect) {
  const BucketShare share = this->core.ComputeBucketShare();
  const std::string reason(effect.reason ? EnumName(*effect.reason) : "");
  LogStateChange(HomeOfBuckets{effect.phase, effect.buckets.size(), reason,
                               share.held, share.by_rank,
                               this->core.typical_inbound_delay()});
  this->metrics.Set("buckets_held", static_cast<double>(share.held));
  this->metrics.Set("buckets_by_rank", static_cast<double>(share.by_rank));
  if (effect.reason) {
    this->metrics.Count("bucket_moves_total", "reason", reason,
                        static_cast<double>(effect.buckets.size()));
  }
  this->metrics.Count("ownership_changes_total", "phase",
                      EnumName(effect.phase),
                      static_cast<double>(effect.buckets.size()));
}

void EntryServer::Apply(const JobRefused& effect) {
  this->refusals.Count(effect.reason);
}

void EntryServer::Apply(const QuarantineChanged& effect) {
  LogStateChange(GroupQuarantined{effect.phase, effect.service.value(),
                                  effect.group.value(), effect.losses,
                                  effect.moments, effect.upstreams});
  this->metrics.Count("quarantine_changes_total", "phase",
                      EnumName(effect.phase), 1);
}

void EntryServer::Apply(const EvacuationChanged& effect) {
  const std::string& data_centre = effect.data_centre.value();
  LogStateChange(
      EvacuationLine{effect.phase, data_centre, effect.version.value(),
                     this->core.agents().CountIn(effect.data_centre)});
  const bool is_evacuated = effect.phase == EvacuationPhase::kBegun;
  this->metrics.Set("data_centre_evacuated", "data_centre", data_centre,
                    is_evacuated ? 1 : 0);
}

void EntryServer::Apply(const InterferenceChanged& effect) {
  LogStateChange(GroupsKeptApart{
      effect.phase, effect.service.value(), effect.victim.value(),
      effect.neighbour.value(), effect.slowdown_percent});
  this->metrics.Count("interference_changes_total", "phase",
                      EnumName(effect.phase), 1);
}

void EntryServer::Apply(const AgentLost& effect) {
  this->metrics.Count("agents_given_up_total", "evidence",
                      EnumName(effect.evidence));
}

void EntryServer::Apply(const RemovedFromView& /*effect*/) {
  const HttpServerLoad load = this->caller_server->Load();
  LogStateChange(RemovedFromViewLine{load.connections, load.unanswered});
  // The callers' jobs go on at the members of the view. New callers go to
  // another entry, since this one isn't ready.
  constexpr Duration kAcceptsNoLonger{};
  this->shutdown.Begin(*this->caller_server,
                       ShutdownSchedule(SteadyClock::now(), kAcceptsNoLonger,
                                        this->settings.stop_within),
                       ShutdownCause::kRemoved);
}

void EntryServer::Exit() {
  this->records->Flush([this] {
    // A process that is to stop doesn't begin anew.
    Lifetime::Finish(this->drain_requested ? ExitCode::kSuccess
                                           : ExitCode::kRemoved);
  });
}

void EntryServer::Apply(const EntryDrained& /*effect*/) {
  LogStateChange(ProcessDrained{});
  this->shutdown.OnCoreDrained();
}

void EntryServer::PublishServingState() {
  this->serving.Publish(this->next_serving_state);
}

void EntryServer::OnCallerGone(const HttpConnectionReport& report) {
  const std::string reason(EnumName(report.end));
  this->metrics.Count("caller_connections_ended_total", "reason", reason);
  // The lines for the limit tell of these.
  if (report.end == HttpConnectionEnd::kLimit) return;
  if (!report.cuts_request()) return;
  this->metrics.Count("caller_connections_cut_total", "reason", reason);
  LogEvent(LogCategory::kFailure,
           CallerConnectionCut{reason, report.unanswered, report.unread,
                               report.since_request});
}

void EntryServer::HandleReadiness(const HttpResponder& responder) {
  asio::post(this->core_thread.First(), [this, responder] {
    responder(EncodeReadiness(this->core.IsReady()));
  });
}

}  // namespace dandelionspur
