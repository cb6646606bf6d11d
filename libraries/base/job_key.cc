#include "libraries/base/job_key.h"

#include <xxhash.h>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <cstdio>
#include <stdexcept>

namespace dandelionspur {

JobKey JobKey::FromText(const ServiceName& service, std::string_view text) {
  std::string joined = service.value();
  joined.push_back('\0');
  joined.append(text);
  const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
  return JobKey{hash.high64, hash.low64};
}

std::string JobKey::ToHex() const {
  constexpr std::size_t kBufferSize = 33;
  char buffer[kBufferSize];
  std::snprintf(buffer, sizeof(buffer), "%016llx%016llx",
                static_cast<unsigned long long>(this->high),
                static_cast<unsigned long long>(this->low));
  return buffer;
}

BucketId BucketOf(const JobKey& key, std::uint32_t bucket_count) {
  return BucketId(static_cast<std::uint32_t>(key.high % bucket_count));
}

std::optional<Timestamp> CreationTime(std::string_view text) {
  constexpr std::size_t kUuidLength = 36;
  constexpr std::size_t kTimestampBytes = 6;
  constexpr std::size_t kVersionByte = 6;
  constexpr unsigned kVersionSeven = 7;
  if (text.size() != kUuidLength) return std::nullopt;
  boost::uuids::uuid uuid{};
  try {
    uuid = boost::uuids::string_generator()(text.begin(), text.end());
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
  if ((uuid.data[kVersionByte] >> 4U) != kVersionSeven) return std::nullopt;
  std::uint64_t milliseconds = 0;
  for (std::size_t i = 0; i < kTimestampBytes; ++i) {
    milliseconds = (milliseconds << 8U) | uuid.data[i];
  }
  return Timestamp(std::chrono::milliseconds(milliseconds));
}

}  // namespace dandelionspur
