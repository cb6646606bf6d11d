#ifndef DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_
#define DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace dandelionspur {

// What went wrong, for a person. Travels as the error object of a
// boost::leaf::result.
struct Error {
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

inline boost::leaf::error_id Fail(std::string message) {
  return boost::leaf::new_error(Error{std::move(message)});
}

// Runs `body`, which returns a Result; on failure calls `handler` with the
// message and returns what it returns.
template <typename Body, typename Handler>
auto OrElse(Body&& body, Handler&& handler) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(body),
      [&](const Error& error) { return handler(error.message); },
      [&] { return handler(std::string("unknown error")); });
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_
