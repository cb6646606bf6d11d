#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_VICTIMS_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_VICTIMS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/network/http_session.h"

namespace dandelionspur {

using SessionPointer = std::shared_ptr<HttpSession>;

// The connections to close so that at most `most` are left, and some more, so
// that the choice isn't made anew for each new one: of the caller's address
// with the most of them, those that have left a request or an answer unfinished
// for some seconds, then those that have been idle for the longest, then those
// with other unfinished requests. Connections that are ending already count as
// closed. None whose request is being handled; nothing if there are only such.
std::optional<std::vector<SessionPointer>> ChooseForRoom(
    std::vector<SessionPointer> open, std::size_t most,
    HttpSessionProgress::Clock::time_point now);

// The connections to close first if those of `open` hold more than `limit`
// bytes: the ones that hold the most, with a request that is unfinished or an
// answer that has not been taken for some seconds.
std::vector<SessionPointer> ChooseForRelief(
    std::vector<SessionPointer> open, std::size_t limit,
    HttpSessionProgress::Clock::time_point now);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_VICTIMS_H_
