#include "libraries/network/http_request_reader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMinimumReadBytes = 512;
constexpr std::size_t kMaximumReadBytes = 65'536;
// A larger buffer is freed once it is empty between two requests.
constexpr std::size_t kRetainedBufferBytes = 4096;
// A field of a header takes about this many times its bytes as an object.
constexpr std::uint64_t kFieldFactor = 4;

// The parser needs a line of the header, the size and extension of a chunk, or
// the trailer in one piece.
std::size_t BufferBytes(const HttpLimits& limits) {
  return std::size_t{2} * limits.header_bytes;
}

}  // namespace

HttpRequestReader::HttpRequestReader(const HttpLimits& configured)
    : limits(configured), buffer(BufferBytes(configured)) {
  this->Begin();
}

void HttpRequestReader::Begin() {
  this->parser.emplace();
  this->parser->body_limit(this->limits.body_bytes);
  // The parser's own limit depends on how the bytes arrive.
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->buffer.max_size()));
  this->consumed = 0;
}

boost::asio::mutable_buffer HttpRequestReader::Room() {
  const std::size_t held = this->buffer.size();
  const std::size_t usual =
      std::max(kMinimumReadBytes, this->buffer.capacity() - held);
  const std::size_t free = this->buffer.max_size() - held;
  return this->buffer.prepare(std::min({usual, free, kMaximumReadBytes}));
}

HttpReadState HttpRequestReader::Parse() {
  boost::system::error_code error;
  while (this->buffer.size() > 0 && !this->parser->is_done()) {
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    this->consumed += used;
    if (error == http::error::need_more) break;
    if (error) return this->Refuse(error);
    // The parser stops behind the header, whose size is known then.
    if (this->parser->eager() || !this->HasHeader()) continue;
    if (this->consumed > this->limits.header_bytes) {
      return this->RefuseFor(HttpLimit::kHeader);
    }
    this->parser->eager(true);
  }
  if (this->ExceedsHeader()) return this->RefuseFor(HttpLimit::kHeader);
  if (this->ExceedsFraming()) return this->RefuseFor(HttpLimit::kFraming);
  return this->parser->is_done() ? HttpReadState::kComplete
                                 : HttpReadState::kIncomplete;
}

HttpRequest HttpRequestReader::Take() {
  http::request<ArrivingBody> message = this->parser->release();
  const bool oversized = this->buffer.size() == 0 &&
                         this->buffer.capacity() > kRetainedBufferBytes;
  if (oversized) this->buffer.shrink_to_fit();
  this->Begin();
  return HttpRequest(std::move(message.base()), message.body().Take());
}

HttpReadState HttpRequestReader::Refuse(
    const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return this->RefuseFor(HttpLimit::kHeader);
  }
  if (error == http::error::body_limit) {
    return this->RefuseFor(HttpLimit::kBody);
  }
  return HttpReadState::kRefused;
}

HttpReadState HttpRequestReader::RefuseFor(HttpLimit reached) {
  this->limit = reached;
  return HttpReadState::kRefused;
}

unsigned HttpRequestReader::refusal_status() const {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kTooLarge = 413;
  constexpr unsigned kHeaderTooLarge = 431;
  if (!this->limit) return kBadRequest;
  return *this->limit == HttpLimit::kHeader ? kHeaderTooLarge : kTooLarge;
}

bool HttpRequestReader::ExceedsHeader() const {
  return !this->HasHeader() &&
         this->consumed + this->buffer.size() >= this->limits.header_bytes;
}

bool HttpRequestReader::ExceedsFraming() const {
  const bool full = this->buffer.size() == this->buffer.max_size();
  if (full && !this->parser->is_done()) return true;
  const std::uint64_t body = this->parser->get().body().size();
  return this->consumed >
         body + this->limits.header_bytes + this->limits.framing_bytes;
}

bool HttpRequestReader::HasBytes() const {
  return this->buffer.size() > 0 || this->parser->got_some();
}

bool HttpRequestReader::HasHeader() const {
  return this->parser->is_header_done();
}

std::size_t HttpRequestReader::held_bytes() const {
  const ArrivedBytes& body = this->parser->get().body();
  const std::uint64_t fields =
      this->consumed > body.size() ? this->consumed - body.size() : 0;
  return this->buffer.capacity() + body.held_bytes() +
         kFieldFactor *
             std::min<std::uint64_t>(fields, 2 * this->limits.header_bytes);
}

}  // namespace dandelionspur
