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
                        std::size_t unsent);

// Sets the gauges for log lines written, left out and lost.
void SetLogGauges(Metrics& metrics);

// Records a core's steps and uploads the segments to the object store, at most
// one per `write_interval` except during Flush(). Steps are only queued by the
// calling thread; all other work is done on the given io_context.
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
        write_timer(thread) {
    boost::asio::post(this->context, [this] {
      this->ScheduleBatch();
      this->ScheduleWrite();
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

  static constexpr std::chrono::milliseconds kBatchInterval{50};

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
      this->ScheduleBatch();
    });
  }

  void ScheduleWrite() {
    this->write_timer.expires_after(this->settings.write_interval);
    this->write_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      this->CloseSegment();
      SetRecordingGauges(this->metrics, this->recorder.lost_records(),
                         this->recorder.unsent().size());
      if (!this->on_flushed) this->StoreOldest();
      this->ScheduleWrite();
    });
  }

  void StoreOldest() {
    const FinishedSegment* segment = this->recorder.Oldest();
    if (segment == nullptr) {
      if (this->on_flushed) this->on_flushed();
      return;
    }
    this->table.PutObject(segment->object_key, segment->bytes,
                          [this, key = segment->object_key](bool written) {
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
  boost::asio::steady_timer write_timer;
  std::function<void()> on_flushed;
  std::mutex mutex;
  // Guarded by `mutex`.
  std::vector<PendingStep> pending;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_RECORD_UPLOADER_H_
