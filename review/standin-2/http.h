#ifndef LAPISHATCH_REVIEW_STANDIN_2_HTTP_H_
#define LAPISHATCH_REVIEW_STANDIN_2_HTTP_H_

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Millis = std::chrono::milliseconds;

inline constexpr const char* kLoopback = "127.0.0.1";

using Request = http::request<http::string_body>;

/// Sends the response to one request: status and body.
using Respond = std::function<void(int, std::string)>;
using Handler = std::function<void(const Request&, Respond)>;

/// The path between one process and one server: a port of its own. While it is
/// cut, requests on it are dropped and responses are not sent.
class Link {
 public:
  Link(asio::io_context& io, Handler handler)
      : io_(io), acceptor_(io), handler_(std::move(handler)) {
    const tcp::endpoint any(asio::ip::make_address(kLoopback), 0);
    acceptor_.open(any.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(any);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    Accept();
  }

  std::uint16_t port() const { return port_; }
  std::string address() const {
    return std::string(kLoopback) + ':' + std::to_string(port_);
  }

  void Cut() { is_cut_ = true; }

  /// Ends the connections that existed: what they held is lost.
  void Heal() {
    if (!is_cut_) return;
    is_cut_ = false;
    CloseAll();
  }

  bool is_cut() const { return is_cut_; }

  /// Stops listening and resets all connections, as the end of a process does.
  void Down() {
    boost::system::error_code ec;
    acceptor_.close(ec);
    CloseAll();
  }

  /// Listens on the same port again.
  void Up() {
    const tcp::endpoint same(asio::ip::make_address(kLoopback), port_);
    acceptor_ = tcp::acceptor(io_);
    acceptor_.open(same.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(same);
    acceptor_.listen();
    Accept();
  }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(tcp::socket s, Link& l) : socket(std::move(s)), link(l) {}

    void Read() {
      parser.emplace();
      parser->body_limit(4 * 1024 * 1024);
      http::async_read(socket, buffer, *parser,
                       [self = shared_from_this()](boost::system::error_code ec,
                                                   std::size_t) {
                         if (ec) return self->Close();
                         if (self->link.is_cut_) return;
                         self->request = self->parser->release();
                         self->link.handler_(
                             self->request,
                             [weak = std::weak_ptr<Session>(self)](
                                 int status, std::string body) {
                               if (const auto it = weak.lock()) {
                                 it->Write(status, std::move(body));
                               }
                             });
                       });
    }

    void Write(int status, std::string body) {
      if (link.is_cut_ || !socket.is_open()) return;
      response = {};
      response.version(11);
      response.result(static_cast<unsigned>(status));
      response.set(http::field::content_type, "application/json");
      response.keep_alive(true);
      response.body() = std::move(body);
      response.prepare_payload();
      http::async_write(socket, response,
                        [self = shared_from_this()](
                            boost::system::error_code ec, std::size_t) {
                          if (ec) return self->Close();
                          self->Read();
                        });
    }

    void Close() {
      boost::system::error_code ec;
      socket.close(ec);
      link.sessions_.erase(shared_from_this());
    }

    void Reset() {
      boost::system::error_code ec;
      socket.set_option(asio::socket_base::linger(true, 0), ec);
      socket.close(ec);
    }

    tcp::socket socket;
    Link& link;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    Request request;
    http::response<http::string_body> response;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket s) {
      if (ec) return;
      s.set_option(tcp::no_delay(true));
      const auto session = std::make_shared<Session>(std::move(s), *this);
      sessions_.insert(session);
      session->Read();
      Accept();
    });
  }

  void CloseAll() {
    for (const auto& it : std::exchange(sessions_, {})) it->Reset();
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const Handler handler_;
  std::uint16_t port_ = 0;
  bool is_cut_ = false;
  std::set<std::shared_ptr<Session>> sessions_;
};

/// Status 0: no connection, or no response in time.
using ClientCallback = std::function<void(int status, std::string body)>;

/// Sends one request over a connection of its own.
class Call : public std::enable_shared_from_this<Call> {
 public:
  static void Send(asio::io_context& io, std::uint16_t port, Request request,
                   Millis timeout, ClientCallback done) {
    const auto call = std::shared_ptr<Call>(
        new Call(io, std::move(request), std::move(done)));
    call->Start(port, timeout);
  }

 private:
  Call(asio::io_context& io, Request request, ClientCallback done)
      : socket_(io),
        timer_(io),
        request_(std::move(request)),
        done_(std::move(done)) {}

  void Start(std::uint16_t port, Millis timeout) {
    const auto self = shared_from_this();
    timer_.expires_after(timeout);
    timer_.async_wait([self](boost::system::error_code ec) {
      if (!ec) self->Finish(0, "");
    });
    const tcp::endpoint peer(asio::ip::make_address(kLoopback), port);
    socket_.async_connect(peer, [self](boost::system::error_code ec) {
      if (ec) return self->Finish(0, "");
      http::async_write(self->socket_, self->request_,
                        [self](boost::system::error_code ec2, std::size_t) {
                          if (ec2) return self->Finish(0, "");
                          self->Read();
                        });
    });
  }

  void Read() {
    http::async_read(
        socket_, buffer_, response_,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
          if (ec) return self->Finish(0, "");
          self->Finish(static_cast<int>(self->response_.result_int()),
                       self->response_.body());
        });
  }

  void Finish(int status, std::string body) {
    if (!done_) return;
    timer_.cancel();
    boost::system::error_code ec;
    socket_.close(ec);
    std::exchange(done_, nullptr)(status, std::move(body));
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  Request request_;
  ClientCallback done_;
  beast::flat_buffer buffer_;
  http::response<http::string_body> response_;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_2_HTTP_H_
