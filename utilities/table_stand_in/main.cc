#include <cxxopts.hpp>
#include <iostream>

#include "services/runtime/daemon.h"
#include "utilities/table_stand_in/table_store.h"

namespace dandelionspur {
namespace {

ExitCode Serve(std::uint16_t port) {
  ThreadGroup threads(1);
  TableStore store(threads.First());
  // One thread serves all requests, so the store needs no lock.
  const HttpHandler handler = [&](const HttpRequest& request,
                                  const HttpResponder& responder) {
    store.Handle(request, responder);
  };
  return OrElse(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(
            server, HttpServer::Create({"127.0.0.1", port}, threads, handler));
        Lifetime::Run([] { Lifetime::Finish(ExitCode::kSuccess); }, [] {});
        threads.Stop();
        return ExitCode::kSuccess;
      },
      [](const std::string& message) {
        std::cerr << message << "\n";
        return ExitCode::kFailure;
      });
}

}  // namespace
}  // namespace dandelionspur

int main(int argument_count, char** arguments) {
  cxxopts::Options options("table-stand-in",
                           "Stands in for the platform's table service and "
                           "object store in tests.");
  options.add_options()("port", "port on the loopback address",
                        cxxopts::value<std::uint16_t>())("help", "this text");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return static_cast<int>(
        dandelionspur::Serve(parsed["port"].as<std::uint16_t>()));
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "table-stand-in: " << exception.what() << "\n";
    return static_cast<int>(dandelionspur::ExitCode::kBadUsage);
  }
}
