#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_HOST_ROUTES_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_HOST_ROUTES_H_

#include <boost/container/flat_set.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

#include "libraries/configuration/service_document.h"
#include "libraries/configuration/text_hash.h"

namespace dandelionspur {

// The routes of one host, by path prefix. Refers to routes and names that must
// outlive it.
class HostRoutes {
 public:
  struct Target {
    const ServiceName* service = nullptr;
    const Route* route = nullptr;
  };

  // Replaces a route with the same prefix.
  void Add(const ServiceName& service, const Route& route);
  // Returns the route with the longest prefix of `path`, or null. The cost
  // depends on the number of different lengths that prefixes have, and hardly
  // on the number of routes.
  [[nodiscard]] const Target* Find(std::string_view path) const;
  [[nodiscard]] bool IsEmpty() const { return this->targets.empty(); }

 private:
  boost::unordered_flat_map<std::string_view, Target, TextHash> targets;
  // The lengths of all prefixes, the longest first.
  boost::container::flat_set<std::size_t, std::greater<>> lengths;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_HOST_ROUTES_H_
