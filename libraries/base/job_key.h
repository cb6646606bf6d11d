#ifndef DANDELIONSPUR_LIBRARIES_BASE_JOB_KEY_H_
#define DANDELIONSPUR_LIBRARIES_BASE_JOB_KEY_H_

#include <boost/describe.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// 128-bit digest of a service name and a caller's idempotency key.
struct JobKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  static JobKey FromText(const ServiceName& service, std::string_view text);
  [[nodiscard]] std::string ToHex() const;
  auto operator<=>(const JobKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(JobKey, (), (high, low))

// The bucket of a key among `bucket_count` buckets.
BucketId BucketOf(const JobKey& key, std::uint32_t bucket_count);

// The creation time in a UUIDv7 (RFC 9562, section 5.7), with a resolution of
// 1 ms; nothing for any other text, whose age is unknown.
std::optional<Timestamp> CreationTime(std::string_view text);

}  // namespace dandelionspur

template <>
struct std::hash<dandelionspur::JobKey> {
  std::size_t operator()(const dandelionspur::JobKey& key) const {
    return key.low;
  }
};

#endif  // DANDELIONSPUR_LIBRARIES_BASE_JOB_KEY_H_
