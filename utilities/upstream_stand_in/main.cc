#include <boost/asio/post.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "services/runtime/daemon.h"
#include "utilities/upstream_stand_in/stand_in_upstream.h"

namespace dandelionspur {
namespace {

ExitCode Serve(const UpstreamOptions& options) {
  ThreadGroup threads(1);
  StandInUpstream upstream(options, threads.First());
  const HttpHandler handler = [&](const HttpRequest& request,
                                  const HttpResponder& responder) {
    upstream.Handle(request, responder);
  };
  return OrElse(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(server, HttpServer::Create({"127.0.0.1", options.port},
                                                   threads, handler));
        boost::asio::post(threads.First(), [&] { upstream.Announce(); });
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
  cxxopts::Options options("upstream-stand-in",
                           "Stands in for a worker's upstream in tests.");
  options.add_options()("port", "port on loopback",
                        cxxopts::value<std::uint16_t>())(
      "agent-port", "admin port of the agent", cxxopts::value<std::uint16_t>())(
      "service", "service name",
      cxxopts::value<std::string>()->default_value("demo"))(
      "rack", "rack name",
      cxxopts::value<std::string>()->default_value("rack-1"))(
      "slots", "tasks at once",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "slowness", "factor on every task's time",
      cxxopts::value<double>()->default_value("1"))("help", "this text");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return static_cast<int>(dandelionspur::Serve(
        {parsed["port"].as<std::uint16_t>(),
         parsed["agent-port"].as<std::uint16_t>(),
         parsed["service"].as<std::string>(), parsed["rack"].as<std::string>(),
         parsed["slots"].as<std::uint32_t>(),
         parsed["slowness"].as<double>()}));
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "upstream-stand-in: " << exception.what() << "\n";
    return static_cast<int>(dandelionspur::ExitCode::kBadUsage);
  }
}
