#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_

#include <string>

namespace dandelionspur {

// The lines that differ, as "- old" and "+ new", by longest common
// subsequence. Empty where the texts are the same.
std::string LineDiff(const std::string& old_text, const std::string& new_text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_LINE_DIFF_H_
