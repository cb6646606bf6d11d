#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/service_document.h"

namespace dandelionspur {

// The queues of all services, found by host and path. Immutable once built,
// so that all threads may read it.
class RouteTable {
 public:
  struct Match {
    ServiceName service;
    const Route* route = nullptr;
    // What follows the prefix in the path.
    std::string_view rest;
  };

  void Add(const ServiceName& service, const std::vector<Route>& added);
  // The route with the longest prefix of `path` among those of `host`;
  // `route` is null where there is none. `path` must outlive the result.
  [[nodiscard]] Match Find(std::string_view host, std::string_view path) const;

 private:
  struct Item {
    ServiceName service;
    Route route;
  };

  // By host, and by prefix.
  std::map<std::string, std::map<std::string, Item, std::less<>>, std::less<>>
      hosts;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
