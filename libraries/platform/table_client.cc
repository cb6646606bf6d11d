#include "libraries/platform/table_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr std::size_t kConnections = 2;

bool IsOk(const HttpResult& result) {
  return result.progress == HttpProgress::kAnswered &&
         result.response.result() == http::status::ok;
}

Row ReadRowJson(const nlohmann::json& json) {
  return Row{json.at("key").get<std::string>(),
             RowVersion(json.at("version").get<std::uint64_t>()),
             json.at("value").get<std::string>()};
}

// Parses what the platform sent; nothing where it is not what was asked for.
template <typename T, typename Parser>
std::optional<T> ParseAnswer(const HttpResult& result, Parser&& parser) {
  if (!IsOk(result)) return std::nullopt;
  try {
    return parser(nlohmann::json::parse(result.response.body()));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

TableClient::TableClient(boost::asio::io_context& context,
                         const Endpoint& endpoint)
    : client(HttpClient::Create(context, endpoint, kConnections)) {}

void TableClient::ReadRow(const std::string& key,
                          std::function<void(std::optional<Row>)> callback) {
  this->client->Send(
      MakeHttpRequest(http::verb::get, "/v1/rows/" + key, ""), kTimeout,
      [key, done = std::move(callback)](const HttpResult& result) {
        const bool absent = result.progress == HttpProgress::kAnswered &&
                            result.response.result() == http::status::not_found;
        if (absent) {
          done(Row{key, RowVersion(), ""});
          return;
        }
        done(ParseAnswer<Row>(result, ReadRowJson));
      });
}

void TableClient::ReadChanges(
    TableRevision after,
    std::function<void(std::optional<RowChanges>)> callback) {
  this->client->Send(
      MakeHttpRequest(http::verb::get,
                      "/v1/changes?after=" + std::to_string(after.value()), ""),
      kTimeout, [done = std::move(callback)](const HttpResult& result) {
        done(ParseAnswer<RowChanges>(result, [](const nlohmann::json& json) {
          RowChanges changes;
          changes.revision =
              TableRevision(json.at("revision").get<std::uint64_t>());
          for (const nlohmann::json& row : json.at("rows")) {
            changes.rows.push_back(ReadRowJson(row));
          }
          return changes;
        }));
      });
}

void TableClient::WriteRow(const Row& row, RowVersion expected,
                           std::function<void(WriteOutcome)> callback) {
  HttpRequest request =
      MakeHttpRequest(http::verb::put, "/v1/rows/" + row.key, row.value);
  request.set(http::field::if_match, std::to_string(expected.value()));
  this->client->Send(
      std::move(request), kTimeout,
      [done = std::move(callback)](const HttpResult& result) {
        if (IsOk(result)) {
          done(WriteOutcome::kWritten);
          return;
        }
        const bool conflict =
            result.progress == HttpProgress::kAnswered &&
            result.response.result() == http::status::precondition_failed;
        done(conflict ? WriteOutcome::kConflict : WriteOutcome::kUnknown);
      });
}

void TableClient::PutObject(const std::string& key, std::string bytes,
                            std::function<void(bool written)> callback) {
  this->client->Send(
      MakeHttpRequest(http::verb::put, "/v1/objects/" + key, std::move(bytes)),
      kTimeout, [done = std::move(callback)](const HttpResult& result) {
        done(IsOk(result));
      });
}

void TableClient::GetObject(
    const std::string& key,
    std::function<void(std::optional<std::string>)> callback) {
  this->client->Send(MakeHttpRequest(http::verb::get, "/v1/objects/" + key, ""),
                     kTimeout,
                     [done = std::move(callback)](const HttpResult& result) {
                       if (!IsOk(result)) {
                         done(std::nullopt);
                         return;
                       }
                       done(result.response.body());
                     });
}

void TableClient::ListObjects(
    const std::string& prefix,
    std::function<void(std::optional<std::vector<std::string>>)> callback) {
  this->client->Send(
      MakeHttpRequest(http::verb::get, "/v1/objects?prefix=" + prefix, ""),
      kTimeout, [done = std::move(callback)](const HttpResult& result) {
        done(ParseAnswer<std::vector<std::string>>(
            result, [](const nlohmann::json& json) {
              return json.at("keys").get<std::vector<std::string>>();
            }));
      });
}

}  // namespace dandelionspur
