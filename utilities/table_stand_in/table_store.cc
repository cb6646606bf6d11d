#include "utilities/table_stand_in/table_store.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kUnavailable = 503;

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

// The path below /v1/KIND/, which may hold slashes.
std::string KeyOf(std::string_view target, std::string_view prefix) {
  std::string_view key = target.substr(0, target.find('?'));
  key.remove_prefix(std::min(prefix.size(), key.size()));
  return std::string(key);
}

}  // namespace

TableStore::Reply TableStore::Handle(const HttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (target == "/faults") return {this->SetFaults(request.body())};
  if (target == "/statistics") return {this->Statistics()};
  Reply reply;
  reply.delay_milliseconds = this->faults.delay_milliseconds;
  if (this->faults.down) {
    reply.response = ProblemResponse(kUnavailable, "down by request");
    return reply;
  }
  bool wrote = false;
  if (target.starts_with("/v1/rows/")) {
    reply.response =
        this->HandleRow(KeyOf(target, "/v1/rows/"), request, wrote);
  } else if (target.starts_with("/v1/changes")) {
    ++this->reads;
    reply.response = this->ListChanges(ToNumber(QueryValue(target, "after")));
  } else if (target.starts_with("/v1/objects/")) {
    reply.response = this->HandleObject(KeyOf(target, "/v1/objects/"), request);
  } else if (target.starts_with("/v1/objects")) {
    ++this->reads;
    reply.response = this->ListObjects(QueryValue(target, "prefix"));
  } else {
    reply.response = ProblemResponse(kNotFound, "no such path");
  }
  if (wrote && this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    reply.lost = true;
  }
  return reply;
}

HttpResponse TableStore::HandleRow(const std::string& key,
                                   const HttpRequest& request, bool& wrote) {
  const auto found = this->rows.find(key);
  if (request.method() == http::verb::get) {
    ++this->reads;
    if (found == this->rows.end()) {
      return ProblemResponse(kNotFound, "no such row");
    }
    return JsonResponse(kOk, {{"key", key},
                              {"version", found->second.version},
                              {"value", found->second.value}});
  }
  ++this->writes;
  const std::uint64_t current =
      found == this->rows.end() ? 0 : found->second.version;
  const auto condition = request.find(http::field::if_match);
  if (condition == request.end()) {
    return ProblemResponse(kBadRequest, "If-Match is required");
  }
  const std::string expected(condition->value().data(),
                             condition->value().size());
  if (ToNumber(expected) != current) {
    return JsonResponse(kPreconditionFailed, {{"version", current}});
  }
  ++this->revision;
  this->rows[key] = {current + 1, this->revision, request.body()};
  wrote = true;
  return JsonResponse(kOk, {{"version", current + 1}});
}

HttpResponse TableStore::HandleObject(const std::string& key,
                                      const HttpRequest& request) {
  if (request.method() == http::verb::put) {
    ++this->object_writes;
    this->objects[key] = request.body();
    return JsonResponse(kOk, {{"key", key}});
  }
  ++this->reads;
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    return ProblemResponse(kNotFound, "no such object");
  }
  return MakeHttpResponse(kOk, "application/octet-stream", found->second);
}

HttpResponse TableStore::ListObjects(const std::string& prefix) const {
  nlohmann::json keys = nlohmann::json::array();
  for (auto position = this->objects.lower_bound(prefix);
       position != this->objects.end() && position->first.starts_with(prefix);
       ++position) {
    keys.push_back(position->first);
  }
  return JsonResponse(kOk, {{"keys", keys}});
}

HttpResponse TableStore::ListChanges(std::uint64_t after) const {
  nlohmann::json changed = nlohmann::json::array();
  for (const auto& [key, row] : this->rows) {
    if (row.revision <= after) continue;
    changed.push_back(
        {{"key", key}, {"version", row.version}, {"value", row.value}});
  }
  return JsonResponse(kOk, {{"revision", this->revision}, {"rows", changed}});
}

HttpResponse TableStore::SetFaults(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return ProblemResponse(kBadRequest, "not an object");
  this->faults.down = json.value("down", false);
  this->faults.lose_answers = json.value("lose_answers", 0U);
  this->faults.delay_milliseconds = json.value("delay_ms", 0U);
  return JsonResponse(kOk, {{"faults", "set"}});
}

HttpResponse TableStore::Statistics() const {
  return JsonResponse(kOk, {{"reads", this->reads},
                            {"writes", this->writes},
                            {"object_writes", this->object_writes},
                            {"objects", this->objects.size()}});
}

}  // namespace dandelionspur
