#ifndef LAPISHATCH_WIRE_INTERNAL_CONNECTION_H_
#define LAPISHATCH_WIRE_INTERNAL_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"
#include "wire/frame.h"
#include "wire/identity.h"
#include "wire/transport.h"

namespace lapishatch::wire::internal {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

/// One TCP connection of an AsioTransport, opened by either side. Its socket
/// is used on the transport's strand only, everything else under the
/// transport's lock.
struct Connection {
  Connection(Socket opened, std::optional<Endpoint> connects_to,
             base::TimePoint now)
      : socket(std::move(opened)),
        target(std::move(connects_to)),
        opened_at(now),
        last_sent(now),
        last_received(now),
        last_useful(now) {}

  Socket socket;
  /// Where this side connected to; nothing when the peer opened the
  /// connection.
  std::optional<Endpoint> target;
  /// Who the peer is, once its Hello has come.
  std::optional<Identity> peer;
  base::Charge descriptor;
  bool connected = false;
  bool closed = false;

  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  /// The frames that the present write sends; empty when none is under way.
  std::string writing;

  std::array<char, kFrameHeaderBytes> header{};
  std::string payload;
  /// Spent on the payload until its message is handled.
  base::Charge payload_charge;

  base::TimePoint opened_at;
  base::TimePoint last_sent;
  base::TimePoint last_received;
  /// The last message that was no heartbeat, either way.
  base::TimePoint last_useful;
};

/// Puts a message behind those that wait to be sent; false when it is too large
/// or too much waits.
bool Enqueue(Connection& connection, std::string_view payload,
             const AsioTransportOptions& options);

/// Whether the connection is to be closed: it was not opened in time, the peer
/// did not say who it is, or nothing came or was of use for too long.
bool IsExpired(const Connection& connection,
               const AsioTransportOptions& options, base::TimePoint now);

}  // namespace lapishatch::wire::internal

#endif  // LAPISHATCH_WIRE_INTERNAL_CONNECTION_H_
