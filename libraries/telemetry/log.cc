#include "libraries/telemetry/log.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace dandelionspur {
namespace {

constexpr LogSettings kDefaultSettings{300, 10};
// The capacity of the writer thread's queue, in batches with the lines of at
// most 50 ms each. When it is full, the oldest batch is dropped.
constexpr std::size_t kQueuedBatches = 32;
// The minimum time between two summaries of suppressed lines.
constexpr Duration kSummaryInterval = std::chrono::seconds(1);
// How long FinishLog waits for the last lines to be written.
constexpr std::chrono::milliseconds kFinishTimeout{200};

// The number of suppressed lines of one kind since the previous summary.
struct LinesSuppressed {
  static constexpr const char* kName = "lines_left_out";
  std::string kind;
  std::uint64_t count = 0;
};
BOOST_DESCRIBE_STRUCT(LinesSuppressed, (), (kind, count))

// Writes to the file descriptor directly instead of through stdio, because a
// blocked writer would hold the lock of stdio and block the process's exit.
class StandardOutputSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  [[nodiscard]] std::uint64_t batches() const { return this->written; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const char* next = message.payload.data();
    std::size_t left = message.payload.size();
    while (left > 0) {
      const ssize_t count = ::write(STDOUT_FILENO, next, left);
      if (count < 0 && errno == EINTR) continue;
      // Drops the rest: there is nowhere else to report a failed write.
      if (count <= 0) break;
      next += count;
      left -= static_cast<std::size_t>(count);
    }
    ++this->written;
  }
  void flush_() override {}

 private:
  std::atomic<std::uint64_t> written{0};
};

// Limits, collects and writes the log lines of this process.
class Log {
 public:
  explicit Log(const std::string& name)
      : program(name),
        budget(kDefaultSettings.lines_per_second),
        sink(std::make_shared<StandardOutputSink>()),
        pool(std::make_shared<spdlog::details::thread_pool>(kQueuedBatches, 1)),
        logger(std::make_shared<spdlog::async_logger>(
            name, this->sink, this->pool,
            spdlog::async_overflow_policy::overrun_oldest)) {}

  [[nodiscard]] std::string_view name() const { return this->program; }

  void Configure(const LogSettings& settings) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->budget.SetRate(settings.lines_per_second);
  }

  bool Admit(LogCategory log_category, std::string_view kind, std::size_t count,
             Timestamp now) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->budget.Admit(log_category, count, now)) return true;
    this->suppressed[std::string(kind)] += count;
    this->counts.suppressed += count;
    return false;
  }

  void Append(const std::string& lines, std::size_t count) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->collected.append(lines);
    this->counts.written += count;
  }

  void Flush(Timestamp now) {
    std::string batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->Summarize(now);
      batch.swap(this->collected);
    }
    if (!batch.empty()) this->logger->log(spdlog::level::info, batch);
  }

  void Finish() {
    this->Flush(WallClockNow() + kSummaryInterval);
    const auto deadline = std::chrono::steady_clock::now() + kFinishTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      if (this->pool->queue_size() == 0) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    // The queue may be empty while its last batch is being written.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  [[nodiscard]] LogCounts Count() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    LogCounts now = this->counts;
    now.dropped_batches = this->pool->overrun_counter();
    return now;
  }

 private:
  void Summarize(Timestamp now) {
    if (this->suppressed.empty() || now < this->next_summary) return;
    this->next_summary = now + kSummaryInterval;
    for (const auto& [kind, count] : this->suppressed) {
      this->collected.append(
          LogLine(this->program, LinesSuppressed{kind, count}, now));
    }
    this->suppressed.clear();
  }

  std::string program;
  std::mutex mutex;
  // The following are guarded by the mutex, down to `next_summary`.
  LineBudget budget;
  std::string collected;
  std::map<std::string, std::uint64_t> suppressed;
  LogCounts counts;
  Timestamp next_summary;
  std::shared_ptr<StandardOutputSink> sink;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

// The process's log, or null before InitializeLogging. Never destroyed, because
// joining its writer could block the process's exit.
Log*& ProcessLog() {
  static Log* log = nullptr;
  return log;
}

}  // namespace

void InitializeLogging(const std::string& program) {
  ProcessLog() = new Log(program);
}

void ConfigureLogging(const LogSettings& settings) {
  if (ProcessLog() != nullptr) ProcessLog()->Configure(settings);
}

void FlushLog() {
  if (ProcessLog() != nullptr) ProcessLog()->Flush(WallClockNow());
}

void FinishLog() {
  if (ProcessLog() != nullptr) ProcessLog()->Finish();
}

LogCounts GetLogCounts() {
  return ProcessLog() == nullptr ? LogCounts() : ProcessLog()->Count();
}

std::string_view LogProgram() {
  return ProcessLog() == nullptr ? "" : ProcessLog()->name();
}

bool AdmitLines(LogCategory log_category, std::string_view kind,
                std::size_t count, Timestamp now) {
  return ProcessLog() != nullptr &&
         ProcessLog()->Admit(log_category, kind, count, now);
}

void AppendLines(const std::string& lines, std::size_t count) {
  if (ProcessLog() != nullptr) ProcessLog()->Append(lines, count);
}

}  // namespace dandelionspur
