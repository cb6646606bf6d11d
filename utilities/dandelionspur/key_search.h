#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_KEY_SEARCH_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_KEY_SEARCH_H_

#include <algorithm>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <optional>
#include <type_traits>
#include <variant>
#include <vector>

#include "libraries/base/job_key.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {

// Whether `value`, or any described member, item or alternative nested in it,
// equals `key`.
template <typename T>
bool ContainsKey(const T& value, const JobKey& key) {
  if constexpr (std::is_same_v<T, JobKey>) {
    return value == key;
  } else if constexpr (codec_detail::IsOptional<T>::value) {
    return value && ContainsKey(*value, key);
  } else if constexpr (codec_detail::IsVector<T>::value) {
    return std::any_of(value.begin(), value.end(), [&](const auto& item) {
      return ContainsKey(item, key);
    });
  } else if constexpr (codec_detail::IsVariant<T>::value) {
    return std::visit(
        [&](const auto& alternative) { return ContainsKey(alternative, key); },
        value);
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    bool found = false;
    boost::mp11::mp_for_each<codec_detail::MembersOf<T>>([&](auto member) {
      found = found || ContainsKey(value.*member.pointer, key);
    });
    return found;
  } else {
    return false;
  }
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_KEY_SEARCH_H_
