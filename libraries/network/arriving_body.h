#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_ARRIVING_BODY_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_ARRIVING_BODY_H_

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionspur {

// Bytes that arrive one after the other, in blocks, so that many large bodies
// that are never completed take no more than what has arrived, nor leave holes
// in the heap.
class ArrivedBytes {
 public:
  void Reserve(std::size_t bytes) {
    this->blocks.emplace_back().reserve(std::min(bytes, kBlockBytes));
  }

  void Append(std::string_view bytes) {
    this->total += bytes.size();
    while (!bytes.empty()) {
      if (this->blocks.empty() || this->blocks.back().size() == kBlockBytes) {
        this->AddBlock();
      }
      std::string& last = this->blocks.back();
      const std::size_t fitting =
          std::min(bytes.size(), kBlockBytes - last.size());
      last.append(bytes.substr(0, fitting));
      bytes.remove_prefix(fitting);
    }
  }

  [[nodiscard]] std::size_t size() const { return this->total; }
  // The memory that the bytes take, about.
  [[nodiscard]] std::size_t held_bytes() const {
    if (this->blocks.empty()) return 0;
    return (this->blocks.size() - 1) * kBlockBytes +
           this->blocks.back().capacity();
  }

  // Returns all bytes in one piece and leaves none.
  [[nodiscard]] std::string Take() {
    std::vector<std::string> taken = std::exchange(this->blocks, {});
    const std::size_t bytes = std::exchange(this->total, 0);
    if (taken.empty()) return {};
    std::string joined = std::move(taken.front());
    if (taken.size() == 1) return joined;
    joined.reserve(bytes);
    for (std::size_t i = 1; i < taken.size(); ++i) {
      joined.append(taken[i]);
      // Frees the block.
      taken[i] = std::string();
    }
    return joined;
  }

 private:
  static constexpr std::size_t kBlockBytes = 65'536;

  void AddBlock() {
    // The first one grows with its bytes, since most bodies are small.
    const bool first = this->blocks.empty();
    this->blocks.emplace_back();
    if (!first) this->blocks.back().reserve(kBlockBytes);
  }

  std::vector<std::string> blocks;
  std::size_t total = 0;
};

// Passes the body that Beast's parser reads on to ArrivedBytes. The names are
// the ones that the parser asks for.
class ArrivingBodyReader {
 public:
  template <bool IsRequest, class Fields>
  ArrivingBodyReader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
                     ArrivedBytes& target)
      : body(target) {}

  void init(const boost::optional<std::uint64_t>& length,
            boost::system::error_code& error) {
    constexpr std::uint64_t kReservedBytes = 16'384;
    if (length && *length > 0 && *length <= kReservedBytes) {
      this->body.Reserve(*length);
    }
    error = {};
  }

  template <class Buffers>
  std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
    std::size_t bytes = 0;
    for (const auto part : boost::beast::buffers_range_ref(buffers)) {
      this->body.Append({static_cast<const char*>(part.data()), part.size()});
      bytes += part.size();
    }
    error = {};
    return bytes;
  }

  void finish(boost::system::error_code& error) { error = {}; }

 private:
  ArrivedBytes& body;
};

// A body that takes memory as its bytes arrive. Beast's string_body takes the
// announced length at once, which costs the sender nothing. The parser must
// have a body limit.
struct ArrivingBody {
  using value_type = ArrivedBytes;
  using reader = ArrivingBodyReader;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_ARRIVING_BODY_H_
