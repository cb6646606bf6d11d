#ifndef DANDELIONSPUR_SERVICES_RUNTIME_RECORD_UPLOADER_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_RECORD_UPLOADER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "libraries/configuration/settings.h"
#include "libraries/recording/recorder.h"
#include "libraries/telemetry/metrics.h"
#include "platform/table_client.h"

namespace dandelionspur {

// Sets the gauges for lost records and for segments not yet stored.
void SetRecordingGauges(Metrics& metrics, std::uint64_t lost,
                        std::size_t unsent, std::size_t held_bytes);

// Sets the gauges for log lines written, left out and lost.
void SetLogGauges(Metrics& metrics);

// Records a core's steps and uploads the segments to the object store, one at a
// time and below the configured rate except during Flush(). Steps are only
// queued by the calling thread; all other work is done on the given io_context.
template <typename Core>
class RecordUploader {
 public:
  RecordUploader(boost::asio::io_context& thread,
                 const Endpoint& table_endpoint, ProcessRole role,
                 std::uint64_t process,
                 const typename Core::Settings& core_settings,
                 const RecordingSettings& configured, Metrics& counters)
      : context(thread),
        table(thread, table_endpoint),
        recorder(role, process, core_settings, configured.spool_bytes),
        settings(configured),
        metrics(counters),
        batch_timer(thread),
        close_timer(thread) {
    boost::asio::post(this->context, [this, process] {
      this->ScheduleBatch();
      this->ScheduleClose(FirstCloseAfter(process, this->settings));
    });
  }

  // Applies changed settings. Safe from any thread.
  void Reconfigure(const Endpoint& table_endpoint,
                   const RecordingSettings& changed) {
    boost::asio::post(this->context, [this, table_endpoint, changed] {
      this->table.SetEndpoint(table_endpoint);
      this->settings = changed;
      this->recorder.LimitSpool(changed.spool_bytes);
    });
  }

  // Adds a step; must be called in the order of the steps, from any thread. The
  // recorder's thread takes the steps in batches, since waking it for each one
  // would cost more than the step itself.
  void Record(typename Core::Event event, Timestamp now,
              std::vector<typename Core::Effect> effects) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->pending.push_back({std::move(event), now, std::move(effects)});
  }

  // Passes all segments that are not yet in the object store.
  void ReadUnsent(std::function<void(std::vector<FinishedSegment>)> callback) {
    boost::asio::post(this->context, [this, done = std::move(callback)] {
      this->CloseSegment();
      done({this->recorder.unsent().begin(), this->recorder.unsent().end()});
    });
  }

  // Uploads all remaining segments, then calls back. If an upload fails, calls
  // back without uploading the rest.
  void Flush(std::function<void()> callback) {
    boost::asio::post(this->context, [this, done = std::move(callback)] {
      this->CloseSegment();
      this->on_flushed = done;
      this->StoreOldest();
    });
  }

 private:
  struct PendingStep {
    typename Core::Event event;
    Timestamp now;
    std::vector<typename Core::Effect> effects;
  };

  using SteadyClock = std::chrono::steady_clock;

  static constexpr std::chrono::milliseconds kBatchInterval{50};

  // Processes that start together close their segments at different times.
  static Duration FirstCloseAfter(std::uint64_t process,
                                  const RecordingSettings& configured) {
    constexpr std::int64_t kPhases = 64;
    const auto phase = static_cast<std::int64_t>(process % kPhases) + 1;
    return configured.write_interval * phase / kPhases;
  }

  void RecordPending() {
    std::vector<PendingStep> batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->pending);
    }
    for (const PendingStep& step : batch) {
      this->recorder.Record(step.event, step.now, step.effects);
    }
  }

  void CloseSegment() {
    this->RecordPending();
    this->recorder.Close();
  }

  void ScheduleBatch() {
    this->batch_timer.expires_after(kBatchInterval);
    this->batch_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      this->RecordPending();
      const bool may_store = !this->storing && !this->on_flushed &&
                             SteadyClock::now() >= this->next_store;
      if (may_store) this->StoreOldest();
      this->ScheduleBatch();
    });
  }

  // A segment is also closed, earlier, by its size.
  void ScheduleClose(Duration delay) {
    this->close_timer.expires_after(delay);
    this->close_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      this->CloseSegment();
      SetRecordingGauges(this->metrics, this->recorder.lost_records(),
                         this->recorder.unsent().size(),
                         this->recorder.held_bytes());
      this->ScheduleClose(this->settings.write_interval);
    });
  }

  // The time in which `bytes` may be stored at the configured rate.
  [[nodiscard]] Duration TimeFor(std::size_t bytes) const {
    constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
    const std::uint64_t microseconds =
        bytes * kMicrosecondsPerSecond / this->settings.bytes_per_second;
    return Duration{static_cast<std::int64_t>(microseconds)};
  }

  void StoreOldest() {
    const FinishedSegment* segment = this->recorder.Oldest();
    if (segment == nullptr) {
      if (this->on_flushed) this->on_flushed();
      return;
    }
    this->storing = true;
    this->next_store =
        SteadyClock::now() + this->TimeFor(segment->bytes.size());
    this->table.PutObject(segment->object_key, segment->bytes,
                          [this, key = segment->object_key](bool written) {
                            this->storing = false;
                            if (written) this->recorder.MarkStored(key);
                            if (!this->on_flushed) return;
                            if (written) {
                              this->StoreOldest();
                            } else {
                              this->on_flushed();
                            }
                          });
  }

  boost::asio::io_context& context;
  TableClient table;
  Recorder<Core> recorder;
  RecordingSettings settings;
  Metrics& metrics;
  boost::asio::steady_timer batch_timer;
  boost::asio::steady_timer close_timer;
  // Whether a segment is being uploaded, and the earliest time for the next.
  bool storing = false;
  SteadyClock::time_point next_store;
  std::function<void()> on_flushed;
  std::mutex mutex;
  // Guarded by `mutex`.
  std::vector<PendingStep> pending;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_RECORD_UPLOADER_H_
