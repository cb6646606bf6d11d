#include "libraries/network/frame_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <span>
#include <utility>

#include "libraries/network/socket_liveness.h"

namespace dandelionspur {
namespace {

// A larger send buffer is freed once it has been written.
constexpr std::size_t kRetainedBufferBytes = 65536;

}  // namespace

std::shared_ptr<FrameConnection> FrameConnection::Create(
    boost::asio::ip::tcp::socket socket) {
  PrepareSocket(socket, kInternalLiveness);
  return std::shared_ptr<FrameConnection>(
      new FrameConnection(std::move(socket)));
}

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket connected)
    : socket(std::move(connected)), answers(AnswerWatch::Clock::now()) {}

void FrameConnection::Start(Handlers callbacks) {
  this->handlers = std::move(callbacks);
  this->Receive();
}

void FrameConnection::Send(std::string_view body) {
  this->SendEncoded(
      [body = std::string(body)](std::string& bytes) { bytes.append(body); });
}

void FrameConnection::Close() {
  this->closing = true;
  boost::asio::post(
      this->socket.get_executor(),
      [self = this->shared_from_this()] { self->End(std::nullopt); });
}

void FrameConnection::Receive() {
  const std::span<char> space = this->incoming.Room();
  this->socket.async_read_some(
      boost::asio::buffer(space.data(), space.size()),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t received) {
        if (self->ended) return;
        if (error) {
          self->EndAfter(error);
          return;
        }
        self->NoteReceived();
        self->incoming.Add(received);
        if (self->DeliverFrames()) self->Receive();
      });
}

bool FrameConnection::DeliverFrames() {
  while (const auto body = this->incoming.Next()) {
    if (this->closing) return false;
    if (!this->handlers.frame(*body)) {
      this->End(FrameError::kMalformed);
      return false;
    }
  }
  if (!this->incoming.error()) return true;
  this->End(this->incoming.error());
  return false;
}

void FrameConnection::WriteNext() {
  this->writing.swap(this->outgoing);
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->writing),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t /*sent*/) {
        if (error) {
          self->kernel_timeout = error == boost::asio::error::timed_out;
          self->End(std::nullopt);
          return;
        }
        self->unsent -= self->writing.size();
        self->writing.clear();
        if (self->writing.capacity() > kRetainedBufferBytes) {
          self->writing.shrink_to_fit();
        }
        if (!self->outgoing.empty() && !self->ended) self->WriteNext();
      });
}

bool FrameConnection::IsSilent() {
  const auto now = AnswerWatch::Clock::now();
  if (!this->answer_limit ||
      !this->answers.IsOverdue(*this->answer_limit, now)) {
    return false;
  }
  // A process that was late or frozen hasn't read yet what has arrived.
  boost::system::error_code error;
  return this->socket.available(error) == 0;
}

void FrameConnection::NoteSent(std::size_t bytes) {
  this->unsent += bytes;
  const auto now = AnswerWatch::Clock::now();
  const bool overdue =
      this->answer_limit && this->answers.IsOverdue(*this->answer_limit, now);
  this->answers.NoteSent(bytes, now);
  if (overdue && this->handlers.unanswered) this->handlers.unanswered();
}

void FrameConnection::NoteReceived() {
  const auto now = AnswerWatch::Clock::now();
  this->answers.NoteReceived(now);
  const bool due = this->answer_interval &&
                   this->answers.SinceSent(now) >= *this->answer_interval;
  if (due) this->Send("");
}

void FrameConnection::EndAfter(const boost::system::error_code& error) {
  this->kernel_timeout = error == boost::asio::error::timed_out;
  const bool truncated =
      !this->kernel_timeout && this->incoming.HasPartialFrame();
  this->End(truncated ? std::optional(FrameError::kTruncated) : std::nullopt);
}

void FrameConnection::End(std::optional<FrameError> error) {
  if (this->ended) return;
  this->ended = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (this->handlers.closed) this->handlers.closed(error);
  // The handlers may hold the last references to this connection.
  this->handlers = {};
}

}  // namespace dandelionspur
