#include "services/runtime/daemon.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <utility>

namespace dandelionspur {
namespace {

std::atomic<int> exit_code{0};
// Environment variable with the path of the settings file; --settings takes
// precedence.
constexpr const char* kSettingsVariable = "DANDELIONSPUR_CONFIG";

// How often the settings file is checked for changes without a signal.
constexpr std::chrono::seconds kReloadInterval{1};

// The main thread's event loop. Catches signals from its creation on, also
// while no server runs: the process of a server that begins anew must not miss
// that it is to stop. All handlers run on the main thread, and use no server
// but the one that runs.
class MainLoop {
 public:
  static MainLoop& Instance() {
    static MainLoop loop;
    return loop;
  }

  void Run(const std::function<void()>& stop,
           const std::function<void()>& reload) {
    this->on_stop = stop;
    this->on_reload = reload;
    this->context.restart();
    if (this->stop_requested) this->on_stop();
    this->ScheduleReload();
    const auto guard = boost::asio::make_work_guard(this->context);
    this->context.run();
    ++this->finished_runs;
    this->reload_timer.cancel();
    this->end_timer.cancel();
    this->on_stop = nullptr;
    this->on_reload = nullptr;
  }

  // Whether a signal to stop has come, also one that no run has handled yet.
  bool IsStopRequested() {
    this->context.restart();
    this->context.poll();
    return this->stop_requested;
  }

  void End() { this->context.stop(); }

  // Safe from any thread during Run().
  void CallAfter(std::chrono::microseconds time, std::function<void()> call) {
    boost::asio::post(
        this->context, [this, time, run = this->finished_runs.load(),
                        callback = std::move(call)] {
          this->end_timer.expires_after(time);
          this->end_timer.async_wait(
              [this, run, callback](boost::system::error_code error) {
                // The server of a run that has ended is gone.
                if (!error && run == this->finished_runs) callback();
              });
        });
  }

 private:
  MainLoop() {
    this->AwaitStop();
    this->AwaitHangup();
  }

  void AwaitStop() {
    this->stops.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      this->stops.clear();
      std::signal(SIGTERM, SIG_DFL);
      std::signal(SIGINT, SIG_DFL);
      this->stop_requested = true;
      if (this->on_stop) this->on_stop();
    });
  }

  void AwaitHangup() {
    this->hangups.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      if (this->on_reload) this->on_reload();
      this->AwaitHangup();
    });
  }

  void ScheduleReload() {
    this->reload_timer.expires_after(kReloadInterval);
    this->reload_timer.async_wait([this](boost::system::error_code error) {
      if (error || !this->on_reload) return;
      this->on_reload();
      this->ScheduleReload();
    });
  }

  boost::asio::io_context context{1};
  boost::asio::signal_set stops{this->context, SIGTERM, SIGINT};
  boost::asio::signal_set hangups{this->context, SIGHUP};
  boost::asio::steady_timer reload_timer{this->context};
  boost::asio::steady_timer end_timer{this->context};
  bool stop_requested = false;
  // Of the server that runs; empty if none does.
  std::function<void()> on_stop;
  std::function<void()> on_reload;
  std::atomic<std::uint64_t> finished_runs = 0;
};

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

void Lifetime::CatchSignals() { MainLoop::Instance(); }

void Lifetime::Run(const std::function<void()>& stop,
                   const std::function<void()>& reload) {
  MainLoop::Instance().Run(stop, reload);
}

bool Lifetime::IsStopRequested() {
  return MainLoop::Instance().IsStopRequested();
}

void Lifetime::Finish(ExitCode code) {
  exit_code = static_cast<int>(code);
  MainLoop::Instance().End();
}

void Lifetime::FinishAfter(std::chrono::microseconds time, ExitCode code,
                           std::function<void()> report) {
  MainLoop::Instance().CallAfter(time, [code, before = std::move(report)] {
    before();
    Finish(code);
  });
}

ExitCode Lifetime::Result() { return static_cast<ExitCode>(exit_code.load()); }

}  // namespace dandelionspur
