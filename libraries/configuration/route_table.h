#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "libraries/configuration/host_routes.h"
#include "libraries/configuration/service_document.h"
#include "libraries/configuration/text_hash.h"

namespace dandelionspur {

// Maps hosts and path prefixes to the routes of all services. A copy shares the
// routes, and a change of one service builds anew only the hosts that it names
// or named. All threads may read a table that is not modified any more.
//
// If two routes have the same host and prefix, the later one counts: within a
// service by the order of its list, otherwise by the services' names.
class RouteTable {
 public:
  struct Match {
    ServiceName service;
    const Route* route = nullptr;
    // The part of the path after the prefix.
    std::string_view rest;
  };

  // Replaces the routes of `service` by those of `document`.
  void Replace(const ServiceName& service,
               std::shared_ptr<const ServiceDocument> document);
  // Returns the route of `host` with the longest prefix of `path`. The match's
  // `route` is null if there is none. `path` and the table must outlive the
  // result.
  [[nodiscard]] Match Find(std::string_view host, std::string_view path) const;

 private:
  // The routes of one service, by host, in the order of its document.
  struct ServiceRoutes {
    ServiceName service;
    std::shared_ptr<const ServiceDocument> document;
    std::map<std::string_view, std::vector<const Route*>> hosts;
  };
  void BuildHost(const std::string& host);

  std::map<ServiceName, std::shared_ptr<const ServiceRoutes>> services;
  // The routes that these refer to belong to `services`.
  boost::unordered_flat_map<std::string, std::shared_ptr<const HostRoutes>,
                            TextHash, std::equal_to<>>
      hosts;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_TABLE_H_
