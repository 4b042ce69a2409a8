#ifndef LAPISHATCH_TESTING_NET_RAW_SOCKET_H_
#define LAPISHATCH_TESTING_NET_RAW_SOCKET_H_

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "http/http.h"
#include "net/io_threads.h"

namespace lapishatch::net {

/// A blocking TCP connection that sends and receives bytes as they are, for
/// peers that break the protocol.
class RawSocket {
 public:
  using Tcp = boost::asio::ip::tcp;

  explicit RawSocket(const http::Endpoint& peer) : socket_(io_) {
    socket_.connect({boost::asio::ip::make_address(peer.address), peer.port});
    Prepare();
  }

  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// False when the peer is gone.
  bool Send(std::string_view bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
    return !ec;
  }

  /// Ends the sending side only.
  void EndSending() {
    boost::system::error_code ec;
    socket_.shutdown(Tcp::socket::shutdown_send, ec);
  }

  /// Resets the connection.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  void Close() {
    boost::system::error_code ec;
    socket_.close(ec);
  }

  /// Whether something, or the end, comes within `limit`.
  bool AwaitInput(std::chrono::milliseconds limit) {
    pollfd it{socket_.native_handle(), POLLIN, 0};
    return ::poll(&it, 1, static_cast<int>(limit.count())) > 0;
  }

  /// Everything until the peer ends the connection.
  std::string ReadToEnd() {
    while (Receive()) {
    }
    return std::exchange(received_, {});
  }

  /// Everything up to and with `end`; what follows waits for the next call.
  /// Shorter when the connection ends before.
  std::string ReadTo(std::string_view end) {
    auto found = received_.find(end);
    while (found == std::string::npos && Receive()) {
      found = received_.find(end);
    }
    if (found == std::string::npos) return std::exchange(received_, {});
    const auto size = found + end.size();
    auto out = received_.substr(0, size);
    received_.erase(0, size);
    return out;
  }

 private:
  friend class RawServer;

  RawSocket() : socket_(io_) {}

  /// A test that waits for ever is a failed one: reading is bounded.
  void Prepare() {
    socket_.set_option(Tcp::no_delay(true));
    const timeval limit{kTestLimit.count(), 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof(limit));
  }

  bool Receive() {
    char bytes[4096];
    const auto n = ::recv(socket_.native_handle(), bytes, sizeof(bytes), 0);
    if (n <= 0) return false;
    received_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  boost::asio::io_context io_;
  Tcp::socket socket_;
  std::string received_;
};

/// Accepts connections on loopback and hands each to a function, one after the
/// other, on a thread of its own.
class RawServer {
 public:
  using Serve = std::function<void(RawSocket&)>;

  explicit RawServer(Serve serve)
      : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        serve_(std::move(serve)),
        thread_([this] { Run(); }) {}

  ~RawServer() {
    stopping_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  http::Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  int connections() const { return connections_; }

 private:
  void Run() {
    while (!stopping_) {
      RawSocket socket;
      boost::system::error_code ec;
      acceptor_.accept(socket.socket_, ec);
      if (ec) return;
      socket.Prepare();
      ++connections_;
      serve_(socket);
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Serve serve_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace lapishatch::net

#endif  // LAPISHATCH_TESTING_NET_RAW_SOCKET_H_
