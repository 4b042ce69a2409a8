#ifndef LAPISHATCH_REVIEW_STANDIN_HTTP_SERVER_H_
#define LAPISHATCH_REVIEW_STANDIN_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using Millis = std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Milliseconds of the steady clock.
inline std::int64_t NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

inline asio::awaitable<void> Sleep(std::int64_t ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor, Millis(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

inline Response MakeResponse(int status, const json::object& body) {
  Response out;
  out.result(static_cast<unsigned>(status));
  out.set(http::field::content_type, "application/json");
  out.body() = json::serialize(body);
  return out;
}

/// A small HTTP server on a loopback port of its own.
class HttpServer {
 public:
  /// Returns the response, or nothing if the request gets no answer.
  using Handler =
      std::function<asio::awaitable<std::optional<Response>>(Request)>;

  HttpServer(asio::io_context& io, Handler handler)
      : io_(io),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        port_(acceptor_.local_endpoint().port()),
        handler_(std::move(handler)) {
    asio::co_spawn(io_, Accept(), asio::detached);
  }

  std::uint16_t port() const { return port_; }

  /// Closes the port and all connections, as the end of a process does.
  void Close() {
    boost::system::error_code ec;
    acceptor_.close(ec);
    for (auto* it : sockets_) it->close(ec);
  }

 private:
  asio::awaitable<void> Accept() {
    while (acceptor_.is_open()) {
      boost::system::error_code ec;
      auto socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) continue;
      socket.set_option(tcp::no_delay(true));
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    sockets_.insert(&socket);
    beast::flat_buffer buffer;
    try {
      while (true) {
        Request request;
        co_await http::async_read(socket, buffer, request, asio::use_awaitable);
        const bool keep_alive = request.keep_alive();
        auto response = co_await handler_(std::move(request));
        if (!response) {
          // Nothing more is delivered on this connection.
          co_await Sleep(60'000);
          break;
        }
        response->keep_alive(keep_alive);
        response->prepare_payload();
        co_await http::async_write(socket, *response, asio::use_awaitable);
        if (!keep_alive) break;
      }
    } catch (const std::exception&) {
      // The peer has closed the connection.
    }
    sockets_.erase(&socket);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const std::uint16_t port_;
  Handler handler_;
  std::set<tcp::socket*> sockets_;
};

struct CallResult {
  /// 0 if there was no answer.
  int status = 0;
  std::string body;
};

/// Sends one request over a connection of its own.
inline asio::awaitable<CallResult> Call(std::uint16_t port, http::verb method,
                                        std::string target, std::string host,
                                        std::string key, std::string body,
                                        std::int64_t timeout_ms) {
  CallResult out;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  try {
    stream.expires_after(Millis(timeout_ms));
    co_await stream.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), port),
        asio::use_awaitable);
    Request request(method, target, 11);
    request.set(http::field::host, host);
    request.set(http::field::authorization, "Bearer " + key);
    request.set(http::field::content_type, "application/json");
    request.set("X-Deadline-Ms", std::to_string(timeout_ms));
    request.keep_alive(false);
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    Response response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    out.status = response.result_int();
    out.body = response.body();
  } catch (const std::exception&) {
    out.status = 0;
  }
  co_return out;
}

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_HTTP_SERVER_H_
