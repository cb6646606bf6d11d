#include "services/agent/platform_upstream.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTickInterval{50};
// An upstream beside this process answers within milliseconds, or not at all.
// Too short a time costs one list; too long a one delays a task.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(60);
// What a list may take longer than it was asked to wait.
constexpr Duration kListSlack = std::chrono::milliseconds(300);
constexpr std::size_t kOrderConnections = 8;
constexpr std::size_t kListConnections = 3;

LeasedUpstreamSettings SessionSettings(const AgentSettings& settings) {
  LeasedUpstreamSettings session;
  session.maximum_lease = settings.lease;
  // Above the tokens of earlier processes, as these began earlier.
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
  BOOST_LEAF_AUTO(bound,
                  HttpServer::Create(
                      *settings.announcements, thread,
                      [raw = upstream.get()](const HttpRequest& request,
                                             const HttpResponder& responder) {
                        raw->OnCall(request, responder);
                      }));
  upstream->server = std::move(bound);
  asio::post(thread.First(), [raw = upstream.get()] { raw->ScheduleTick(); });
  return upstream;
}

PlatformUpstream::PlatformUpstream(const AgentSettings& settings,
                                   ThreadGroup& thread, Metrics& counters,
                                   EventSink events, RenewalSource renewal)
    : context(thread.First()),
      metrics(counters),
      sink(std::move(events)),
      renewal_now(std::move(renewal)),
      session(SessionSettings(settings)),
      tick_timer(thread.First()) {}

LeasedUpstream::SteadyTime PlatformUpstream::Prepare() {
  this->session.SetLeaseRenewal(this->renewal_now());
  return std::chrono::steady_clock::now();
}

void PlatformUpstream::OnCall(const HttpRequest& request,
                              const HttpResponder& responder) {
  const auto call = OrElse(
      [&]() -> Result<std::optional<UpstreamCall>> {
        BOOST_LEAF_AUTO(decoded, DecodeUpstreamCall(request));
        return std::optional<UpstreamCall>(std::move(decoded));
      },
      [&](const std::string& problem) {
        this->metrics.Count("unreadable_upstream_calls_total", "kind",
                            "heartbeat");
        LogEvent(LineClass::kFailure, UpstreamCallUnreadable{problem});
        return std::optional<UpstreamCall>();
      });
  if (!call) {
    responder(EncodeUnreadableUpstreamCall());
    return;
  }
  responder(EncodeUpstreamAcknowledgement());
  const auto now = this->Prepare();
  if (const auto* heartbeat = std::get_if<UpstreamHeartbeat>(&*call)) {
    this->session.OnHeartbeat(*heartbeat, now);
  } else {
    this->session.OnGone(std::get<UpstreamGone>(*call), now);
  }
  this->Flush();
}

void PlatformUpstream::Run(const RunOnUpstream& task) {
  this->session.Run(task, this->Prepare());
  this->Flush();
}

void PlatformUpstream::Stop(const TaskId& task) {
  this->session.Stop(task, this->Prepare());
  this->Flush();
}

void PlatformUpstream::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->session.Tick(this->Prepare());
    this->Flush();
    this->ScheduleTick();
  });
}

void PlatformUpstream::Flush() {
  // An event may lead back here through the agent's core; the outer call goes
  // on with what that adds.
  if (this->flushing) return;
  this->flushing = true;
  for (std::vector<SessionEffect> effects = this->session.TakeEffects();
       !effects.empty(); effects = this->session.TakeEffects()) {
    for (const SessionEffect& effect : effects) {
      std::visit([this](const auto& wanted) { this->Carry(wanted); }, effect);
    }
  }
  this->flushing = false;
}

void PlatformUpstream::Carry(const SendStart& wanted) {
  this->ConnectTo(wanted.receiver.endpoint);
  this->orders->Send(EncodeOrder(wanted.order, wanted.receiver.incarnation),
                     kOrderTimeout,
                     [this, order = wanted.order](const HttpResult& result) {
                       this->session.OnStartAnswer(
                           order, DecodeOrderAnswer(result), this->Prepare());
                       this->Flush();
                     });
}

void PlatformUpstream::Carry(const SendStop& wanted) {
  this->ConnectTo(wanted.receiver.endpoint);
  this->orders->Send(EncodeOrder(wanted.order, wanted.receiver.incarnation),
                     kOrderTimeout,
                     [this, order = wanted.order](const HttpResult& result) {
                       this->session.OnStopAnswer(
                           order, DecodeOrderAnswer(result), this->Prepare());
                       this->Flush();
                     });
}

void PlatformUpstream::Carry(const SendList& wanted) {
  this->ConnectTo(wanted.receiver.endpoint);
  this->lists->Send(EncodeOrder(wanted.order, wanted.receiver.incarnation),
                    wanted.order.patience + kListSlack,
                    [this, number = wanted.number](const HttpResult& result) {
                      this->session.OnListAnswer(
                          number, DecodeListAnswer(result), this->Prepare());
                      this->Flush();
                    });
}

void PlatformUpstream::Carry(const AgentEvent& event) { this->sink(event); }

void PlatformUpstream::ConnectTo(const Endpoint& endpoint) {
  if (endpoint == this->connected_to) return;
  this->connected_to = endpoint;
  this->orders = HttpClient::Create(this->context, endpoint, kOrderConnections);
  this->lists = HttpClient::Create(this->context, endpoint, kListConnections);
}

}  // namespace dandelionspur
