#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_FRAME_CONNECTION_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_FRAME_CONNECTION_H_

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libraries/network/answer_watch.h"
#include "libraries/protocol/frame.h"
#include "libraries/protocol/frame_decoder.h"

namespace dandelionspur {

// A TCP connection between two processes of the dispatcher, which carries
// length-prefixed frames. All handlers run on the connection's io_context; Send
// and Close may be called from any thread.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Handlers {
    // Returns whether the frame could be decoded; the connection closes
    // otherwise.
    std::function<bool(std::string_view body)> frame;
    // Called once. `error` is set if the connection closed because the
    // received bytes were invalid or ended within a frame.
    std::function<void(std::optional<FrameError> error)> closed;
    // May be empty. Called when a frame is sent although the answer that
    // ExpectAnswers() asks for is overdue.
    std::function<void()> unanswered;
  };

  static std::shared_ptr<FrameConnection> Create(
      boost::asio::ip::tcp::socket socket);

  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Start(Handlers callbacks);
  void Send(std::string_view body);
  // Like Send, but `append_body` appends the body to the send buffer. It is
  // called immediately on the connection's thread, and posted to that thread
  // from any other.
  template <typename AppendBody>
  void SendEncoded(AppendBody append_body) {
    boost::asio::dispatch(
        this->socket.get_executor(),
        [self = this->shared_from_this(), append = std::move(append_body)] {
          if (self->ended) return;
          const std::size_t before = self->outgoing.size();
          AppendFrame(self->outgoing, append);
          self->NoteSent(self->outgoing.size() - before);
          if (self->writing.empty()) self->WriteNext();
        });
  }
  // No frame is delivered after this call.
  void Close();

  // The functions below must be called on the connection's thread.
  // From now on, a frame with a longer body closes the connection.
  void LimitFrames(std::size_t bytes) { this->incoming.LimitBody(bytes); }
  // From now on, sends an empty frame when bytes are received and nothing has
  // been sent for `interval`.
  void AnswerEvery(Duration interval) { this->answer_interval = interval; }
  // From now on, the other end is silent if it leaves sent bytes without any
  // answer for longer than `limit`.
  void ExpectAnswers(Duration limit) { this->answer_limit = limit; }
  [[nodiscard]] bool IsSilent();
  // Whether the kernel closed the connection because the other end acknowledged
  // nothing.
  [[nodiscard]] bool timed_out() const { return this->kernel_timeout; }
  [[nodiscard]] LinkSilence silence() const {
    return this->answers.Silence(AnswerWatch::Clock::now());
  }

  // The bytes passed to Send that the socket has not taken yet. May be called
  // from any thread.
  [[nodiscard]] std::size_t unsent_bytes() const { return this->unsent; }

 private:
  explicit FrameConnection(boost::asio::ip::tcp::socket connected);
  void Receive();
  // Delivers every complete frame that has been received; returns whether the
  // connection stays open.
  bool DeliverFrames();
  void WriteNext();
  void NoteSent(std::size_t bytes);
  void NoteReceived();
  void EndAfter(const boost::system::error_code& error);
  void End(std::optional<FrameError> error);

  boost::asio::ip::tcp::socket socket;
  Handlers handlers;
  FrameDecoder incoming;
  // Frames queued while those in `writing` are being written.
  std::string outgoing;
  std::string writing;
  std::atomic<std::size_t> unsent{0};
  std::atomic<bool> closing{false};
  AnswerWatch answers;
  std::optional<Duration> answer_interval;
  std::optional<Duration> answer_limit;
  bool kernel_timeout = false;
  bool ended = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_FRAME_CONNECTION_H_
