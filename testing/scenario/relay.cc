#include "scenario/relay.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <utility>

namespace lapishatch::scenario {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16 * 1024UL;

/// One connection through the relay. Once silent it passes nothing for ever,
/// but stays open.
struct Pair {
  explicit Pair(tcp::socket accepted)
      : near(std::move(accepted)), far(near.get_executor()) {}

  void Close() {
    error_code ec;
    near.close(ec);
    far.close(ec);
  }

  tcp::socket near;
  tcp::socket far;
  bool silent = false;
};

using PairPtr = std::shared_ptr<Pair>;

asio::awaitable<void> Pump(PairPtr pair, tcp::socket& from, tcp::socket& to) {
  std::array<char, kPieceBytes> piece;
  error_code ec;
  while (!ec) {
    const auto n = co_await from.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
    if (pair->silent) co_return;
    if (ec) break;
    co_await asio::async_write(to, asio::buffer(piece.data(), n),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!pair->silent) pair->Close();
}

}  // namespace

class Relay::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const http::Endpoint& target)
      : io_(io),
        acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
        target_(asio::ip::make_address(target.address), target.port) {}

  void Start() {
    asio::co_spawn(
        io_, [self = shared_from_this()] { return self->Accept(); },
        asio::detached);
  }

  void Close() {
    asio::post(io_, [self = shared_from_this()] {
      error_code ec;
      self->acceptor_.close(ec);
      for (const auto& it : self->pairs_) it->Close();
      self->pairs_.clear();
    });
  }

  void SetMode(LinkMode mode) {
    std::promise<void> done;
    asio::post(io_, [&] {
      Apply(mode);
      done.set_value();
    });
    done.get_future().wait();
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void Apply(LinkMode mode) {
    mode_ = mode;
    const bool silences =
        mode == LinkMode::kSilent || mode == LinkMode::kSilentOpen;
    for (const auto& it : pairs_) {
      it->silent = it->silent || silences;
      if (mode == LinkMode::kCut) it->Close();
    }
  }

  asio::awaitable<void> Accept() {
    error_code ec;
    while (true) {
      auto socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) co_return;
      if (ec || mode_ == LinkMode::kCut) continue;
      auto pair = std::make_shared<Pair>(std::move(socket));
      pair->silent = mode_ == LinkMode::kSilent;
      pairs_.remove_if([](const PairPtr& it) { return !it->near.is_open(); });
      pairs_.push_back(pair);
      if (!pair->silent) Join(pair);
    }
  }

  void Join(const PairPtr& pair) {
    asio::co_spawn(
        io_,
        [self = shared_from_this(), pair]() -> asio::awaitable<void> {
          error_code ec;
          co_await pair->far.async_connect(
              self->target_, asio::redirect_error(asio::use_awaitable, ec));
          if (ec) {
            pair->Close();
            co_return;
          }
          pair->near.set_option(tcp::no_delay(true), ec);
          pair->far.set_option(tcp::no_delay(true), ec);
          asio::co_spawn(self->io_, Pump(pair, pair->near, pair->far),
                         asio::detached);
          co_await Pump(pair, pair->far, pair->near);
        },
        asio::detached);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  LinkMode mode_ = LinkMode::kOpen;
  std::list<PairPtr> pairs_;
};

Relay::Relay(asio::io_context& io, const http::Endpoint& target)
    : impl_(std::make_shared<Impl>(io, target)) {
  impl_->Start();
}

Relay::~Relay() { impl_->Close(); }

http::Endpoint Relay::endpoint() const {
  return {"127.0.0.1", impl_->endpoint().port()};
}

void Relay::SetMode(LinkMode mode) { impl_->SetMode(mode); }

}  // namespace lapishatch::scenario
