#ifndef LAPISHATCH_HTTP_INTERNAL_SOCKET_OPTIONS_H_
#define LAPISHATCH_HTTP_INTERNAL_SOCKET_OPTIONS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

#include "base/base.h"

namespace lapishatch::http::internal {

/// A silent peer of a connection without unacknowledged bytes is found by
/// keep-alive probes: after 15 s of silence, every 5 s, three times.
inline constexpr int kKeepAliveIdleSeconds = 15;
inline constexpr int kKeepAliveIntervalSeconds = 5;
inline constexpr int kKeepAliveProbes = 3;

inline void SetIntOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

/// Sends small messages at once and bounds the life of a connection whose peer
/// went silent, in both directions.
inline void SetConnectionOptions(boost::asio::ip::tcp::socket& socket,
                                 base::Duration user_timeout) {
  const int fd = socket.native_handle();
  SetIntOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(user_timeout.count()));
  SetIntOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_SOCKET_OPTIONS_H_
