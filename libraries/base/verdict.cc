#include "libraries/base/verdict.h"

#include "libraries/base/enum_name.h"

namespace dandelionspur {

std::string_view ReasonName(Reason reason) { return EnumName(reason); }

std::string_view VerdictName(Verdict verdict) { return EnumName(verdict); }

}  // namespace dandelionspur
