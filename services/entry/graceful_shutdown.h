#ifndef DANDELIONSPUR_SERVICES_ENTRY_GRACEFUL_SHUTDOWN_H_
#define DANDELIONSPUR_SERVICES_ENTRY_GRACEFUL_SHUTDOWN_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/describe.hpp>
#include <functional>
#include <optional>

#include "libraries/entry_core/entry_core.h"
#include "libraries/network/http_server.h"
#include "services/entry/shutdown_schedule.h"
#include "services/entry/waiting_callers.h"

namespace dandelionspur {

// What makes an entry end its server.
// kStopped: the process is to stop. The core hands its buckets over.
// kRemoved: the other entries have removed this one from the view. Nothing is
// left to hand over.
BOOST_DEFINE_ENUM_CLASS(ShutdownCause, kStopped, kRemoved)

// Takes the steps of an entry's graceful shutdown. Used on the core's thread
// only, except where noted.
class GracefulShutdown {
 public:
  // `exit` ends the process; it is called once.
  GracefulShutdown(boost::asio::io_context& core_context,
                   const EntryCore& entry_core, EntryId own,
                   WaitingCallers& waiting, std::function<void()> exit);
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  // Begins the shutdown, from any thread. `server` serves the callers. Does
  // nothing if the shutdown has begun for another cause.
  void Begin(HttpServer& server, const ShutdownSchedule& times,
             ShutdownCause cause);
  [[nodiscard]] bool has_begun() const { return this->begun; }
  // Whether a request that takes `time` can be answered before the process
  // ends.
  [[nodiscard]] bool CanAnswerWithin(Duration time) const;
  // Takes the steps that are due. Called before each event, since the timer of
  // a busy process runs behind the events that are queued.
  void TakeDueSteps();
  // The core has handed its buckets over and has no jobs left.
  void OnCoreDrained();

 private:
  void AwaitNextStep();
  void Take(ShutdownStep step);
  void CloseCallers();
  void AnswerCallers();
  void ReportOverdue();
  void ExitIfAnswered();
  void ExitIfDrained();
  void Exit();

  boost::asio::io_context& context;
  const EntryCore& core;
  EntryId self;
  WaitingCallers& waiting_callers;
  std::function<void()> exit_process;
  boost::asio::steady_timer timer;
  // Whether a call of Begin() goes on to set what follows, up to `begun`.
  std::atomic<bool> claimed = false;
  HttpServer* callers = nullptr;
  std::optional<ShutdownSchedule> schedule;
  ShutdownCause shutdown_cause = ShutdownCause::kStopped;
  std::atomic<bool> begun = false;
  bool core_is_drained = false;
  bool all_callers_answered = false;
  // Whether only open connections of callers delay the exit.
  bool is_overdue = false;
  bool is_exiting = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_GRACEFUL_SHUTDOWN_H_
