#include "scenario/peer_network.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "net/io_threads.h"
#include "wire/wire.h"

namespace lapishatch::scenario {
namespace {

constexpr std::uint64_t kMark = 1'000'000'000;

/// A process of the inner protocol that is reached through the network.
struct Process {
  Process(boost::asio::io_context& io, PeerNetwork& network,
          const std::string& domain)
      : loop(base::MakeAsioEventLoop(io)) {
    wire::AsioTransportOptions options;
    options.identity.name = wire::ProcessName(domain);
    options.identity.domain = base::DomainName(domain);
    options.identity.incarnation = base::Incarnation(domain);
    options.backoff_limit = base::Duration(200);
    options.listen = wire::Endpoint{"127.0.0.1", FreePort(io)};
    const auto relay = network.Add(
        domain, http::Endpoint{options.listen->address, options.listen->port});
    options.identity.endpoint = {relay.address, relay.port};
    peer = wire::PeerOf(options.identity);
    transport = wire::MakeAsioTransport(io, *loop, options);
    transport->SetHandler([this](const wire::Identity&, wire::Message it) {
      const auto sequence = std::get<wire::Ping>(it).sequence;
      if (sequence == kMark) is_marked = true;
      newest = sequence;
    });
  }

  static std::uint16_t FreePort(boost::asio::io_context& io) {
    boost::asio::ip::tcp::acceptor it(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return it.local_endpoint().port();
  }

  void Send(const Process& other, std::uint64_t sequence) const {
    transport->Send(other.peer, wire::Ping{sequence, {}});
  }

  /// Sends until a message of this call comes through.
  bool Reaches(const Process& other) {
    static std::uint64_t next = 0;
    const auto first = ++next;
    auto sent = base::TimePoint::min();
    return net::AwaitThat([&] {
      // What finds no connection is dropped.
      if (loop->Now() - sent > base::Duration(50) || next == first) {
        sent = loop->Now();
        Send(other, ++next);
      }
      const std::uint64_t seen = other.newest;
      return seen > first && seen != kMark;
    });
  }

  std::unique_ptr<base::EventLoop> loop;
  wire::Peer peer;
  std::shared_ptr<wire::AsioTransport> transport;
  std::atomic<std::uint64_t> newest{0};
  std::atomic<bool> is_marked{false};
};

struct World {
  ~World() { threads.Stop(); }

  net::IoThreads threads{1};
  PeerNetwork network{threads.io()};
  Process a{threads.io(), network, "a"};
  Process b{threads.io(), network, "b"};
  Process c{threads.io(), network, "c"};
};

TEST_CASE("one way is swallowed while the other and other domains pass") {
  World it;
  REQUIRE(it.a.Reaches(it.b));
  REQUIRE(it.b.Reaches(it.a));
  it.network.SetMode("a", "b", LinkMode::kSilent);
  it.a.Send(it.b, kMark);
  // Sent later by the same process, and passed by the same thread.
  CHECK(it.a.Reaches(it.c));
  CHECK(it.b.Reaches(it.a));
  CHECK_FALSE(it.b.is_marked);
  it.network.SetMode("a", "b", LinkMode::kOpen);
  // The connection of before stays silent for good.
  it.a.transport->Reset(it.b.peer);
  CHECK(it.a.Reaches(it.b));
  CHECK_FALSE(it.b.is_marked);
}

TEST_CASE("a cut direction breaks connections and refuses new ones") {
  World it;
  REQUIRE(it.a.Reaches(it.b));
  const auto connections = [&] { return it.a.transport->connections(); };
  REQUIRE(net::AwaitThat([&] { return connections() == 1; }));
  it.network.SetMode("a", "b", LinkMode::kCut);
  CHECK(net::AwaitThat([&] { return connections() == 0; }));
  it.a.Send(it.b, kMark);
  // Sent later by the same process, and passed by the same thread.
  CHECK(it.a.Reaches(it.c));
  CHECK_FALSE(it.b.is_marked);
  it.network.SetMode("a", "b", LinkMode::kOpen);
  CHECK(it.a.Reaches(it.b));
  CHECK_FALSE(it.b.is_marked);
}

}  // namespace
}  // namespace lapishatch::scenario
