#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_FENCING_TOKENS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_FENCING_TOKENS_H_

#include <cstdint>

#include "platform/upstream_calls.h"

namespace dandelionspur {

// The fencing tokens of a session: the one that orders carry now, and which of
// the earlier ones were sent to the present incarnation of the upstream.
class FencingTokens {
 public:
  // `first`: higher than all tokens that earlier processes have used.
  explicit FencingTokens(FencingToken first) : token(first) {}

  [[nodiscard]] FencingToken current() const { return this->token; }
  // Orders under earlier tokens have no effect once the upstream has received
  // the higher one.
  void Raise() { this->token = FencingToken(this->token.value() + 1); }
  // Raises the token after the upstream has refused an order under `refused`.
  void Replace(FencingToken refused) {
    // The token has been raised already if another order under the same token
    // was refused before.
    if (refused != this->token) return;
    this->token = FencingToken(this->token.value() + kIncrement);
  }
  // Raises the token for another incarnation, so that orders to earlier ones
  // have no effect on it.
  void BeginIncarnation() {
    this->Raise();
    this->first_of_incarnation = this->token;
  }
  // Whether an order under this token was sent to the present incarnation.
  [[nodiscard]] bool IsOfIncarnation(FencingToken sent) const {
    return sent >= this->first_of_incarnation;
  }

 private:
  // A refused token is raised by this much, since the upstream does not report
  // the highest token that it has received.
  static constexpr std::uint64_t kIncrement = 1000;

  FencingToken token;
  FencingToken first_of_incarnation;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_FENCING_TOKENS_H_
