#include "libraries/configuration/route_table.h"

#include <utility>

namespace dandelionspur {

void RouteTable::Replace(const ServiceName& service,
                         std::shared_ptr<const ServiceDocument> document) {
  auto added = std::make_shared<ServiceRoutes>();
  added->service = service;
  added->document = std::move(document);
  std::set<std::string> changed;
  for (const Route& route : added->document->routes) {
    added->hosts[route.host].push_back(&route);
    changed.insert(route.host);
  }
  std::shared_ptr<const ServiceRoutes>& current = this->services[service];
  // Keeps the replaced routes until no host refers to them.
  const std::shared_ptr<const ServiceRoutes> replaced = std::move(current);
  current = std::move(added);
  if (replaced != nullptr) {
    for (const auto& [host, routes] : replaced->hosts) changed.emplace(host);
  }
  for (const std::string& host : changed) this->BuildHost(host);
}

void RouteTable::BuildHost(const std::string& host) {
  auto built = std::make_shared<HostRoutes>();
  for (const auto& [service, routes] : this->services) {
    const auto found = routes->hosts.find(host);
    if (found == routes->hosts.end()) continue;
    for (const Route* route : found->second) {
      built->Add(routes->service, *route);
    }
  }
  if (built->IsEmpty()) {
    this->hosts.erase(host);
  } else {
    this->hosts[host] = std::move(built);
  }
}

RouteTable::Match RouteTable::Find(std::string_view host,
                                   std::string_view path) const {
  // The port is ignored.
  const auto found = this->hosts.find(host.substr(0, host.find(':')));
  if (found == this->hosts.end()) return {};
  const HostRoutes::Target* target = found->second->Find(path);
  if (target == nullptr) return {};
  return {*target->service, target->route,
          path.substr(target->route->path_prefix.size())};
}

}  // namespace dandelionspur
