#ifndef DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_

#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/decision_log/log_events.h"
#include "libraries/protocol/codec.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

// Decodes a message from another process. Returns nothing, which closes the
// connection, if the bytes are not a valid message or decoding throws. This is
// the boundary of the handlers of frames: what follows the decoding is a core's
// step.
template <typename Message, typename Codec = WireCodec>
std::optional<Message> DecodeMessage(std::string_view body) {
  try {
    return OrElse(
        [&]() -> Result<std::optional<Message>> {
          BOOST_LEAF_AUTO(message,
                          Codec::template FromMessagePack<Message>(body));
          return std::optional<Message>(std::move(message));
        },
        [](const std::string&) { return std::optional<Message>(); });
  } catch (const std::exception& exception) {
    LogEvent(LogCategory::kFailure, HandlerFailed{"frame", exception.what()});
    return std::nullopt;
  }
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_
