#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_SOCKET_LIVENESS_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_SOCKET_LIVENESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace dandelionspur {

// The bounds within which the kernel closes a connection whose other end no
// longer acknowledges anything.
struct SocketLiveness {
  // For how long sent bytes may be unacknowledged. Equals the default of
  // `suspect_after_ms`, so that a link is dialed anew before leases end.
  std::chrono::milliseconds unacknowledged{1000};
  // After this time without any bytes, the kernel probes the other end. One
  // second is the shortest time that the kernel accepts, as for the interval.
  std::chrono::seconds idle{1};
  std::chrono::seconds probe_interval{1};
  // The connection closes after this many unanswered probes.
  int probes = 2;
};

// For connections between processes of the installation: dispatcher, table and
// upstreams.
inline constexpr SocketLiveness kInternalLiveness{};
// For connections of callers. Their networks lose packets for longer, and an
// answer is worth a longer wait than a link; nothing depends on noticing their
// silence soon but the resources that they hold.
inline constexpr SocketLiveness kCallerLiveness{
    std::chrono::milliseconds(15000), std::chrono::seconds(10),
    std::chrono::seconds(5), 2};

// Prepares a connected socket of ours: bytes are sent without delay, and the
// kernel closes the connection when the other end is silent. The kernel refuses
// no valid option on a connected socket, so an error only means that the
// connection has ended; the next operation reports that.
void PrepareSocket(boost::asio::ip::tcp::socket& socket,
                   const SocketLiveness& bounds);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_SOCKET_LIVENESS_H_
