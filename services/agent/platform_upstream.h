#ifndef DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_
#define DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "libraries/configuration/settings.h"
#include "libraries/network/http_client.h"
#include "libraries/telemetry/metrics.h"
#include "libraries/upstream_session/leased_upstream.h"

namespace dandelionspur {

// Makes the calls that a LeasedUpstream asks for, and listens for what the
// upstream says of itself. Everything runs on one io_context.
class PlatformUpstream {
 public:
  using EventSink = std::function<void(AgentEvent)>;
  // Whether a lease may be given or extended right now.
  using RenewalSource = std::function<LeaseRenewal()>;

  // Fails where the address for announcements can't be bound.
  static Result<std::unique_ptr<PlatformUpstream>> Create(
      const AgentSettings& settings, ThreadGroup& thread, Metrics& counters,
      EventSink events, RenewalSource renewal);
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  void Run(const RunOnUpstream& task);
  void Stop(const TaskId& task);

 private:
  PlatformUpstream(const AgentSettings& settings, ThreadGroup& thread,
                   Metrics& counters, EventSink events, RenewalSource renewal);
  // Tells the session whether it may give leases, and the time.
  LeasedUpstream::SteadyTime Prepare();
  void OnCall(const HttpRequest& request, const HttpResponder& responder);
  void ScheduleTick();
  // Carries out what the session has decided since the last call.
  void Flush();
  void Carry(const SendStart& wanted);
  void Carry(const SendStop& wanted);
  void Carry(const SendList& wanted);
  void Carry(const AgentEvent& event);
  void ConnectTo(const Endpoint& endpoint);

  boost::asio::io_context& context;
  Metrics& metrics;
  EventSink sink;
  RenewalSource renewal_now;
  LeasedUpstream session;
  Endpoint connected_to;
  std::shared_ptr<HttpClient> orders;
  // Apart from the orders, which must not wait behind a list that waits.
  std::shared_ptr<HttpClient> lists;
  boost::asio::steady_timer tick_timer;
  std::unique_ptr<HttpServer> server;
  bool flushing = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_PLATFORM_UPSTREAM_H_
