#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_

namespace dandelionspur {

// Evidence that no start message of a submission can ever take effect. Only
// the classes named here can make one, each after the check that its comment
// names, so an answer "not run" does not compile anywhere else.
class NotRunProof {
 private:
  NotRunProof() = default;

  // Checks a request before any other process has heard of it.
  friend class SubmissionValidator;
  // Hears from another entry and an agent that no higher ballot exists.
  friend class RefusalConfirmer;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_
