#ifndef DANDELIONSPUR_SERVICES_ENTRY_SERVING_STATE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_SERVING_STATE_H_

#include <cstddef>
#include <map>
#include <memory>

#include "libraries/configuration/route_table.h"
#include "libraries/configuration/service_document.h"
#include "libraries/network/rcu_value.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// A service document in force: parsed, and in its source form.
struct ServedDocument {
  std::shared_ptr<const ServiceDocument> parsed;
  VersionedDocument source;
};

// State that the HTTP threads read without a lock. The core's thread publishes
// a new copy when a view or a document comes into force; copies share the
// documents and the routes.
struct ServingState {
  View view;
  std::map<ServiceName, std::shared_ptr<const ServedDocument>> documents;
  RouteTable routes;

  // Takes over a document that has come into force. A version that repeats the
  // text in force costs no parsing. Returns false, without any change, if the
  // text doesn't parse.
  bool Adopt(const VersionedDocument& document);
  [[nodiscard]] std::size_t RoutesOf(const ServiceName& service) const;
};

using PublishedServingState = RcuValue<ServingState>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_SERVING_STATE_H_
