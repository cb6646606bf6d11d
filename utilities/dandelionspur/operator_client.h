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
  // HTTP status; 0 if the request was not answered.
  unsigned status = 0;
  std::string body;
  // The parsed body; null if the body is not valid JSON.
  nlohmann::json json;
};

// Sends blocking requests to admin ports and to the platform's object store.
class OperatorClient {
 public:
  AdminReply Send(const Endpoint& endpoint, boost::beast::http::verb verb,
                  const std::string& path, const std::string& body);

  // Collects the segments in the object store at `table` and those that the
  // connected processes listed by `entry` have not uploaded yet. Fails if the
  // object store does not answer or a segment cannot be decoded.
  Result<RecordArchive> CollectRecords(const Endpoint& entry,
                                       const Endpoint& table);

 private:
  // The admin endpoints of the view's entries and of the connected agents, from
  // the status of `entry`.
  std::vector<Endpoint> LiveProcesses(const Endpoint& entry);
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_OPERATOR_CLIENT_H_
