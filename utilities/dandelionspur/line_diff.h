#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_

#include <string>

namespace dandelionspur {

// The removed lines as "- line" and the added lines as "+ line", computed from
// the longest common subsequence. Empty if the texts have the same lines.
std::string LineDiff(const std::string& old_text, const std::string& new_text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_
