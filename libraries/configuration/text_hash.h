#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_TEXT_HASH_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_TEXT_HASH_H_

#include <functional>
#include <string_view>

namespace dandelionspur {

// Hashes the text of any kind of string, so that a map of strings finds a view.
struct TextHash : std::hash<std::string_view> {
  using is_transparent = void;
  // Tells the map that the hash needs no further mixing.
  using is_avalanching = void;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_TEXT_HASH_H_
