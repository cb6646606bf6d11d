#include "utilities/dandelionspur/line_diff.h"

#include <algorithm>
#include <cstddef>
#include <sstream>
#include <vector>

namespace dandelionspur {
namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

}  // namespace

std::string LineDiff(const std::string& old_text, const std::string& new_text) {
  const std::vector<std::string> before = SplitLines(old_text);
  const std::vector<std::string> after = SplitLines(new_text);
  // common_length[i][j] is the length of the longest common_length subsequence
  // of before[i...] and after[j...].
  std::vector<std::vector<std::size_t>> common_length(
      before.size() + 1, std::vector<std::size_t>(after.size() + 1));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common_length[i][j] =
          before[i] == after[j]
              ? common_length[i + 1][j + 1] + 1
              : std::max(common_length[i + 1][j], common_length[i][j + 1]);
    }
  }
  std::string difference;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    const bool same =
        i < before.size() && j < after.size() && before[i] == after[j];
    if (same) {
      ++i;
      ++j;
    } else if (j >= after.size() ||
               (i < before.size() &&
                common_length[i + 1][j] >= common_length[i][j + 1])) {
      difference += "- " + before[i] + "\n";
      ++i;
    } else {
      difference += "+ " + after[j] + "\n";
      ++j;
    }
  }
  return difference;
}

}  // namespace dandelionspur
