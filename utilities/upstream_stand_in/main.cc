#include <boost/asio/post.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "libraries/base/resources.h"
#include "services/runtime/daemon.h"
#include "utilities/upstream_stand_in/platform_worker.h"
#include "utilities/upstream_stand_in/stand_in_upstream.h"

namespace dandelionspur {
namespace {

// Serves a StandInUpstream or a PlatformWorker until the process is stopped.
template <typename Upstream, typename Options>
ExitCode Serve(const Options& options) {
  ThreadGroup threads(1);
  Upstream upstream(options, threads.First());
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
  options.add_options()("port", "port on the loopback address",
                        cxxopts::value<std::uint16_t>())(
      "agent-port", "admin port of the agent", cxxopts::value<std::uint16_t>())(
      "service", "service name",
      cxxopts::value<std::string>()->default_value("demo"))(
      "rack", "rack name",
      cxxopts::value<std::string>()->default_value("rack-1"))(
      "slots", "number of tasks that may run at once",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "platform",
      "speak the protocol of the users' platform; --agent-port is "
      "the port on which the agent accepts announcements")(
      "slowness", "factor on the duration of each task",
      cxxopts::value<double>()->default_value("1"))("help", "this text");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("platform") > 0) {
      dandelionspur::WorkerOptions worker;
      worker.port = parsed["port"].as<std::uint16_t>();
      worker.agent_port = parsed["agent-port"].as<std::uint16_t>();
      worker.id = "i-" + std::to_string(worker.port);
      worker.service = parsed["service"].as<std::string>();
      worker.millicores = parsed["slots"].as<std::uint32_t>() *
                          dandelionspur::kMillicoresPerCore;
      return static_cast<int>(
          dandelionspur::Serve<dandelionspur::PlatformWorker>(worker));
    }
    return static_cast<int>(
        dandelionspur::Serve<dandelionspur::StandInUpstream>(
            dandelionspur::UpstreamOptions{
                parsed["port"].as<std::uint16_t>(),
                parsed["agent-port"].as<std::uint16_t>(),
                parsed["service"].as<std::string>(),
                parsed["rack"].as<std::string>(),
                parsed["slots"].as<std::uint32_t>(),
                parsed["slowness"].as<double>()}));
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "upstream-stand-in: " << exception.what() << "\n";
    return static_cast<int>(dandelionspur::ExitCode::kBadUsage);
  }
}
