#include "services/entry/graceful_shutdown.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

// Time to send the last queued messages to other entries.
constexpr std::chrono::milliseconds kSendGrace{100};

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& core_context,
                                   const EntryCore& entry_core, EntryId own,
                                   WaitingCallers& waiting,
                                   std::function<void()> exit)
    : context(core_context),
      core(entry_core),
      self(own),
      waiting_callers(waiting),
      exit_process(std::move(exit)),
      timer(core_context) {}

void GracefulShutdown::Begin(HttpServer& server, const ShutdownSchedule& times,
                             ShutdownCause cause) {
  if (this->claimed.exchange(true)) return;
  this->callers = &server;
  this->schedule = times;
  this->shutdown_cause = cause;
  this->begun = true;
  this->callers->CloseAfterAnswers();
  asio::post(this->context, [this] { this->AwaitNextStep(); });
}

bool GracefulShutdown::CanAnswerWithin(Duration time) const {
  return !this->begun || this->schedule->CanAnswerWithin(
                             time, std::chrono::steady_clock::now());
}

void GracefulShutdown::AwaitNextStep() {
  const auto due = this->schedule->NextDue();
  if (!due || this->is_exiting) return;
  this->timer.expires_at(*due);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->TakeDueSteps();
    this->AwaitNextStep();
  });
}

void GracefulShutdown::TakeDueSteps() {
  if (!this->begun || this->is_exiting) return;
  const auto now = std::chrono::steady_clock::now();
  while (const auto step = this->schedule->TakeDue(now)) this->Take(*step);
  this->ExitIfAnswered();
}

void GracefulShutdown::Take(ShutdownStep step) {
  switch (step) {
    case ShutdownStep::kCloseCallers:
      this->CloseCallers();
      break;
    case ShutdownStep::kAnswerCallers:
      this->AnswerCallers();
      break;
    case ShutdownStep::kExit:
      this->is_overdue = true;
      break;
    case ShutdownStep::kExitUnanswered:
      this->ReportOverdue();
      this->Exit();
      break;
  }
}

void GracefulShutdown::CloseCallers() {
  const HttpServerLoad load = this->callers->Load();
  LogStateChange(CallersClosed{load.connections, load.unanswered});
  this->callers->Drain([this] {
    asio::post(this->context, [this] {
      LogStateChange(CallersAnswered{});
      this->all_callers_answered = true;
      this->ExitIfDrained();
    });
  });
}

void GracefulShutdown::AnswerCallers() {
  const HttpServerLoad load = this->callers->Load();
  LogStateChange(AnswersDue{load.connections, load.unanswered,
                            this->waiting_callers.size()});
  this->waiting_callers.CutShort(
      JobAnswer::MayHaveRun(Reason::kHomeUnreachable));
}

void GracefulShutdown::ReportOverdue() {
  const HttpServerLoad load = this->callers->Load();
  LogStateChange(DrainOverdue{load.connections, load.unanswered,
                              this->core.jobs_at_home(),
                              this->core.jobs_relayed(),
                              this->core.view().Find(this->self) != nullptr});
}

void GracefulShutdown::OnCoreDrained() {
  this->core_is_drained = true;
  this->ExitIfDrained();
}

void GracefulShutdown::ExitIfAnswered() {
  if (!this->is_overdue || this->is_exiting) return;
  // An open connection may have a request that is not read yet.
  if (this->callers->Load().connections > 0) return;
  this->ReportOverdue();
  this->Exit();
}

void GracefulShutdown::ExitIfDrained() {
  const bool core_is_done =
      this->core_is_drained || this->shutdown_cause == ShutdownCause::kRemoved;
  if (core_is_done && this->all_callers_answered) this->Exit();
}

void GracefulShutdown::Exit() {
  if (this->is_exiting) return;
  this->is_exiting = true;
  this->timer.expires_after(kSendGrace);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->exit_process();
  });
}

}  // namespace dandelionspur
