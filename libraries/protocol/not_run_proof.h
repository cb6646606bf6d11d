#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_

namespace dandelionspur {

// Proof that no start message of a submission can ever take effect. Only the
// friend classes below can create one, each after the check in its comment, so
// that answers with the verdict "not run" don't compile anywhere else.
class NotRunProof {
 private:
  NotRunProof() = default;

  // Rejects a request before it is sent to any other process.
  friend class SubmissionValidator;
  // Has another entry and an agent confirm that they have promised no higher
  // ballot.
  friend class RefusalConfirmer;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_NOT_RUN_PROOF_H_
