#include "services/entry/entry_server.h"

#include <malloc.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/mp11.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/base/enum_name.h"
#include "libraries/entry_core/submission_validator.h"
#include "libraries/telemetry/log.h"
#include "platform/job_calls.h"
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
// Callers are notified of a graceful shutdown with some delay.
constexpr std::chrono::milliseconds kDrainNoticeDelay{100};
// Time to hand over the buckets after the last caller was accepted. Buckets
// that were not handed over by then are left for other entries to take over.
constexpr std::chrono::milliseconds kMaximumHandOverTime{2400};
// Margins before the process would be killed, for the last steps of the core's
// hand-over and for the exit itself, which take longer on a busy processor.
constexpr std::chrono::milliseconds kShutdownMargin{700};
constexpr std::chrono::milliseconds kExitMargin{250};
constexpr std::chrono::seconds kLinkInterval{1};
// Above this share of the link's rate, in percent, the link counts as full.
constexpr std::uint64_t kFullLinkPercent = 80;
constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

// The bytes that this process has allocated and not freed. Memory that the
// allocator keeps for later is left out, since it can be used again.
std::uint64_t AllocatedBytes() {
  const struct mallinfo2 usage = mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

const char* DetailOf(ScarceResource resource) {
  switch (resource) {
    case ScarceResource::kLink:
      return "the link of this entry is full";
    case ScarceResource::kMemory:
      return "the memory of this entry is full";
    case ScarceResource::kDelay:
      return "this entry is behind with its work";
    case ScarceResource::kPeer:
      return "the connection to the job's home is full";
  }
  return "";
}

// A small instance keeps fewer answers. `memory_bytes` may be 0: not limited.
std::uint64_t MaximumAnswerBytes(std::uint64_t usual,
                                 std::uint64_t memory_bytes) {
  // One part of the memory in this many.
  constexpr std::uint64_t kAnswerShare = 16;
  if (memory_bytes == 0) return usual;
  return std::min(usual, memory_bytes / kAnswerShare);
}

EntryCoreSettings CoreSettings(const EntrySettings& settings, EntryId self) {
  EntryCoreSettings core;
  core.self = self;
  core.bucket_count = settings.bucket_count;
  core.duplicate_window = settings.duplicate_window;
  core.suspect_after = settings.suspect_after;
  core.remove_after = settings.remove_after;
  core.lease_over_after = LeaseOverAfter(settings.lease);
  core.drain_accepts = settings.drain_accepts + kDrainNoticeDelay;
  core.drain_limit = std::min(core.drain_accepts + kMaximumHandOverTime,
                              settings.stop_within - kShutdownMargin);
  core.maximum_answer_bytes =
      MaximumAnswerBytes(core.maximum_answer_bytes, settings.memory_bytes);
  core.placement_seed = self.value();
  core.link_bytes_per_second =
      LinkPacer::RateFor(settings.link_bytes_per_second);
  return core;
}

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
      retries(this->metrics, "retries_total"),
      refusals(this->metrics, "refusals_decided_total"),
      agent_messages(this->metrics, "messages_from_agents_total"),
      load_guard(configured.memory_bytes),
      peer_queues(configured.link_bytes_per_second),
      publish_times(this->metrics.HistogramFor("stage_seconds", "stage",
                                               "configuration_publish")),
      work_delays(
          this->metrics.HistogramFor("stage_seconds", "stage", "own_delay")),
      call_waits(
          this->metrics.HistogramFor("stage_seconds", "stage", "call_wait")),
      core(CoreSettings(configured, own)),
      log(this->core, this->metrics),
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
      this->self.value(), CoreSettings(this->settings, this->self),
      this->settings.recording, this->metrics);
  this->table = std::make_unique<TableWatcher>(
      this->settings, member, this->input_output.Next(), this->metrics, sink);
  this->document_routes =
      std::make_unique<DocumentRoutes>(this->serving, *this->table);
  CoreInterface core_interface;
  core_interface.submit = [this](JobSubmission job, AnswerCallback callback) {
    asio::post(
        this->core_thread.First(),
        [this, submission = std::move(job), done = std::move(callback),
         arrived = SteadyClock::now(), read_at = WallClockNow()]() mutable {
          this->RecordQueueDelay(arrived);
          this->Enqueue(std::move(submission), std::move(done), read_at);
        });
  };
  core_interface.cancel = [this](const JobKey& key) {
    asio::post(this->core_thread.First(),
               [this, key, arrived = SteadyClock::now()] {
                 this->RecordQueueDelay(arrived);
                 this->SubmitWaiting(key);
                 this->Handle(CallerCancelled{key});
               });
  };
  this->caller_routes = std::make_unique<CallerRoutes>(
      this->serving, std::move(core_interface),
      this->settings.upstream_protocol, this->metrics);
  BOOST_LEAF_AUTO(
      bound_links,
      EntryLinks::Create(
          this->settings, this->self, this->core_thread.First(),
          this->input_output, this->metrics,
          [this](EntryEvent event) { this->Dispatch(std::move(event)); }));
  this->links = std::move(bound_links);
  BOOST_LEAF_AUTO(
      callers,
      HttpServer::Create(
          this->settings.callers, this->input_output,
          GuardRequests(
              this->metrics,
              [this](const HttpRequest& request, HttpResponder responder) {
                this->caller_routes->Handle(request, std::move(responder));
              },
              InternalErrorResponse()),
          [this](const HttpConnectionReport& report) {
            this->OnCallerGone(report);
          }));
  this->caller_server = std::move(callers);
  BOOST_LEAF_AUTO(
      admin,
      HttpServer::Create(
          this->settings.admin, this->input_output,
          GuardRequests(this->metrics, [this](const HttpRequest& request,
                                              const HttpResponder& responder) {
            this->HandleAdmin(request, responder);
          })));
  this->admin_server = std::move(admin);
  if (this->settings.readiness) {
    BOOST_LEAF_AUTO(readiness,
                    HttpServer::Create(
                        *this->settings.readiness, this->input_output,
                        GuardRequests(this->metrics,
                                      [this](const HttpRequest&,
                                             const HttpResponder& responder) {
                                        this->HandleReadiness(responder);
                                      })));
    this->readiness_server = std::move(readiness);
  }
  asio::post(this->core_thread.First(), [this] { this->ScheduleTick(); });
  this->table->Start();
  LogStateChange(ProcessStarted{this->self.value(), DANDELIONSPUR_VERSION});
  return {};
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
      ShutdownSchedule(SteadyClock::now(),
                       CoreSettings(this->settings, this->self).drain_accepts,
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

JobAnswer EntryServer::Refuse(const std::string& job) {
  this->refusals.Count(Reason::kDraining);
  LogEvent(LogCategory::kFailure, RequestRejected{job, "", Reason::kDraining,
                                                  "the entry is stopping"});
  // The request was not passed to the core or to another entry, so the tasks
  // certainly have not run.
  return SubmissionValidator::Reject(Reason::kDraining, "").answer;
}

JobAnswer EntryServer::RefuseOverload(const JobSubmission& job,
                                      const Overload& overload) {
  this->refusals.Count(Reason::kQueueFull);
  this->metrics.Count("overload_refusals_total", "resource",
                      EnumName(overload.resource));
  LogEvent(LogCategory::kFailure,
           RequestRejected{job.name, job.service.value(), Reason::kQueueFull,
                           DetailOf(overload.resource)});
  JobAnswer answer = SubmissionValidator::Reject(Reason::kQueueFull, "").answer;
  answer.retry_after = overload.retry_after;
  return answer;
}

void EntryServer::Post(EntryEvent event) {
  asio::post(this->core_thread.First(),
             [this, posted = std::move(event), arrived = SteadyClock::now()] {
               this->RecordQueueDelay(arrived);
               this->Handle(posted);
             });
}

void EntryServer::RecordQueueDelay(SteadyClock::time_point arrived) {
  this->work_delay.RecordWait(
      std::chrono::duration_cast<Duration>(SteadyClock::now() - arrived));
}

void EntryServer::Dispatch(EntryEvent event) {
  asio::dispatch(
      this->core_thread.First(),
      [this, received = std::move(event)] { this->Handle(received); });
}

void EntryServer::Enqueue(JobSubmission job, AnswerCallback callback,
                          Timestamp arrived) {
  if (job.kind != SubmissionKind::kRun) {
    this->SubmitWaiting(job.key);
    this->Submit(std::move(job), std::move(callback));
    return;
  }
  const Duration slack = job.Slack();
  this->calls.Push({std::move(job), std::move(callback)}, slack, arrived);
  this->ScheduleCallTurn();
}

void EntryServer::ScheduleCallTurn() {
  if (this->call_turn_is_posted || this->calls.empty()) return;
  this->call_turn_is_posted = true;
  asio::post(this->core_thread.First(), [this, posted = SteadyClock::now()] {
    this->RecordQueueDelay(posted);
    this->call_turn_is_posted = false;
    this->TakeCallTurn();
    this->ScheduleCallTurn();
  });
}

void EntryServer::TakeCallTurn() {
  this->shutdown.TakeDueSteps();
  // Too late for any job: nothing may wait when the process ends.
  if (!this->shutdown.CanAnswerWithin(Duration())) {
    this->SubmitAllWaiting();
    return;
  }
  CallQueue<Call>::Turn turn = this->calls.Take(WallClockNow());
  for (const CallQueue<Call>::Refused& late : turn.refused) {
    this->RefuseLate(late);
  }
  if (turn.next) this->SubmitDue(std::move(*turn.next));
}

void EntryServer::SubmitWaiting(const JobKey& key) {
  this->SubmitMatching([&](const Call& call) { return call.job.key == key; });
}

void EntryServer::SubmitAllWaiting() {
  this->SubmitMatching([](const Call&) { return true; });
}

void EntryServer::SubmitMatching(
    const std::function<bool(const Call&)>& matches) {
  std::vector<CallQueue<Call>::Due> waiting =
      this->calls.TakeMatching(matches, WallClockNow());
  for (CallQueue<Call>::Due& due : waiting) this->SubmitDue(std::move(due));
}

void EntryServer::RefuseLate(const CallQueue<Call>::Refused& late) {
  this->call_waits.Observe(std::chrono::duration<double>(late.waited).count());
  const Overload overload{ScarceResource::kDelay, late.retry_after};
  late.call.callback(this->RefuseOverload(late.call.job, overload));
}

void EntryServer::SubmitDue(CallQueue<Call>::Due due) {
  this->call_waits.Observe(std::chrono::duration<double>(due.waited).count());
  JobSubmission& job = due.call.job;
  // The caller's time has passed while the job waited here.
  job.time_allowed = std::max(Duration(), job.time_allowed - due.waited);
  this->Submit(std::move(job), std::move(due.call.callback));
}

void EntryServer::Submit(JobSubmission job, AnswerCallback callback) {
  this->shutdown.TakeDueSteps();
  const bool is_new = job.kind == SubmissionKind::kRun;
  // A process that is behind with its work when it stops takes in no more.
  const bool must_refuse =
      is_new && this->shutdown.has_begun() && this->load_guard.IsBehind();
  if (must_refuse || !this->shutdown.CanAnswerWithin(job.objective)) {
    callback(is_new ? this->Refuse(job.name)
                    : JobAnswer::MayHaveRun(Reason::kHomeUnreachable));
    return;
  }
  const std::optional<Overload> overload = this->CheckLoad(job);
  if (is_new && overload) {
    callback(this->RefuseOverload(job, *overload));
    return;
  }
  const RequestId request = this->waiting_callers.Add(job, std::move(callback));
  this->Handle(CallerSubmitted{request, std::move(job)});
}

std::optional<Overload> EntryServer::CheckLoad(const JobSubmission& job) const {
  const std::optional<Overload> overload =
      this->load_guard.Check({this->links->pacer().Delay(), job.Slack()});
  if (overload) return overload;
  const std::optional<EntryId> home =
      this->core.OtherHomeOf(job.key, WallClockNow());
  if (!home || !this->peer_queues.IsFull(*home)) return std::nullopt;
  return Overload{ScarceResource::kPeer, PeerQueues::TimeToDrain()};
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
    this->ObserveDelay(std::chrono::duration_cast<Duration>(
        SteadyClock::now() - this->tick_timer.expiry()));
    this->Handle(EntryTick{this->links->pacer().backlog()});
    this->ObserveMemory(SteadyClock::now());
    this->ObservePeerQueues();
    this->ObserveLink(SteadyClock::now());
    FlushLog();
    this->ScheduleTick();
  });
}

void EntryServer::ObserveMemory(SteadyClock::time_point now) {
  this->load_guard.NoteMemory(AllocatedBytes(), now);
}

void EntryServer::ObservePeerQueues() {
  const std::vector<QueueChange> changes =
      this->peer_queues.Note(this->links->UnsentToPeers());
  for (const QueueChange& change : changes) {
    if (change.state == QueueState::kFull) {
      LogStateChange(PeerQueueFull{change.peer, change.unsent_bytes});
    } else {
      LogStateChange(PeerQueueDrained{change.peer, change.unsent_bytes});
    }
  }
}

void EntryServer::ObserveLink(SteadyClock::time_point now) {
  if (now < this->next_link_check) return;
  this->next_link_check = now + kLinkInterval;
  constexpr std::uint64_t kPercent = 100;
  const std::uint64_t limit = this->settings.link_bytes_per_second;
  const ByteUse use = this->links->TakeByteUse();
  const std::size_t unsent = this->links->unsent_bytes();
  const bool is_full =
      limit > 0 && (use.bytes + unsent) * kPercent > limit * kFullLinkPercent;
  if (!is_full) return;
  LogStateChange(
      LinkFull{use.bytes, limit, use.largest_kind, use.largest_bytes, unsent});
}

void EntryServer::ObserveDelay(Duration tick_lateness) {
  const Duration own_delay = this->work_delay.EndInterval(tick_lateness);
  this->load_guard.NoteDelay(
      std::max(own_delay, this->core.typical_inbound_delay()),
      SteadyClock::now());
  const Duration delay = std::max(own_delay, this->core.inbound_delay());
  this->work_delays.Observe(std::chrono::duration<double>(delay).count());
  const std::optional<LagChange> change = this->pace.Observe(delay);
  if (!change) return;
  if (change->state == LagState::kLagging) {
    LogStateChange(EntryFellBehind{change->delay});
  } else {
    LogStateChange(EntryCaughtUp{change->longest});
  }
}

void EntryServer::Apply(AnswerCaller& effect) {
  this->waiting_callers.Answer(effect.request, effect.answer);
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

void EntryServer::UpdateGauges() {
  this->metrics.Set("jobs_at_home",
                    static_cast<double>(this->core.jobs_at_home()));
  this->metrics.Set("jobs_relayed",
                    static_cast<double>(this->core.jobs_relayed()));
  this->metrics.Set("calls_waiting", static_cast<double>(this->calls.size()));
  this->metrics.Set("known_keys",
                    static_cast<double>(this->core.buckets().KnownKeyCount()));
  this->metrics.Set("ready", this->core.IsReady() ? 1 : 0);
  this->metrics.Set(
      "configuration_version",
      static_cast<double>(this->configuration_age.NewestInForce().value()));
  this->metrics.Set("configuration_lag_seconds",
                    std::chrono::duration<double>(
                        this->configuration_age.Lag(SteadyClock::now()))
                        .count());
  const HttpServerLoad callers = this->caller_server->Load();
  this->metrics.Set("caller_connections",
                    static_cast<double>(callers.connections));
  this->metrics.Set("caller_requests_unanswered",
                    static_cast<double>(callers.unanswered));
  const Timestamp now = WallClockNow();
  Duration oldest_report{};
  for (const auto& [id, agent] : this->core.agents().all()) {
    if (!agent.connected || agent.lost_at) continue;
    oldest_report = std::max(oldest_report, now - agent.last_heard);
  }
  this->metrics.Set("oldest_agent_report_seconds",
                    std::chrono::duration<double>(oldest_report).count());
  this->metrics.Set("send_backlog_bytes",
                    static_cast<double>(this->links->pacer().backlog()));
  this->metrics.Set("allocated_bytes", static_cast<double>(AllocatedBytes()));
  this->metrics.Set("unsent_bytes",
                    static_cast<double>(this->links->unsent_bytes()));
  this->SetMemoryGauges();
  SetLogGauges(this->metrics);
}

void EntryServer::SetMemoryGauges() {
  const MemoryUse use = this->core.ComputeMemoryUse();
  boost::mp11::mp_for_each<boost::describe::describe_members<
      MemoryUse, boost::describe::mod_public>>([&](auto member) {
    this->metrics.Set("held_bytes", "kind", member.name,
                      static_cast<double>(use.*member.pointer));
  });
  std::uint64_t longest_queue = 0;
  for (const auto& [peer, unsent] : this->links->UnsentToPeers()) {
    longest_queue = std::max(longest_queue, unsent);
  }
  this->metrics.Set("longest_peer_queue_bytes",
                    static_cast<double>(longest_queue));
}

nlohmann::json EntryServer::Status() const {
  std::uint32_t active = 0;
  for (std::uint32_t i = 0; i < this->settings.bucket_count; ++i) {
    if (this->core.buckets().IsActive(BucketId(i))) ++active;
  }
  nlohmann::json members = nlohmann::json::array();
  for (const ViewMember& member : this->core.view().members) {
    members.push_back({{"entry", std::to_string(member.entry.value())},
                       {"data_centre", member.data_centre.value()},
                       {"admin", EndpointText(member.admin_endpoint)}});
  }
  nlohmann::json agents = nlohmann::json::array();
  for (const auto& [id, agent] : this->core.agents().all()) {
    if (!agent.description) continue;
    const Endpoint& admin = agent.description->admin_endpoint;
    agents.push_back(
        {{"agent", std::to_string(id.value())},
         {"service", agent.description->service.value()},
         {"upstream", agent.description->upstream},
         {"admin", EndpointText(admin)},
         {"cores", agent.description->capacity.millicores / kMillicoresPerCore},
         {"connected", agent.connected},
         {"ready", agent.ready},
         {"leaving", agent.leaving},
         {"lost", agent.lost_at.has_value()},
         {"running", agent.running},
         {"millicores_in_use", agent.load.running.millicores},
         {"slowness", agent.slowness}});
  }
  nlohmann::json documents = nlohmann::json::object();
  for (const auto& [service, document] : this->core.documents()) {
    documents[service.value()] = document.version.value();
  }
  return {{"entry", std::to_string(this->self.value())},
          {"ready", this->core.IsReady()},
          {"epoch", this->core.view().epoch.value()},
          {"buckets_active", active},
          {"buckets", this->settings.bucket_count},
          {"jobs_at_home", this->core.jobs_at_home()},
          {"jobs_relayed", this->core.jobs_relayed()},
          {"members", members},
          {"agents", agents},
          {"documents", documents}};
}

void EntryServer::OnCallerGone(const HttpConnectionReport& report) {
  const std::string reason(EnumName(report.end));
  this->metrics.Count("caller_connections_ended_total", "reason", reason);
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

void EntryServer::HandleAdmin(const HttpRequest& request,
                              const HttpResponder& responder) {
  const std::vector<std::string> parts =
      PathParts({request.target().data(), request.target().size()});
  const std::string path = parts.empty() ? "" : parts.back();
  if (parts.size() >= 2 && parts[0] == "v1" && parts[1] == "services") {
    this->document_routes->Handle({parts.begin() + 2, parts.end()}, request,
                                  responder);
  } else if (path == "healthz") {
    responder(JsonResponse(kOk, {{"healthy", true}}));
  } else if (path == "metrics") {
    asio::post(this->core_thread.First(), [this, responder] {
      this->UpdateGauges();
      responder(MetricsResponse(this->metrics));
    });
  } else if (path == "readyz") {
    asio::post(this->core_thread.First(), [this, responder] {
      const bool ready = this->core.IsReady();
      responder(JsonResponse(ready ? kOk : kUnavailable, {{"ready", ready}}));
    });
  } else if (path == "status") {
    asio::post(this->core_thread.First(), [this, responder] {
      responder(JsonResponse(kOk, this->Status()));
    });
  } else if (path == "records") {
    this->records->ReadUnsent(
        [responder](const std::vector<FinishedSegment>& unsent) {
          responder(SegmentsResponse(unsent));
        });
  } else if (path == "drain" && request.method() == http::verb::post) {
    this->Drain();
    responder(JsonResponse(kAccepted, {{"draining", true}}));
  } else {
    responder(ProblemResponse(kNotFound, "no such path"));
  }
}

}  // namespace dandelionspur
