#ifndef DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_
#define DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "libraries/configuration/settings.h"
#include "libraries/network/http_client.h"
#include "libraries/telemetry/metrics.h"
#include "libraries/upstream_session/leased_upstream.h"
#include "services/runtime/client_limits.h"
#include "services/runtime/handler_boundary.h"

namespace dandelionspur {

// Makes the HTTP calls that a LeasedUpstream requests, and serves the
// heartbeats and departure notices that the upstream sends. Everything runs on
// one io_context.
class PlatformUpstream {
 public:
  using EventSink = std::function<void(AgentEvent)>;
  // Returns whether a lease may be granted or extended now.
  using RenewalSource = std::function<LeaseRenewal()>;

  // Fails if the `announcements` address of the settings can't be bound.
  static Result<std::unique_ptr<PlatformUpstream>> Create(
      const AgentSettings& settings, ThreadGroup& thread, Metrics& counters,
      EventSink events, RenewalSource renewal);
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  void Run(const RunOnUpstream& task);
  void Stop(const TaskId& task);
  // The tasks whose start orders the upstream is not known to have carried out.
  [[nodiscard]] std::vector<TaskId> UnconfirmedTasks() const {
    return this->session.UnconfirmedTasks();
  }

 private:
  PlatformUpstream(const AgentSettings& settings, ThreadGroup& thread,
                   Metrics& counters, EventSink events, RenewalSource renewal);
  // Calls `step` with the current time, once the session knows whether it may
  // grant leases, and executes the effects.
  template <typename Step>
  void InSession(Step&& step);
  void OnUpstreamCall(const HttpRequest& request,
                      const HttpResponder& responder);
  void ScheduleTick();
  // Executes the effects that the session has produced since the last call.
  void ExecuteEffects();
  void Execute(const SendStart& effect);
  void Execute(const SendStop& effect);
  void Execute(const SendList& effect);
  void Execute(const ForeignDeparture& effect);
  void Execute(const SessionEnded& effect);
  void Execute(const AgentEvent& event);

  // Sends an order. One that can't be encoded is answered as not sent.
  template <typename Order>
  void Send(HttpClient& client, const Order& order,
            const UpstreamIncarnation& receiver, Duration timeout,
            HttpCallback callback);
  // Decodes an answer. One that can't be decoded counts as malformed.
  template <typename Answer>
  Answer Decode(Answer (*decode)(const HttpResult&), const HttpResult& result);

  struct Connections {
    Endpoint endpoint;
    std::shared_ptr<HttpClient> orders;
    // Separate, so that starts and stops never queue behind a list call, which
    // the upstream holds open.
    std::shared_ptr<HttpClient> lists;
  };
  Connections& ConnectTo(const Endpoint& endpoint);

  boost::asio::io_context& context;
  Metrics& metrics;
  ClientLimits client_limits;
  HandlerBoundary boundary;
  EventSink sink;
  RenewalSource renewal_source;
  LeasedUpstream session;
  // The connections that were used last come first.
  std::list<Connections> connections;
  boost::asio::steady_timer tick_timer;
  std::unique_ptr<HttpServer> server;
  bool executing_effects = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_
