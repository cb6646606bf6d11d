#ifndef DANDELIONSPUR_LIBRARIES_RECORDING_REPLAYER_H_
#define DANDELIONSPUR_LIBRARIES_RECORDING_REPLAYER_H_

#include <memory>
#include <string>
#include <vector>

#include "libraries/protocol/codec.h"
#include "libraries/protocol/parse_json.h"
#include "libraries/recording/segment.h"

namespace dandelionspur {

// Replays the segments of one process, in order, on a new core and checks that
// each event has the same effects as recorded.
template <typename Core>
class Replayer {
 public:
  // Replays one segment and calls `visit(now, event, effects)` after each step.
  // Returns the number of steps. Fails at the first step that can't be decoded
  // or whose effects differ, and if records are missing before the segment.
  // `source` names the segment in error messages.
  template <typename Visitor>
  Result<std::uint64_t> Run(const Segment& segment, const std::string& source,
                            Visitor&& visit) {
    if (!this->core) {
      BOOST_LEAF_AUTO(settings,
                      RecordCodec::FromMessagePack<typename Core::Settings>(
                          segment.header.settings));
      this->core = std::make_unique<Core>(settings);
    }
    if (segment.header.first_record != this->steps) {
      return Fail(source + ": starts at record " +
                  std::to_string(segment.header.first_record) +
                  ", expected record " + std::to_string(this->steps) +
                  ": records are missing");
    }
    for (const RecordedStep& step : segment.steps) {
      BOOST_LEAF_CHECK(this->RunStep(step, source, visit));
    }
    return static_cast<std::uint64_t>(segment.steps.size());
  }

 private:
  template <typename Visitor>
  Result<void> RunStep(const RecordedStep& step, const std::string& source,
                       Visitor&& visit) {
    BOOST_LEAF_AUTO(
        event, RecordCodec::FromMessagePack<typename Core::Event>(step.event));
    const std::vector<typename Core::Effect> effects =
        this->core->Handle(event, step.now);
    if (DigestOf(RecordCodec::ToMessagePack(effects)) != step.effects_digest) {
      return Fail(source + ": record " + std::to_string(this->steps) +
                  ": the effects differ from the recorded ones; replayed: " +
                  DumpForDisplay(NamedCodec::Encode(effects)) +
                  "; event: " + DumpForDisplay(NamedCodec::Encode(event)));
    }
    ++this->steps;
    visit(step.now, event, effects);
    return {};
  }

  std::unique_ptr<Core> core;
  std::uint64_t steps = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_RECORDING_REPLAYER_H_
