#include "http/stream_client.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <utility>

#include "http/internal/convert.h"

namespace lapishatch::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16 * 1024UL;
constexpr int kHttp11 = 11;

}  // namespace

class StreamClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Endpoint endpoint, Request request,
       StreamLimits limits, StreamEvents events)
      : stream_(asio::make_strand(io)),
        endpoint_(std::move(endpoint)),
        request_(std::move(request)),
        limits_(limits),
        events_(std::move(events)) {}

  void Start() {
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->Run(); }, asio::detached);
  }

  void Close() {
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()] {
      self->closed_ = true;
      self->stream_.close();
    });
  }

 private:
  using Parser = beast::http::response_parser<beast::http::buffer_body>;

  asio::awaitable<void> Run() {
    auto end = co_await Exchange();
    if (!closed_) events_.on_end(end);
  }

  asio::awaitable<ClientError> Exchange() {
    error_code ec;
    const auto address = asio::ip::make_address(endpoint_.address, ec);
    if (ec) co_return Failure(Progress::kNothingSent, "connect", ec);
    stream_.expires_after(limits_.connect_timeout);
    const asio::ip::tcp::endpoint peer(address, endpoint_.port);
    co_await stream_.async_connect(
        peer, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Failure(Progress::kNothingSent, "connect", ec);
    internal::BeastRequest message;
    message.version(kHttp11);
    message.method_string(request_.method);
    message.target(request_.target);
    message.set(beast::http::field::host, TextOf(endpoint_));
    internal::CopyFields(request_.headers, message);
    message.body() = request_.body;
    message.prepare_payload();
    stream_.expires_after(limits_.head_timeout);
    co_await beast::http::async_write(
        stream_, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Failure(Progress::kMaybeSent, "send", ec);
    co_return co_await Receive();
  }

  asio::awaitable<ClientError> Receive() {
    error_code ec;
    beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await beast::http::async_read_header(
        stream_, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return Failure(Progress::kMaybeSent, "receive", ec);
    if (closed_) co_return ClientError{};
    Response head;
    head.status = static_cast<int>(parser.get().result_int());
    head.headers = internal::HeadersFrom(parser.get());
    events_.on_head(head);
    std::array<char, kPieceBytes> piece;
    while (!parser.is_done() && !closed_) {
      auto& body = parser.get().body();
      body.data = piece.data();
      body.size = piece.size();
      stream_.expires_after(limits_.silence_timeout);
      co_await beast::http::async_read_some(
          stream_, buffer, parser,
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == beast::http::error::need_buffer) ec = {};
      const auto n = piece.size() - parser.get().body().size;
      if (n > 0 && !closed_) events_.on_bytes({piece.data(), n});
      if (ec) co_return Failure(Progress::kMaybeSent, "receive", ec);
    }
    co_return ClientError{Progress::kMaybeSent, false, false, ""};
  }

  ClientError Failure(Progress progress, const std::string& step,
                      const error_code& ec) const {
    return {progress, ec == beast::error::timeout, false,
            step + ": " + ec.message()};
  }

  beast::tcp_stream stream_;
  Endpoint endpoint_;
  Request request_;
  StreamLimits limits_;
  StreamEvents events_;
  bool closed_ = false;
};

StreamClient::StreamClient(asio::io_context& io, const Endpoint& endpoint,
                           Request request, StreamLimits limits,
                           StreamEvents events)
    : impl_(std::make_shared<Impl>(io, endpoint, std::move(request), limits,
                                   std::move(events))) {
  impl_->Start();
}

StreamClient::~StreamClient() { impl_->Close(); }

}  // namespace lapishatch::http
