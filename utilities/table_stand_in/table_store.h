#ifndef DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_
#define DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "libraries/network/http_server.h"

namespace dandelionspur {

// What the stand-in does instead of working as it should.
struct TableFaults {
  // Answers 503 and does nothing.
  bool down = false;
  // Answers 429 and does nothing.
  bool busy = false;
  // Never answers a write that took effect, this many times.
  std::uint32_t lose_answers = 0;
  // Never answers a write, and does it later if its condition still holds,
  // this many times.
  std::uint32_t late_writes = 0;
  std::uint32_t late_milliseconds = 0;
  std::uint32_t delay_milliseconds = 0;
};

// A stand-in for the platform's table service and object store, in memory,
// with faults on request. Used from one thread.
//
//   POST /-/rows-tx, GET /-/rows-get, /-/rows-feed    rows
//   PUT  /-/blob-put/ID, GET /-/blob-get/ID, /-/blob-list, DELETE
//        /-/blob-drop/ID                              objects
//   PUT  /faults      {"down", "busy", "lose_answers", "late_writes",
//                      "late_ms", "delay_ms", "drop_history"}
//   PUT  /operator    writes a row of the operators: {"key", "value"}
//   GET  /statistics  operations so far
class TableStore {
 public:
  explicit TableStore(boost::asio::io_context& thread);
  TableStore(const TableStore&) = delete;
  TableStore& operator=(const TableStore&) = delete;

  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  using RowName = std::tuple<std::string, std::string, std::string>;
  struct StoredRow {
    std::uint64_t version = 0;
    std::string value;
  };
  struct Change {
    std::uint64_t revision = 0;
    RowName name;
  };
  // A feed that waits for a change.
  struct Waiting {
    Waiting(HttpResponder answer, boost::asio::io_context& thread)
        : responder(std::move(answer)), timer(thread) {}

    std::string table;
    std::uint64_t after = 0;
    HttpResponder responder;
    boost::asio::steady_timer timer;
  };

  void Serve(const HttpRequest& request, const HttpResponder& responder);
  void Transact(const HttpRequest& request, const HttpResponder& responder);
  // Applies a transaction; the answer.
  HttpResponse Apply(const nlohmann::json& transaction);
  void Write(const RowName& name, const std::string& value);
  void Feed(const HttpRequest& request, const HttpResponder& responder);
  void AnswerFeeds();
  [[nodiscard]] nlohmann::json RowJson(const RowName& name) const;
  [[nodiscard]] HttpResponse Changes(const std::string& table,
                                     std::uint64_t after) const;
  [[nodiscard]] HttpResponse ReadRows(std::string_view target) const;
  [[nodiscard]] HttpResponse RowsAnswer(nlohmann::json rows) const;
  void ServeObject(const HttpRequest& request, const HttpResponder& responder);
  [[nodiscard]] HttpResponse ListObjects(std::string_view target) const;
  HttpResponse SetFaults(const std::string& body);
  HttpResponse WriteOperatorRow(const std::string& body);
  [[nodiscard]] HttpResponse Statistics() const;

  boost::asio::io_context& context;
  std::map<RowName, StoredRow> rows;
  std::vector<Change> history;
  std::list<Waiting> feeds;
  std::map<std::string, std::string> objects;
  // Feeds from before this can't be served any more.
  std::uint64_t history_from = 0;
  std::uint64_t revision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t object_writes = 0;
  TableFaults faults;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_
