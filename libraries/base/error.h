#ifndef DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_
#define DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace dandelionspur {

// The error object of a Result, with a message for logs and terminals.
struct Error {
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

inline boost::leaf::error_id Fail(std::string message) {
  return boost::leaf::new_error(Error{std::move(message)});
}

// Calls `body`, which returns a Result, and returns its value. On failure,
// calls `handler` with the error message and returns the handler's value.
template <typename Body, typename Handler>
auto OrElse(Body&& body, Handler&& handler) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(body),
      [&](const Error& error) { return handler(error.message); },
      [&] { return handler(std::string("unknown error")); });
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_ERROR_H_
