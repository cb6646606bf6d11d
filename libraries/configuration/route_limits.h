#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_LIMITS_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_LIMITS_H_

#include "libraries/configuration/object_reader.h"

namespace dandelionspur {

// The values that the fields of a route may have, whoever writes them.
inline constexpr IntegerRange kRouteTimeoutRangeMilliseconds{1, 3'600'000};
inline constexpr IntegerRange kRoutePriorityRange{0, 1'000'000};
inline constexpr IntegerRange kRouteAttemptsRange{1, 1'000};
inline constexpr IntegerRange kObjectivePercentRange{0, 100'000};
inline constexpr IntegerRange kObjectiveLatencyRangeMilliseconds{0, 3'600'000};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_ROUTE_LIMITS_H_
