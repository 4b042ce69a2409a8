#include "scenario/peer_network.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <map>
#include <utility>

#include "wire/wire.h"

namespace lapishatch::scenario {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16 * 1024UL;

/// The two directions of a connection.
enum class Way : std::uint8_t { kFromOpener, kToOpener };

/// Between two domains, in the direction of the bytes.
struct Direction {
  std::string from;
  std::string to;

  friend auto operator<=>(const Direction&, const Direction&) = default;
};

/// One connection through a relay. A way that is silent swallows every byte for
/// good, since the stream is no longer whole.
struct Connection {
  Connection(tcp::socket accepted, std::string target_domain)
      : opener(std::move(accepted)),
        target(opener.get_executor()),
        to(std::move(target_domain)) {}

  bool& IsSilent(Way way) { return is_silent[static_cast<std::size_t>(way)]; }

  void Close() {
    error_code ec;
    opener.close(ec);
    target.close(ec);
  }

  tcp::socket opener;
  tcp::socket target;
  /// Domain of the opener, once its Hello was read.
  std::string from;
  const std::string to;
  std::array<bool, 2> is_silent{};
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// The end of a silent way is not seen at the other side either.
asio::awaitable<void> Pump(ConnectionPtr connection, Way way) {
  const bool is_forth = way == Way::kFromOpener;
  auto& from = is_forth ? connection->opener : connection->target;
  auto& to = is_forth ? connection->target : connection->opener;
  std::array<char, kPieceBytes> piece;
  error_code ec;
  while (true) {
    const auto n = co_await from.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    if (connection->IsSilent(way)) continue;
    co_await asio::async_write(to, asio::buffer(piece.data(), n),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
  }
  if (!connection->IsSilent(way)) connection->Close();
}

/// The first frame, with its header; empty when there is none.
asio::awaitable<std::string> ReadFrame(tcp::socket& socket) {
  std::string out(wire::kFrameHeaderBytes, '\0');
  error_code ec;
  co_await asio::async_read(socket, asio::buffer(out),
                            asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return std::string();
  const auto bytes = wire::PayloadBytes(out, wire::kMaxMessageBytes);
  if (!bytes) co_return std::string();
  out.resize(wire::kFrameHeaderBytes + *bytes);
  co_await asio::async_read(
      socket, asio::buffer(out.data() + wire::kFrameHeaderBytes, *bytes),
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return std::string();
  co_return out;
}

/// The domain that the Hello in `frame` names; empty when it is none.
std::string DomainOf(std::string_view frame) {
  if (frame.empty()) return {};
  const auto decoded = wire::Decode(frame.substr(wire::kFrameHeaderBytes));
  const auto* message = std::get_if<wire::Message>(&decoded);
  if (message == nullptr) return {};
  const auto* hello = std::get_if<wire::Hello>(message);
  return hello == nullptr ? std::string() : hello->identity.domain.str();
}

bool Silences(LinkMode mode) {
  return mode == LinkMode::kSilent || mode == LinkMode::kSilentOpen;
}

/// The relay before one process.
struct Gate {
  Gate(asio::io_context& io, std::string its_domain,
       const http::Endpoint& its_target)
      : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        domain(std::move(its_domain)),
        target(asio::ip::make_address(its_target.address), its_target.port) {}

  tcp::acceptor acceptor;
  const std::string domain;
  const tcp::endpoint target;
};

}  // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& io) : io_(io) {}

  http::Endpoint Add(const std::string& domain, const http::Endpoint& target) {
    const auto gate = std::make_shared<Gate>(io_, domain, target);
    asio::post(io_, [self = shared_from_this(), gate] {
      self->gates_.push_back(gate);
      asio::co_spawn(
          self->io_, [self, gate] { return self->Accept(gate); },
          asio::detached);
    });
    return {"127.0.0.1", gate->acceptor.local_endpoint().port()};
  }

  void Close() {
    asio::post(io_, [self = shared_from_this()] {
      error_code ec;
      for (const auto& it : self->gates_) it->acceptor.close(ec);
      for (const auto& it : self->connections_) it->Close();
    });
  }

  void SetMode(const Direction& direction, LinkMode mode) {
    std::promise<void> done;
    asio::post(io_, [&] {
      Apply(direction, mode);
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  void Apply(const Direction& direction, LinkMode mode) {
    modes_[direction] = mode;
    for (const auto& it : connections_) {
      const Direction forth{it->from, it->to};
      const Direction back{it->to, it->from};
      if (forth == direction && mode == LinkMode::kCut) it->Close();
      if (!Silences(mode)) continue;
      if (forth == direction) it->IsSilent(Way::kFromOpener) = true;
      if (back == direction) it->IsSilent(Way::kToOpener) = true;
    }
  }

  LinkMode ModeOf(const Direction& direction) const {
    const auto it = modes_.find(direction);
    return it == modes_.end() ? LinkMode::kOpen : it->second;
  }

  asio::awaitable<void> Accept(std::shared_ptr<Gate> gate) {
    while (true) {
      error_code ec;
      auto socket = co_await gate->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (!gate->acceptor.is_open()) co_return;
      if (ec) continue;
      const auto connection =
          std::make_shared<Connection>(std::move(socket), gate->domain);
      connections_.remove_if(
          [](const ConnectionPtr& it) { return !it->opener.is_open(); });
      connections_.push_back(connection);
      asio::co_spawn(
          io_,
          [self = shared_from_this(), gate, connection] {
            return self->Join(gate, connection);
          },
          asio::detached);
    }
  }

  asio::awaitable<void> Join(std::shared_ptr<Gate> gate,
                             ConnectionPtr connection) {
    const auto hello = co_await ReadFrame(connection->opener);
    connection->from = DomainOf(hello);
    const auto forth = ModeOf({connection->from, connection->to});
    const auto back = ModeOf({connection->to, connection->from});
    if (connection->from.empty() || forth == LinkMode::kCut) {
      connection->Close();
      co_return;
    }
    connection->IsSilent(Way::kFromOpener) = forth == LinkMode::kSilent;
    connection->IsSilent(Way::kToOpener) = back == LinkMode::kSilent;
    // Nothing of it reaches the other side, so it is not even opened there.
    if (forth != LinkMode::kSilent) {
      co_await Open(gate, connection, hello);
    }
    co_await Pump(connection, Way::kFromOpener);
  }

  asio::awaitable<void> Open(std::shared_ptr<Gate> gate,
                             ConnectionPtr connection, std::string hello) {
    error_code ec;
    co_await connection->target.async_connect(
        gate->target, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      co_await asio::async_write(connection->target, asio::buffer(hello),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
      connection->Close();
      co_return;
    }
    connection->opener.set_option(tcp::no_delay(true), ec);
    connection->target.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(io_, Pump(connection, Way::kToOpener), asio::detached);
  }

  asio::io_context& io_;
  std::list<std::shared_ptr<Gate>> gates_;
  std::list<ConnectionPtr> connections_;
  std::map<Direction, LinkMode> modes_;
};

PeerNetwork::PeerNetwork(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}

PeerNetwork::~PeerNetwork() { impl_->Close(); }

http::Endpoint PeerNetwork::Add(const std::string& domain,
                                const http::Endpoint& target) {
  return impl_->Add(domain, target);
}

void PeerNetwork::SetMode(const std::string& from, const std::string& to,
                          LinkMode mode) {
  impl_->SetMode({from, to}, mode);
}

}  // namespace lapishatch::scenario
