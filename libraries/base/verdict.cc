#include "libraries/base/verdict.h"

#include <boost/mp11.hpp>
#include <cctype>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

std::string ToSnakeCase(std::string_view enumerator) {
  std::string result;
  for (const char character : enumerator.substr(1)) {
    if (std::isupper(static_cast<unsigned char>(character)) == 0) {
      result.push_back(character);
      continue;
    }
    if (!result.empty()) result.push_back('_');
    result.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
  }
  return result;
}

template <typename Enum>
std::vector<std::string> SnakeCaseNames() {
  std::vector<std::string> names;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Enum>>(
      [&](auto descriptor) { names.push_back(ToSnakeCase(descriptor.name)); });
  return names;
}

}  // namespace

std::string_view ReasonName(Reason reason) {
  static const std::vector<std::string> names = SnakeCaseNames<Reason>();
  return names.at(static_cast<std::size_t>(reason));
}

std::string_view VerdictName(Verdict verdict) {
  static const std::vector<std::string> names = SnakeCaseNames<Verdict>();
  return names.at(static_cast<std::size_t>(verdict));
}

}  // namespace dandelionspur
