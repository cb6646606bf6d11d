#include "services/agent/platform_upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "libraries/base/enum_name.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/fatal_error.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using SteadyTime = LeasedUpstream::SteadyTime;

constexpr std::chrono::milliseconds kTickInterval{50};
// A local upstream answers within milliseconds or not at all. If the timeout is
// too short, one more list call follows; if it is too long, a task is delayed.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(60);
// Added to the wait time of a list call to get its HTTP timeout.
constexpr Duration kListTimeoutMargin = std::chrono::milliseconds(300);
constexpr std::size_t kOrderConnections = 8;
constexpr std::size_t kListConnections = 3;
// The upstream and another incarnation that may have replaced it.
constexpr std::size_t kMaximumEndpoints = 2;

LeasedUpstreamSettings SessionSettings(const AgentSettings& settings) {
  LeasedUpstreamSettings session;
  session.maximum_lease = settings.lease;
  // Derived from the start time, so that it exceeds all fencing tokens of
  // earlier processes.
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      WallClockNow().time_since_epoch());
  session.first_token = FencingToken(static_cast<std::uint64_t>(now.count()));
  return session;
}

}  // namespace

Result<std::unique_ptr<PlatformUpstream>> PlatformUpstream::Create(
    const AgentSettings& settings, ThreadGroup& thread, Metrics& counters,
    EventSink events, RenewalSource renewal) {
  std::unique_ptr<PlatformUpstream> upstream(new PlatformUpstream(
      settings, thread, counters, std::move(events), std::move(renewal)));
  BOOST_LEAF_AUTO(
      bound,
      HttpServer::Create(
          *settings.announcements, thread,
          GuardRequests(counters,
                        [raw = upstream.get()](const HttpRequest& request,
                                               const HttpResponder& responder) {
                          raw->OnUpstreamCall(request, responder);
                        }),
          upstream->client_limits.ForOthers("announcements")));
  upstream->server = std::move(bound);
  asio::post(thread.First(), [raw = upstream.get()] { raw->ScheduleTick(); });
  return upstream;
}

PlatformUpstream::PlatformUpstream(const AgentSettings& settings,
                                   ThreadGroup& thread, Metrics& counters,
                                   EventSink events, RenewalSource renewal)
    : context(thread.First()),
      metrics(counters),
      client_limits(settings.client_limits, counters),
      boundary(counters),
      sink(std::move(events)),
      renewal_source(std::move(renewal)),
      session(SessionSettings(settings)),
      tick_timer(thread.First()) {}

template <typename Step>
void PlatformUpstream::InSession(Step&& step) {
  RunCoreStep([&] {
    this->session.SetLeaseRenewal(this->renewal_source());
    step(std::chrono::steady_clock::now());
    this->ExecuteEffects();
  });
}

template <typename Order>
void PlatformUpstream::Send(HttpClient& client, const Order& order,
                            const UpstreamIncarnation& receiver,
                            Duration timeout, HttpCallback callback) {
  std::optional<HttpRequest> request;
  this->boundary.Run(HandlerKind::kUpstreamOrder,
                     [&] { request = EncodeOrder(order, receiver); });
  if (request) {
    client.Send(std::move(*request), timeout, std::move(callback));
    return;
  }
  // Posted like an answer, which never arrives during the call.
  asio::post(this->context, [answer = std::move(callback)] {
    answer(HttpResult{HttpProgress::kNotSent, {}});
  });
}

template <typename Answer>
Answer PlatformUpstream::Decode(Answer (*decode)(const HttpResult&),
                                const HttpResult& result) {
  Answer answer;
  this->boundary.Run(HandlerKind::kUpstreamAnswer,
                     [&] { answer = decode(result); });
  return answer;
}

void PlatformUpstream::OnUpstreamCall(const HttpRequest& request,
                                      const HttpResponder& responder) {
  const auto call = OrElse(
      [&]() -> Result<std::optional<UpstreamCall>> {
        BOOST_LEAF_AUTO(decoded, DecodeUpstreamCall(request));
        return std::optional<UpstreamCall>(std::move(decoded));
      },
      [&](const std::string& problem) {
        this->metrics.Count("unreadable_upstream_calls_total", "kind",
                            "heartbeat");
        LogEvent(LogCategory::kFailure, UpstreamCallUnreadable{problem});
        return std::optional<UpstreamCall>();
      });
  if (!call) {
    responder(EncodeMalformedUpstreamCall());
    return;
  }
  responder(EncodeUpstreamAcknowledgement());
  this->InSession([&](SteadyTime now) {
    if (const auto* heartbeat = std::get_if<UpstreamHeartbeat>(&*call)) {
      this->session.OnHeartbeat(*heartbeat, now);
    } else {
      this->session.OnGone(std::get<UpstreamGone>(*call), now);
    }
  });
}

void PlatformUpstream::Run(const RunOnUpstream& task) {
  if (!CanCarryBody(task.body.bytes())) {
    // Posted, since the core's other effects are still to be applied.
    asio::post(this->context, [this, id = task.task] {
      this->sink(
          UpstreamTaskCompleted{id, UpstreamResult::kCannotCarry, {}, {}});
    });
    return;
  }
  this->InSession([&](SteadyTime now) { this->session.Run(task, now); });
}

void PlatformUpstream::Stop(const TaskId& task) {
  this->InSession([&](SteadyTime now) { this->session.Stop(task, now); });
}

void PlatformUpstream::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->InSession([this](SteadyTime now) { this->session.Tick(now); });
    this->ScheduleTick();
  });
}

void PlatformUpstream::ExecuteEffects() {
  // An event passed to the agent's core may call this function again. The outer
  // call then also executes the effects that were added.
  if (this->executing_effects) return;
  this->executing_effects = true;
  for (std::vector<SessionEffect> effects = this->session.TakeEffects();
       !effects.empty(); effects = this->session.TakeEffects()) {
    for (const SessionEffect& effect : effects) {
      std::visit(
          [this](const auto& alternative) { this->Execute(alternative); },
          effect);
    }
  }
  this->executing_effects = false;
}

void PlatformUpstream::Execute(const SendStart& effect) {
  this->Send(*this->ConnectTo(effect.receiver.endpoint).orders, effect.order,
             effect.receiver.incarnation, kOrderTimeout,
             [this, order = effect.order](const HttpResult& result) {
               const OrderAnswer answer =
                   this->Decode(&DecodeOrderAnswer, result);
               this->InSession([&](SteadyTime now) {
                 this->session.OnStartAnswer(order, answer, now);
               });
             });
}

void PlatformUpstream::Execute(const SendStop& effect) {
  this->Send(*this->ConnectTo(effect.receiver.endpoint).orders, effect.order,
             effect.receiver.incarnation, kOrderTimeout,
             [this, order = effect.order](const HttpResult& result) {
               const OrderAnswer answer =
                   this->Decode(&DecodeOrderAnswer, result);
               this->InSession([&](SteadyTime now) {
                 this->session.OnStopAnswer(order, answer, now);
               });
             });
}

void PlatformUpstream::Execute(const SendList& effect) {
  this->Send(*this->ConnectTo(effect.receiver.endpoint).lists, effect.order,
             effect.receiver.incarnation,
             effect.order.poll_timeout + kListTimeoutMargin,
             [this, number = effect.number](const HttpResult& result) {
               const ListAnswer answer =
                   this->Decode(&DecodeListAnswer, result);
               this->InSession([&](SteadyTime now) {
                 this->session.OnListAnswer(number, answer, now);
               });
             });
}

void PlatformUpstream::Execute(const ForeignDeparture& effect) {
  this->metrics.Count("upstream_calls_ignored_total", "kind", "departure");
  LogEvent(LogCategory::kFailure,
           UpstreamDepartureIgnored{effect.sender.id,
                                    effect.sender.started_milliseconds});
}

void PlatformUpstream::Execute(const SessionEnded& effect) {
  this->metrics.Count("upstream_sessions_ended_total", "evidence",
                      EnumName(effect.evidence));
  LogStateChange(UpstreamSessionEnded{
      effect.incarnation.id, effect.incarnation.started_milliseconds,
      std::string(EnumName(effect.evidence)), effect.tasks_running});
}

void PlatformUpstream::Execute(const AgentEvent& event) { this->sink(event); }

PlatformUpstream::Connections& PlatformUpstream::ConnectTo(
    const Endpoint& endpoint) {
  const auto known = std::find_if(
      this->connections.begin(), this->connections.end(),
      [&](const Connections& item) { return item.endpoint == endpoint; });
  if (known != this->connections.end()) {
    this->connections.splice(this->connections.begin(), this->connections,
                             known);
    return this->connections.front();
  }
  if (this->connections.size() >= kMaximumEndpoints) {
    this->connections.pop_back();
  }
  return this->connections.emplace_front(Connections{
      endpoint, HttpClient::Create(this->context, endpoint, kOrderConnections),
      HttpClient::Create(this->context, endpoint, kListConnections)});
}

}  // namespace dandelionspur
