#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/service_document.h"

namespace dandelionspur {

// Maps hosts and path prefixes to the routes of all services. Not modified once
// built, so that all threads may read it.
class RouteTable {
 public:
  struct Match {
    ServiceName service;
    const Route* route = nullptr;
    // The part of the path after the prefix.
    std::string_view rest;
  };

  void Add(const ServiceName& service, const std::vector<Route>& added);
  // Returns the route of `host` with the longest prefix of `path`. The match's
  // `route` is null if there is none. `path` and the table must outlive the
  // result.
  [[nodiscard]] Match Find(std::string_view host, std::string_view path) const;

 private:
  struct RoutedService {
    ServiceName service;
    Route route;
  };

  // By host, then by path prefix.
  std::map<std::string, std::map<std::string, RoutedService, std::less<>>,
           std::less<>>
      hosts;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
