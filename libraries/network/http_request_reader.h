#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_REQUEST_READER_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_REQUEST_READER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libraries/network/arriving_body.h"
#include "libraries/network/http_limits.h"
#include "libraries/network/http_messages.h"

namespace dandelionspur {

// How far the request that is being read has come.
enum class HttpReadState { kIncomplete, kComplete, kRefused };

// Splits the bytes of one connection into requests, however they arrive. Its
// memory is bounded by the limits, and its work by the bytes that it gets. Has
// no socket.
class HttpRequestReader {
 public:
  // `configured` must outlive the reader.
  explicit HttpRequestReader(const HttpLimits& configured);

  // Where the next bytes belong; never empty while the state is kIncomplete.
  [[nodiscard]] boost::asio::mutable_buffer Room();
  // Appends the first `received` bytes of Room().
  void Add(std::size_t received) { this->buffer.commit(received); }
  // Reads on in what has been received. Bytes behind a complete request wait
  // for the next one. After kRefused the reader is of no more use.
  HttpReadState Parse();
  // Returns the complete request and begins the next one.
  HttpRequest Take();

  // The status with which to refuse the request, after kRefused.
  [[nodiscard]] unsigned refusal_status() const;
  // The limit that the request exceeded; nothing if it is malformed.
  [[nodiscard]] std::optional<HttpLimit> exceeded() const {
    return this->limit;
  }
  // Whether bytes have been received that no returned request contains.
  [[nodiscard]] bool HasBytes() const;
  // Whether the header of the request is complete.
  [[nodiscard]] bool HasHeader() const;
  // The memory that the reader holds, about.
  [[nodiscard]] std::size_t held_bytes() const;

 private:
  using Parser = boost::beast::http::request_parser<ArrivingBody>;

  void Begin();
  HttpReadState Refuse(const boost::system::error_code& error);
  HttpReadState RefuseFor(HttpLimit reached);
  [[nodiscard]] bool ExceedsHeader() const;
  [[nodiscard]] bool ExceedsFraming() const;

  const HttpLimits& limits;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  // The bytes of this request that the parser has consumed.
  std::uint64_t consumed = 0;
  std::optional<HttpLimit> limit;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_REQUEST_READER_H_
