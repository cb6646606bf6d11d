#include "services/entry/entry_status.h"

#include <string>

#include "libraries/base/resources.h"
#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

nlohmann::json EntryStatus::Encode() const {
  return {{"entry", std::to_string(this->self.value())},
          {"ready", this->core.IsReady()},
          {"epoch", this->core.view().epoch.value()},
          {"buckets_active", this->CountActiveBuckets()},
          {"buckets", this->bucket_count},
          {"jobs_at_home", this->core.jobs_at_home()},
          {"jobs_relayed", this->core.jobs_relayed()},
          {"members", this->EncodeMembers()},
          {"agents", this->EncodeAgents()},
          {"documents", this->EncodeDocuments()},
          {"evacuated", this->EncodeEvacuated()},
          {"interference", this->EncodeInterference()}};
}

std::uint32_t EntryStatus::CountActiveBuckets() const {
  std::uint32_t active = 0;
  for (std::uint32_t i = 0; i < this->bucket_count; ++i) {
    if (this->core.buckets().IsActive(BucketId(i))) ++active;
  }
  return active;
}

nlohmann::json EntryStatus::EncodeMembers() const {
  nlohmann::json members = nlohmann::json::array();
  for (const ViewMember& member : this->core.view().members) {
    members.push_back({{"entry", std::to_string(member.entry.value())},
                       {"data_centre", member.data_centre.value()},
                       {"admin", EndpointText(member.admin_endpoint)}});
  }
  return members;
}

nlohmann::json EntryStatus::EncodeAgents() const {
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
         {"data_centre", agent.description->data_centre.value()},
         {"evacuated", agent.evacuated},
         {"lost", agent.lost_at.has_value()},
         {"running", agent.running},
         {"millicores_in_use", agent.load.running.millicores},
         {"slowness", agent.slowness}});
  }
  return agents;
}

nlohmann::json EntryStatus::EncodeEvacuated() const {
  nlohmann::json names = nlohmann::json::array();
  for (const DataCentreName& name : this->core.evacuations().data_centres) {
    names.push_back(name.value());
  }
  return names;
}

nlohmann::json EntryStatus::EncodeInterference() const {
  nlohmann::json interference = nlohmann::json::array();
  for (const ServiceSuspicions& service : this->core.Suspicions()) {
    for (const Suspicion& suspicion : service.suspicions) {
      interference.push_back(
          {{"service", service.service.value()},
           {"victim", suspicion.ConcernsAll()
                          ? "all"
                          : std::to_string(suspicion.victim.value())},
           {"neighbour", std::to_string(suspicion.neighbour.value())},
           {"slowdown", suspicion.slowdown},
           {"significance", suspicion.significance},
           {"jobs", suspicion.weight},
           {"since_us", suspicion.since.time_since_epoch().count()}});
    }
  }
  return interference;
}

nlohmann::json EntryStatus::EncodeDocuments() const {
  nlohmann::json documents = nlohmann::json::object();
  for (const auto& [service, document] : this->core.documents()) {
    documents[service.value()] = document.version.value();
  }
  return documents;
}

}  // namespace dandelionspur
