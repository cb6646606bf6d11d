#include "services/entry/entry_gauges.h"

#include <algorithm>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <cstdint>

#include "services/entry/allocated_bytes.h"
#include "services/runtime/record_uploader.h"

namespace dandelionspur {

EntryGauges::EntryGauges(const EntryCore& entry_core,
                         const JobIntake& job_intake,
                         const EntryLinks& entry_links,
                         const HttpServer& callers, const ConfigurationAge& age,
                         Metrics& entry_metrics)
    : core(entry_core),
      intake(job_intake),
      links(entry_links),
      caller_server(callers),
      configuration_age(age),
      metrics(entry_metrics) {}

void EntryGauges::Update() {
  this->SetJobs();
  this->SetConfiguration();
  this->SetConnections();
  this->SetMemory();
  SetLogGauges(this->metrics);
}

void EntryGauges::SetJobs() {
  this->metrics.Set("jobs_at_home",
                    static_cast<double>(this->core.jobs_at_home()));
  this->metrics.Set("jobs_relayed",
                    static_cast<double>(this->core.jobs_relayed()));
  this->metrics.Set("calls_waiting",
                    static_cast<double>(this->intake.waiting_count()));
  this->metrics.Set("known_keys",
                    static_cast<double>(this->core.buckets().KnownKeyCount()));
  this->metrics.Set("ready", this->core.IsReady() ? 1 : 0);
  for (const ServiceSuspicions& service : this->core.Suspicions()) {
    this->metrics.Set("interference_suspicions", "service",
                      service.service.value(),
                      static_cast<double>(service.suspicions.size()));
  }
}

void EntryGauges::SetConfiguration() {
  this->metrics.Set(
      "configuration_version",
      static_cast<double>(this->configuration_age.NewestInForce().value()));
  this->SetSeconds(
      "configuration_lag_seconds",
      this->configuration_age.Lag(std::chrono::steady_clock::now()));
}

void EntryGauges::SetConnections() {
  const HttpServerLoad callers = this->caller_server.Load();
  this->metrics.Set("caller_connections",
                    static_cast<double>(callers.connections));
  this->metrics.Set("caller_requests_unanswered",
                    static_cast<double>(callers.unanswered));
  this->SetSeconds("oldest_agent_report_seconds", this->OldestAgentReport());
  this->metrics.Set("send_backlog_bytes",
                    static_cast<double>(this->links.pacer().backlog()));
  this->metrics.Set("unsent_bytes",
                    static_cast<double>(this->links.unsent_bytes()));
  std::uint64_t longest_queue = 0;
  for (const auto& [peer, unsent] : this->links.UnsentToPeers()) {
    longest_queue = std::max(longest_queue, unsent);
  }
  this->metrics.Set("longest_peer_queue_bytes",
                    static_cast<double>(longest_queue));
}

void EntryGauges::SetMemory() {
  this->metrics.Set("allocated_bytes", static_cast<double>(AllocatedBytes()));
  const MemoryUse use = this->core.ComputeMemoryUse();
  boost::mp11::mp_for_each<boost::describe::describe_members<
      MemoryUse, boost::describe::mod_public>>([&](auto member) {
    this->metrics.Set("held_bytes", "kind", member.name,
                      static_cast<double>(use.*member.pointer));
  });
}

Duration EntryGauges::OldestAgentReport() const {
  const Timestamp now = WallClockNow();
  Duration oldest{};
  for (const auto& [id, agent] : this->core.agents().all()) {
    if (!agent.connected || agent.lost_at) continue;
    oldest = std::max(oldest, now - agent.last_heard);
  }
  return oldest;
}

void EntryGauges::SetSeconds(const std::string& name, Duration value) {
  this->metrics.Set(name, std::chrono::duration<double>(value).count());
}

}  // namespace dandelionspur
