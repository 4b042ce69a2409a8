#ifndef LAPISHATCH_WIRE_TRANSPORT_H_
#define LAPISHATCH_WIRE_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "base/base.h"
#include "wire/codec.h"
#include "wire/message.h"

namespace lapishatch::wire {

/// How an attempt to connect ended.
enum class DialResult : std::uint8_t {
  kOpened,
  /// The machine answers, and nobody listens there.
  kRefused,
  /// No answer in time, or no way there.
  kSilent,
};

/// Sends messages to other processes and hands over what they send. Messages
/// between two processes may be lost, at a break of their connection even
/// several; those that arrive are whole and come from who they say.
class Transport {
 public:
  /// Called on the loop of the process for every message but Hello and
  /// Heartbeat. `from` is what the sender said of itself in its Hello.
  using Handler = std::function<void(const Identity& from, Message message)>;

  virtual ~Transport() = default;

  virtual void SetHandler(Handler handler) = 0;

  /// Queues a message, opening a connection when there is none. False when it
  /// was dropped at once: the queue is full, the message too long, or the last
  /// attempt to connect failed a moment ago.
  virtual bool Send(const Peer& to, const Message& message) = 0;

  /// Drops the connections to a peer that did not answer in time, so that the
  /// next message goes over a fresh one: one that has gone silent must not
  /// condemn the process behind it.
  virtual void Reset(const Peer& peer) = 0;

  /// Opens a connection of its own and closes it again, to see whether somebody
  /// listens there. Calls `done` once, on the loop of the process, unless the
  /// transport ends first.
  virtual void Dial(const Endpoint& to, base::Duration timeout,
                    std::function<void(DialResult)> done) = 0;
};

/// What one process sent and received, all links together.
struct TransportCounts {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;
  std::uint64_t malformed_frames = 0;
};

struct AsioTransportOptions {
  /// Who this process is; the port of its endpoint may be 0 for any free one.
  Identity identity;
  /// Where to listen when that is not the endpoint of the identity, which the
  /// others are then told as it stands.
  std::optional<Endpoint> listen = std::nullopt;
  base::Duration connect_timeout{1'000};
  /// From the opened connection to the peer's Hello.
  base::Duration hello_timeout{2'000};
  /// Nothing sent for so long: a Heartbeat is.
  base::Duration heartbeat_interval{10'000};
  /// Nothing received for so long: the connection is closed.
  base::Duration silence_timeout{30'000};
  /// Nothing but heartbeats either way for so long: the connection is closed.
  base::Duration idle_timeout{120'000};
  base::Duration backoff_first{200};
  base::Duration backoff_limit{10'000};
  std::size_t max_frame_bytes = kMaxMessageBytes;
  /// Of the first frame, from a peer that is not known yet.
  std::size_t max_hello_bytes = 4 * 1024;
  /// Charge a connection, and the payload of a frame in bytes, until the charge
  /// is released. False if the process has no room for it; the connection is
  /// closed then. Without them nothing is charged.
  std::function<bool(base::Charge&)> charge_connection = nullptr;
  std::function<bool(base::Charge&, std::size_t)> charge_payload = nullptr;
  /// Per connection.
  std::size_t max_queued_messages = 1'024;
  std::size_t max_queued_bytes = 4 * kMaxMessageBytes;
  std::size_t max_connections = 1'024;
};

/// A Transport over TCP with length-framed messages. At most one connection
/// each way is opened between two processes, on demand; both use either.
class AsioTransport : public Transport {
 public:
  /// The endpoint that others are told, with the port that was bound when it
  /// is the one that is listened at.
  virtual Endpoint endpoint() const = 0;

  virtual TransportCounts counts() const = 0;

  /// Connections that have exchanged Hellos.
  virtual std::size_t connections() const = 0;

  /// Sends what is queued, at most for `limit`, then closes every connection
  /// and calls `done` on the loop. What is sent afterwards is dropped.
  virtual void Close(base::Duration limit, std::function<void()> done) = 0;
};

/// Binds at once; throws boost::system::system_error when the endpoint cannot
/// be had. Handlers run on `loop`, which must outlive the transport, as `io`
/// must.
std::shared_ptr<AsioTransport> MakeAsioTransport(boost::asio::io_context& io,
                                                 base::EventLoop& loop,
                                                 AsioTransportOptions options);

}  // namespace lapishatch::wire

namespace lapishatch::base {
template <>
struct EnumNames<wire::DialResult> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "opened", "refused", "silent"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_WIRE_TRANSPORT_H_
