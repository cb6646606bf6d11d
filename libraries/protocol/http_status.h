#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_HTTP_STATUS_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_HTTP_STATUS_H_

// The HTTP status codes of our interfaces, under the names of RFC 9110.
namespace dandelionspur::http_status {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kAccepted = 202;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kForbidden = 403;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kPreconditionFailed = 412;
inline constexpr unsigned kMisdirectedRequest = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kInternalServerError = 500;
inline constexpr unsigned kServiceUnavailable = 503;

}  // namespace dandelionspur::http_status

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_HTTP_STATUS_H_
