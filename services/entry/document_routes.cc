#include "services/entry/document_routes.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "libraries/protocol/http_status.h"
#include "libraries/protocol/parse_json.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

// Returns why the text is not a valid document of `service`; nothing if it is.
std::optional<std::string> DocumentProblem(const ServiceName& service,
                                           const std::string& text) {
  return OrElse(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(document, ParseServiceDocument(text, "document"));
        if (document.service == service) return std::optional<std::string>();
        return std::optional<std::string>(
            "document: field \"service\" must be " + service.value());
      },
      [](const std::string& message) {
        return std::optional<std::string>(message);
      });
}

HttpResponse WriteResponse(const DocumentWriteResult& result) {
  const nlohmann::json version = {{"version", result.version.value()}};
  switch (result.state) {
    case DocumentWriteState::kWritten:
      return JsonResponse(http_status::kOk, version);
    case DocumentWriteState::kConflict:
      return JsonResponse(http_status::kConflict, version);
    case DocumentWriteState::kUnavailable:
      break;
  }
  return ProblemResponse(http_status::kServiceUnavailable,
                         "the table service does not answer; repeat the "
                         "change with the same change id");
}

}  // namespace

void DocumentRoutes::Handle(const std::vector<std::string>& parts,
                            const HttpRequest& request,
                            const HttpResponder& responder) {
  const bool is_get = request.method() == http::verb::get;
  if (parts.empty() && is_get) {
    this->List(responder);
    return;
  }
  const bool on_document = parts.size() == 2 && parts[1] == "document";
  if (on_document && is_get) {
    this->Get(ServiceName(parts[0]), responder);
  } else if (on_document && request.method() == http::verb::put) {
    this->Put(ServiceName(parts[0]), request, responder);
  } else if (parts.size() == 2 && parts[1] == "history" && is_get) {
    this->History(ServiceName(parts[0]), responder);
  } else {
    responder(ProblemResponse(http_status::kNotFound, "no such path"));
  }
}

void DocumentRoutes::List(const HttpResponder& responder) {
  nlohmann::json list = nlohmann::json::array();
  this->serving.Read([&](const ServingState& state) {
    for (const auto& [service, document] : state.documents) {
      list.push_back({{"service", service.value()},
                      {"version", document->source.version.value()}});
    }
  });
  responder(JsonResponse(http_status::kOk, list));
}

void DocumentRoutes::Get(const ServiceName& service,
                         const HttpResponder& responder) {
  std::optional<VersionedDocument> found;
  this->serving.Read([&](const ServingState& state) {
    const auto document = state.documents.find(service);
    if (document != state.documents.end()) found = document->second->source;
  });
  if (!found) {
    responder(ProblemResponse(http_status::kNotFound,
                              "no document names this service"));
    return;
  }
  responder(JsonResponse(http_status::kOk, {{"version", found->version.value()},
                                            {"text", found->text}}));
}

void DocumentRoutes::Put(const ServiceName& service, const HttpRequest& request,
                         const HttpResponder& responder) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::string change_id = QueryValue(target, "change_id");
  const std::optional<std::uint64_t> base =
      ParseNumber(QueryValue(target, "base_version"));
  if (change_id.empty() || !base) {
    responder(ProblemResponse(http_status::kBadRequest,
                              "change_id and base_version are required"));
    return;
  }
  // The id is stored within JSON.
  if (!IsUtf8(change_id)) {
    responder(
        ProblemResponse(http_status::kBadRequest, "change_id must be UTF-8"));
    return;
  }
  const std::optional<std::string> problem =
      DocumentProblem(service, request.body());
  if (problem) {
    responder(ProblemResponse(http_status::kBadRequest, *problem));
    return;
  }
  this->table.WriteDocument(service, DocumentVersion(*base), change_id,
                            request.body(),
                            [responder](const DocumentWriteResult& result) {
                              responder(WriteResponse(result));
                            });
}

void DocumentRoutes::History(const ServiceName& service,
                             const HttpResponder& responder) {
  this->table.ReadHistory(
      service,
      [responder](const std::optional<std::vector<StoredDocument>>& history) {
        if (!history) {
          responder(ProblemResponse(http_status::kServiceUnavailable,
                                    "the table service does not answer"));
          return;
        }
        nlohmann::json list = nlohmann::json::array();
        for (const StoredDocument& stored : *history) {
          list.push_back({{"version", stored.document.version.value()},
                          {"change_id", stored.change_id},
                          {"text", stored.document.text}});
        }
        responder(JsonResponse(http_status::kOk, list));
      });
}

}  // namespace dandelionspur
