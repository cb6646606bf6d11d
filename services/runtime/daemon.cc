#include "services/runtime/daemon.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <utility>

namespace dandelionspur {
namespace {

boost::asio::io_context& MainContext() {
  static boost::asio::io_context context(1);
  return context;
}

std::atomic<int> exit_code{0};
// Environment variable with the path of the settings file; --settings takes
// precedence.
constexpr const char* kSettingsVariable = "DANDELIONSPUR_CONFIG";

// How often the settings file is checked for changes without a signal.
constexpr std::chrono::seconds kReloadInterval{1};

}  // namespace

DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& description,
                                 int argument_count, char** arguments) {
  cxxopts::Options options(program, description);
  options.add_options()(
      "settings",
      "settings file, JSON with comments; default: $DANDELIONSPUR_CONFIG",
      cxxopts::value<std::string>(),
      "FILE")("check-config", "check the settings file and exit")(
      "help", "this text")("version", "print the version");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      std::exit(static_cast<int>(ExitCode::kSuccess));
    }
    if (parsed.count("version") > 0) {
      std::cout << program << " " << DANDELIONSPUR_VERSION << "\n";
      std::exit(static_cast<int>(ExitCode::kSuccess));
    }
    const char* from_environment = std::getenv(kSettingsVariable);
    std::string path = from_environment == nullptr ? "" : from_environment;
    if (parsed.count("settings") > 0) {
      path = parsed["settings"].as<std::string>();
    }
    if (path.empty()) {
      std::cerr << program << ": --settings FILE is missing\n";
      std::exit(static_cast<int>(ExitCode::kBadUsage));
    }
    return DaemonCommand{path, parsed.count("check-config") > 0};
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << program << ": " << exception.what() << "\n";
    std::exit(static_cast<int>(ExitCode::kBadUsage));
  }
}

std::uint64_t NewIncarnation() {
  constexpr unsigned kRandomBits = 20;
  std::random_device random;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::uint64_t low = random() & ((1U << kRandomBits) - 1U);
  return (static_cast<std::uint64_t>(now.count()) << kRandomBits) | low;
}

void Lifetime::Run(const std::function<void()>& stop,
                   const std::function<void()>& reload) {
  MainContext().restart();
  boost::asio::signal_set hangup(MainContext(), SIGHUP);
  std::function<void()> wait_for_hangup = [&] {
    hangup.async_wait([&](boost::system::error_code error, int) {
      if (error) return;
      reload();
      wait_for_hangup();
    });
  };
  wait_for_hangup();
  boost::asio::steady_timer reload_timer(MainContext());
  std::function<void()> schedule_reload = [&] {
    reload_timer.expires_after(kReloadInterval);
    reload_timer.async_wait([&](boost::system::error_code error) {
      if (error) return;
      reload();
      schedule_reload();
    });
  };
  schedule_reload();
  boost::asio::signal_set signals(MainContext(), SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    signals.clear();
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    stop();
  });
  const auto guard = boost::asio::make_work_guard(MainContext());
  MainContext().run();
}

void Lifetime::Finish(ExitCode code) {
  exit_code = static_cast<int>(code);
  MainContext().stop();
}

void Lifetime::FinishAfter(std::chrono::microseconds time, ExitCode code,
                           std::function<void()> report) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(MainContext(), time);
  timer->async_wait([timer, code, before = std::move(report)](
                        boost::system::error_code error) {
    if (error) return;
    before();
    Finish(code);
  });
}

ExitCode Lifetime::Result() { return static_cast<ExitCode>(exit_code.load()); }

}  // namespace dandelionspur
