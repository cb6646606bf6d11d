#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_LINK_LIVENESS_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_LINK_LIVENESS_H_

#include <chrono>

#include "libraries/base/time.h"

namespace dandelionspur {

// The bounds within which a dialer replaces a link on which the other process
// is silent. A sound link answers within kAnswerInterval, heartbeats are sent
// more often than that, and the sum of the bounds stays below the default of
// `suspect_after_ms`, so that a link is replaced before leases end.
// docs/design/liveness.md compares this with other ways.

// The acceptor answers received bytes at least this often.
inline constexpr Duration kAnswerInterval = std::chrono::milliseconds(250);
// Bytes without an answer for this long make a dialer open a second connection.
// Each link adds a random part of kAnswerLimitSpread, so that the links of many
// processes that fall silent together aren't dialed together.
inline constexpr Duration kAnswerLimit = std::chrono::milliseconds(550);
inline constexpr Duration kAnswerLimitSpread = std::chrono::milliseconds(150);
// The old link is given this long to be heard after the process has answered on
// the second connection: a process that was frozen answers both.
inline constexpr Duration kAnswerGrace = std::chrono::milliseconds(200);
// After a process has proved to be late and its link sound, no second
// connection is opened for this long; doubled each time up to the maximum, so
// that an overloaded process isn't burdened with them.
inline constexpr Duration kAttemptPause = std::chrono::milliseconds(1000);
inline constexpr Duration kMaximumAttemptPause =
    std::chrono::milliseconds(4000);
// How long a connection attempt may take, and how long a new connection may
// remain without the other process's Hello. A frozen process accepts
// connections too, so the second bound is longer.
inline constexpr Duration kConnectLimit = std::chrono::milliseconds(1000);
inline constexpr Duration kHelloLimit = std::chrono::milliseconds(3000);
// The same for an acceptor, which a dialer tells nothing before it has decided
// that the new connection is to replace its link.
inline constexpr Duration kAcceptedHelloLimit =
    std::chrono::milliseconds(10000);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_LINK_LIVENESS_H_
