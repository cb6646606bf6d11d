#include "libraries/configuration/route_table.h"

namespace dandelionspur {

void RouteTable::Add(const ServiceName& service,
                     const std::vector<Route>& added) {
  for (const Route& route : added) {
    this->hosts[route.host].insert_or_assign(route.path_prefix,
                                             RoutedService{service, route});
  }
}

RouteTable::Match RouteTable::Find(std::string_view host,
                                   std::string_view path) const {
  // The port is ignored.
  const auto found = this->hosts.find(host.substr(0, host.find(':')));
  if (found == this->hosts.end()) return {};
  const auto& prefixes = found->second;
  // Looks up ever shorter prefixes of the path, so the cost depends on the
  // path's length and hardly on the number of routes.
  for (std::size_t length = path.size(); length > 0; --length) {
    const auto item = prefixes.find(path.substr(0, length));
    if (item == prefixes.end()) continue;
    return {item->second.service, &item->second.route, path.substr(length)};
  }
  return {};
}

}  // namespace dandelionspur
