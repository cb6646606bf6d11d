#ifndef DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/protocol/codec.h"

namespace dandelionspur {

// Decodes a message from another process. Returns nothing if the bytes are not
// a valid message.
template <typename Message>
std::optional<Message> DecodeMessage(std::string_view body) {
  return OrElse(
      [&]() -> Result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, WireCodec::FromMessagePack<Message>(body));
        return std::optional<Message>(std::move(message));
      },
      [](const std::string&) { return std::optional<Message>(); });
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_MESSAGE_DECODING_H_
