#ifndef DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_
#define DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "libraries/network/http_server.h"

namespace dandelionspur {

// What the stand-in does instead of working as it should.
struct TableFaults {
  // Answers 503 and does nothing.
  bool down = false;
  // Closes the connection after a write took effect, this many times.
  std::uint32_t lose_answers = 0;
  std::uint32_t delay_milliseconds = 0;
};

// A stand-in for the platform's table service and object store, in memory,
// with faults on request. Used from one thread.
//
//   GET  /v1/rows/KEY            {"key", "version", "value"} or 404
//   PUT  /v1/rows/KEY            If-Match: VERSION (0: absent); 412 otherwise
//   GET  /v1/changes?after=N     rows written after revision N
//   PUT, GET /v1/objects/KEY     bytes
//   GET  /v1/objects?prefix=P    {"keys": [...]}
//   PUT  /faults                 {"down", "lose_answers", "delay_ms"}
//   GET  /statistics             operations so far
class TableStore {
 public:
  struct Reply {
    HttpResponse response;
    // The caller must get no answer at all.
    bool lost = false;
    std::uint32_t delay_milliseconds = 0;
  };

  Reply Handle(const HttpRequest& request);

 private:
  struct StoredRow {
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::string value;
  };

  HttpResponse HandleRow(const std::string& key, const HttpRequest& request,
                         bool& wrote);
  HttpResponse HandleObject(const std::string& key, const HttpRequest& request);
  [[nodiscard]] HttpResponse ListObjects(const std::string& prefix) const;
  [[nodiscard]] HttpResponse ListChanges(std::uint64_t after) const;
  HttpResponse SetFaults(const std::string& body);
  [[nodiscard]] HttpResponse Statistics() const;

  std::map<std::string, StoredRow> rows;
  std::map<std::string, std::string> objects;
  std::uint64_t revision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t object_writes = 0;
  TableFaults faults;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_
