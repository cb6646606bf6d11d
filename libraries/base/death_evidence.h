#ifndef DANDELIONSPUR_LIBRARIES_BASE_DEATH_EVIDENCE_H_
#define DANDELIONSPUR_LIBRARIES_BASE_DEATH_EVIDENCE_H_

#include <boost/describe.hpp>

namespace dandelionspur {

// Why another process of the dispatcher is considered dead, or takes no action
// any more. A refused connection is no evidence: a network partition may refuse
// connections while the process runs on.
// kOtherIncarnation: another process answered at its address or registered with
// it.
// kDeparted: an agent had announced that it leaves, and had nothing left to do.
// kToldByEntry: another entry considers it dead.
// kLongSilence: it has been out of reach for the duplicate window.
BOOST_DEFINE_ENUM_CLASS(DeathEvidence, kOtherIncarnation, kDeparted,
                        kToldByEntry, kLongSilence)

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_DEATH_EVIDENCE_H_
