#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SUSPICION_PHASE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SUSPICION_PHASE_H_

#include <boost/describe.hpp>

namespace dandelionspur {

// kBegun: two groups are kept apart from now on. kEnded: no longer.
BOOST_DEFINE_ENUM_CLASS(SuspicionPhase, kBegun, kEnded)

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SUSPICION_PHASE_H_
