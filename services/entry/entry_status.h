#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_STATUS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_STATUS_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "libraries/base/identifiers.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// What an entry tells operators of itself and of the members, agents and
// documents that it knows; see docs/api.md. Used on the core's thread only.
class EntryStatus {
 public:
  EntryStatus(const EntryCore& entry_core, EntryId own, std::uint32_t buckets)
      : core(entry_core), self(own), bucket_count(buckets) {}

  [[nodiscard]] nlohmann::json Encode() const;

 private:
  [[nodiscard]] std::uint32_t CountActiveBuckets() const;
  [[nodiscard]] nlohmann::json EncodeMembers() const;
  [[nodiscard]] nlohmann::json EncodeAgents() const;
  [[nodiscard]] nlohmann::json EncodeDocuments() const;
  [[nodiscard]] nlohmann::json EncodeEvacuated() const;
  [[nodiscard]] nlohmann::json EncodeInterference() const;

  const EntryCore& core;
  EntryId self;
  std::uint32_t bucket_count;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_STATUS_H_
