#ifndef LAPISHATCH_HTTP_CLIENT_H_
#define LAPISHATCH_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/base.h"
#include "http/message.h"
#include "http/resources.h"

namespace lapishatch::http {

/// How far a failed request got; decides what may be said of its work.
enum class Progress : std::uint8_t {
  /// No byte of the request left this process: the peer cannot have acted on
  /// it.
  kNothingSent,
  /// Some byte may have left: whether the peer acted on it is unknown.
  kMaybeSent,
};

}  // namespace lapishatch::http

namespace lapishatch::base {
template <>
struct EnumNames<http::Progress> {
  static constexpr std::array<std::string_view, 2> kNames = {"nothing-sent",
                                                             "maybe-sent"};
};
}  // namespace lapishatch::base

namespace lapishatch::http {

/// Why a request has no response.
struct ClientError {
  Progress progress = Progress::kNothingSent;
  bool timed_out = false;
  /// No connection was free and the limit on connections is reached.
  bool no_connection_free = false;
  std::string detail;
  /// The peer closed or reset the connection before it answered.
  bool closed_by_peer = false;
};

using ClientResult = std::variant<Response, ClientError>;

struct ClientLimits {
  /// Connections to one endpoint, those in use and idle together.
  std::size_t connections_per_endpoint = 8;
  /// Requests that may wait for a free connection, per endpoint; 0 fails them
  /// at once.
  std::size_t waiting_per_endpoint = 256;
  base::Duration connect_timeout{1'000};
  /// Idle connections are closed after this.
  base::Duration idle_timeout{30'000};
  /// When a call times out, connections to its endpoint that have been idle for
  /// longer are closed: whatever silenced the one may have silenced them.
  base::Duration suspect_idle_time{500};
  /// TCP_USER_TIMEOUT: bytes unacknowledged for so long break the connection.
  base::Duration tcp_user_timeout{5'000};
  std::size_t max_body_bytes = 8 * 1024 * 1024;
};

/// A pool of HTTP/1.1 connections on Beast. A connection whose request was
/// given up is closed, never used again, so a late answer can reach nobody
/// else. A request is sent again by itself only when a reused connection turned
/// out closed before any byte of it was sent.
class Client {
 public:
  using Callback = std::function<void(ClientResult)>;

  /// The connections are charged to `resources`, if there are any.
  Client(boost::asio::io_context& io, ClientLimits limits,
         ResourcesPtr resources = nullptr);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends `request` and calls `done` once, on an io thread, at the latest
  /// `timeout` from now. Safe from several threads.
  void Send(const Endpoint& endpoint, Request request, base::Duration timeout,
            Callback done);

  /// Closes the idle connections to `endpoint`, for example when its backend
  /// server leaves.
  void Forget(const Endpoint& endpoint);

  /// Connections to `endpoint` that carry a request now.
  std::size_t busy(const Endpoint& endpoint) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::http

#endif  // LAPISHATCH_HTTP_CLIENT_H_
