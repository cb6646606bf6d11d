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

// Faults that the stand-in injects.
struct TableFaults {
  // Rejects all calls with status 503.
  bool down = false;
  // Rejects all calls with status 429.
  bool busy = false;
  // Number of writes that take effect but are never answered.
  std::uint32_t lose_answers = 0;
  // Number of writes that are never answered and are delayed by
  // late_milliseconds. A delayed write takes effect if its condition still
  // holds by then.
  std::uint32_t late_writes = 0;
  std::uint32_t late_milliseconds = 0;
  std::uint32_t delay_milliseconds = 0;
};

// An in-memory stand-in for the platform's table service and object store,
// with fault injection. Must be used from one thread.
//
//   POST /-/rows-tx, GET /-/rows-get, /-/rows-feed    rows
//   PUT  /-/blob-put/ID, GET /-/blob-get/ID, /-/blob-list, DELETE
//        /-/blob-drop/ID                              objects
//   PUT  /faults      {"down", "busy", "lose_answers", "late_writes",
//                      "late_ms", "delay_ms", "drop_history"}
//   PUT  /operator    writes a row of the operators' table: {"key", "value"}
//   GET  /statistics  number of operations since the start
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
  // A long poll without changes to return yet.
  struct PendingFeed {
    PendingFeed(HttpResponder answer, boost::asio::io_context& thread)
        : responder(std::move(answer)), timer(thread) {}

    std::string table;
    std::uint64_t after = 0;
    HttpResponder responder;
    boost::asio::steady_timer timer;
  };

  void Serve(const HttpRequest& request, const HttpResponder& responder);
  void Transact(const HttpRequest& request, const HttpResponder& responder);
  // Applies a transaction if its conditions hold. Returns the answer.
  HttpResponse Apply(const nlohmann::json& transaction);
  void Write(const RowName& name, const std::string& value);
  void Remove(const RowName& name);
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
  std::list<PendingFeed> feeds;
  std::map<std::string, std::string> objects;
  // The oldest revision from which changes can be returned.
  std::uint64_t history_start = 0;
  std::uint64_t revision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t object_writes = 0;
  TableFaults faults;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_TABLE_STAND_IN_TABLE_STORE_H_
