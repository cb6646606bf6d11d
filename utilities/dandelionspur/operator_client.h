#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_OPERATOR_CLIENT_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_OPERATOR_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/network/http_client.h"
#include "utilities/dandelionspur/record_archive.h"

namespace dandelionspur {

struct AdminReply {
  // 0 where no answer came.
  unsigned status = 0;
  std::string body;
  // The body as JSON; null where it is none.
  nlohmann::json json;
};

// Waits for single requests to admin ports and to the platform.
class OperatorClient {
 public:
  AdminReply Send(const Endpoint& endpoint, boost::beast::http::verb verb,
                  const std::string& path, const std::string& body);

  // All records that can be reached: those in the object store at `table`,
  // and what the live processes that `entry` knows have not sent yet.
  Result<RecordArchive> CollectRecords(const Endpoint& entry,
                                       const Endpoint& table);

 private:
  // The admin endpoints of all processes that an entry knows.
  std::vector<Endpoint> LiveProcesses(const Endpoint& entry);
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_OPERATOR_CLIENT_H_
