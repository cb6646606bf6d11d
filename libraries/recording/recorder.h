#ifndef DANDELIONSPUR_LIBRARIES_RECORDING_RECORDER_H_
#define DANDELIONSPUR_LIBRARIES_RECORDING_RECORDER_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/protocol/codec.h"
#include "libraries/recording/segment.h"

namespace dandelionspur {

struct FinishedSegment {
  std::string object_key;
  std::string bytes;
  std::uint64_t records = 0;
};

// Records the steps of one core in segments. Finished segments are spooled in
// memory until the object store has stored them. If the spool exceeds its limit
// in bytes, the oldest segments are dropped and their records counted as lost.
// Not thread-safe.
template <typename Core>
class Recorder {
 public:
  // `process` is the EntryId or AgentId, `spool_limit` is in bytes.
  Recorder(ProcessRole role, std::uint64_t process,
           const typename Core::Settings& settings, std::size_t spool_limit)
      : maximum_spool(spool_limit) {
    this->header.role = role;
    this->header.process = process;
    this->header.settings = RecordCodec::ToMessagePack(settings);
    this->Open();
  }

  void Record(const typename Core::Event& event, Timestamp now,
              const std::vector<typename Core::Effect>& effects) {
    RecordedStep step;
    step.now = now;
    step.event = RecordCodec::ToMessagePack(event);
    step.effects_digest = DigestOf(RecordCodec::ToMessagePack(effects));
    AppendStep(this->open, step);
    ++this->open_records;
    if (this->open.size() >= kMaximumSegment) this->Close();
  }

  // Finishes the open segment, if it has records, and opens the next one.
  void Close() {
    if (this->open_records == 0) return;
    SealSegment(this->open);
    this->spooled_bytes += this->open.size();
    this->spool.push_back({SegmentObjectKey(this->header),
                           std::move(this->open), this->open_records});
    this->header.first_record += this->open_records;
    ++this->header.number;
    this->Open();
    while (this->spooled_bytes > this->maximum_spool &&
           this->spool.size() > 1) {
      this->lost += this->spool.front().records;
      this->DropOldest();
    }
  }

  // Changes the limit of the spool, from the next finished segment on. At least
  // one segment stays in the spool, whatever its size.
  void LimitSpool(std::size_t bytes) { this->maximum_spool = bytes; }

  // The oldest segment that has not been stored; null if there is none.
  [[nodiscard]] const FinishedSegment* Oldest() const {
    return this->spool.empty() ? nullptr : &this->spool.front();
  }
  // Removes the oldest segment from the spool if it has this object key. To be
  // called once the object store has stored it.
  void MarkStored(const std::string& object_key) {
    const bool is_oldest =
        !this->spool.empty() && this->spool.front().object_key == object_key;
    if (is_oldest) this->DropOldest();
  }
  [[nodiscard]] const std::deque<FinishedSegment>& unsent() const {
    return this->spool;
  }
  // The memory that the segments take that are not stored yet.
  [[nodiscard]] std::size_t held_bytes() const {
    return this->spooled_bytes + this->open.size();
  }
  // Number of records that were dropped from the spool before they were stored.
  [[nodiscard]] std::uint64_t lost_records() const { return this->lost; }

 private:
  // Before compression. Small enough that storing a segment does not fill the
  // link of a small instance for long.
  static constexpr std::size_t kMaximumSegment = 64U * 1024U;

  void Open() {
    this->open = EncodeSegmentStart(this->header);
    this->open_records = 0;
  }
  void DropOldest() {
    this->spooled_bytes -= this->spool.front().bytes.size();
    this->spool.pop_front();
  }

  std::size_t maximum_spool;
  SegmentHeader header;
  std::string open;
  std::uint64_t open_records = 0;
  std::deque<FinishedSegment> spool;
  std::size_t spooled_bytes = 0;
  std::uint64_t lost = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_RECORDING_RECORDER_H_
