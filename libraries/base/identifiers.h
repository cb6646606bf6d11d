#ifndef DANDELIONSPUR_LIBRARIES_BASE_IDENTIFIERS_H_
#define DANDELIONSPUR_LIBRARIES_BASE_IDENTIFIERS_H_

#include <cstdint>
#include <string>

#include "libraries/base/strong_type.h"

namespace dandelionspur {

// One incarnation of an entry process. A restarted entry has a new id, so no
// process continues under an id after the state in memory was lost.
using EntryId = StrongType<std::uint64_t, struct EntryIdTag>;
// One incarnation of an agent process.
using AgentId = StrongType<std::uint64_t, struct AgentIdTag>;
// Number of a view; increases by one with each membership change.
using Epoch = StrongType<std::uint64_t, struct EpochTag>;
using BucketId = StrongType<std::uint32_t, struct BucketIdTag>;
// Position of a task in its job, from 0.
using TaskIndex = StrongType<std::uint32_t, struct TaskIndexTag>;
// A caller's HTTP request, unique within one entry process.
using RequestId = StrongType<std::uint64_t, struct RequestIdTag>;
using DocumentVersion = StrongType<std::uint64_t, struct DocumentVersionTag>;
using ServiceName = StrongType<std::string, struct ServiceNameTag>;
using ClientAccount = StrongType<std::string, struct ClientAccountTag>;
// A set of jobs that are likely to fail in the same way: those of one client
// account that arrived by one route. 0: unknown.
using JobGroupId = StrongType<std::uint64_t, struct JobGroupIdTag>;
using DataCentreName = StrongType<std::string, struct DataCentreNameTag>;
// Identifies one edit of a document. After a write without an answer, the
// writer reads the document and recognises its own edit by this id.
using ChangeId = StrongType<std::string, struct ChangeIdTag>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_IDENTIFIERS_H_
