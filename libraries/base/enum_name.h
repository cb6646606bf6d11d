#ifndef DANDELIONSPUR_LIBRARIES_BASE_ENUM_NAME_H_
#define DANDELIONSPUR_LIBRARIES_BASE_ENUM_NAME_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cctype>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionspur {

// Converts an enumerator's name to its external form: "kQueueFull" becomes
// "queue_full".
inline std::string SnakeCase(std::string_view enumerator) {
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

// The external name of an enumerator, such as "queue_full". `Enum` must be
// described, and its values must count up from 0. The returned view stays valid
// until the process exits.
template <typename Enum>
std::string_view EnumName(Enum value) {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<Enum>>(
        [&](auto descriptor) { all.push_back(SnakeCase(descriptor.name)); });
    return all;
  }();
  return names.at(static_cast<std::size_t>(value));
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_ENUM_NAME_H_
