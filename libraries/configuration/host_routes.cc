#include "libraries/configuration/host_routes.h"

namespace dandelionspur {

void HostRoutes::Add(const ServiceName& service, const Route& route) {
  // The key must be the prefix of the route that stays.
  this->targets.erase(route.path_prefix);
  this->targets.emplace(route.path_prefix, Target{&service, &route});
  this->lengths.insert(route.path_prefix.size());
}

const HostRoutes::Target* HostRoutes::Find(std::string_view path) const {
  for (auto length = this->lengths.lower_bound(path.size());
       length != this->lengths.end(); ++length) {
    const auto found = this->targets.find(path.substr(0, *length));
    if (found != this->targets.end()) return &found->second;
  }
  return nullptr;
}

}  // namespace dandelionspur
