#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "wire/wire.h"

namespace lapishatch::wire {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kLimit{20};

Identity MakeIdentity(const std::string& name, std::uint16_t port = 0) {
  return Identity{ProcessName(name), Role::kEntry, base::DomainName("mixco"),
                  base::Incarnation(base::MakeUniqueText(name + "-")),
                  Endpoint{"127.0.0.1", port}};
}

/// One process: its loop, its transport and what it has received.
struct Node {
  Node(boost::asio::io_context& io, AsioTransportOptions options)
      : identity(options.identity), loop(base::MakeAsioEventLoop(io)) {
    transport = MakeAsioTransport(io, *loop, std::move(options));
    identity.endpoint = transport->endpoint();
    transport->SetHandler([this](const Identity& from, Message message) {
      senders.push_back(from);
      received.push_back(std::move(message));
    });
  }

  Identity identity;
  std::unique_ptr<base::EventLoop> loop;
  std::shared_ptr<AsioTransport> transport;
  std::vector<Identity> senders;
  std::vector<Message> received;
};

/// Runs `io` until `done` holds.
template <typename Done>
bool RunUntil(boost::asio::io_context& io, Done done) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(std::chrono::milliseconds(10));
    io.restart();
  }
  return true;
}

TEST_CASE("the others are told the advertised endpoint") {
  boost::asio::io_context io;
  AsioTransportOptions options;
  options.identity = MakeIdentity("a", 7'001);
  options.listen = Endpoint{"127.0.0.1", 0};
  Node a(io, options);
  CHECK(a.transport->endpoint().port == 7'001);
  AsioTransportOptions other;
  other.identity = MakeIdentity("b");
  Node b(io, other);
  a.transport->Send(PeerOf(b.identity), Ping{});
  REQUIRE(RunUntil(io, [&] { return !b.senders.empty(); }));
  CHECK(b.senders.front().endpoint == options.identity.endpoint);
}

/// A connection that speaks the protocol by hand.
struct RawPeer {
  RawPeer(boost::asio::io_context& io, const Endpoint& to) : socket(io) {
    socket.connect({boost::asio::ip::make_address(to.address), to.port});
  }
  void Write(const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }
  /// Whether the other side closes the connection.
  bool IsClosed(boost::asio::io_context& io) {
    bool closed = false;
    std::array<char, 1024> buf{};
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(buf),
                             [&](const auto& ec, std::size_t) {
                               closed = static_cast<bool>(ec);
                               if (!ec) read();
                             });
    };
    read();
    return RunUntil(io, [&] { return closed; });
  }
  tcp::socket socket;
};

TEST_CASE("only a port that nobody listens at refuses") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  const auto dial = [&](const Endpoint& to) {
    std::optional<DialResult> result;
    a.transport->Dial(to, base::Duration(5'000),
                      [&](DialResult it) { result = it; });
    REQUIRE(RunUntil(io, [&] { return result.has_value(); }));
    return *result;
  };
  CHECK(dial(b.identity.endpoint) == DialResult::kOpened);
  CHECK(dial({"no address", 1}) == DialResult::kSilent);
  b.transport.reset();
  // The port is closed on its strand.
  REQUIRE(RunUntil(
      io, [&] { return dial(b.identity.endpoint) == DialResult::kRefused; }));
}

TEST_CASE("two processes exchange identities and messages over one link") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  CHECK(a.transport->Send(Peer{b.identity.endpoint, {}}, Ping{1, {}}));
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 1; }));
  CHECK(b.senders[0] == a.identity);
  CHECK(std::get<Ping>(b.received[0]).sequence == 1);

  CHECK(b.transport->Send(PeerOf(b.senders[0]), Ack{1, {}, {}}));
  REQUIRE(RunUntil(io, [&] { return a.received.size() == 1; }));
  CHECK(a.senders[0] == b.identity);
  CHECK(a.transport->connections() == 1);
  CHECK(b.transport->connections() == 1);
}

TEST_CASE("messages of one link arrive in order, and large ones whole") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  constexpr std::uint64_t kCount = 300;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    const LogEntries entries{
        LogName("jobs"), i, {std::string(i * 20, 'x')}, false, 0};
    REQUIRE(a.transport->Send(PeerOf(b.identity), entries));
  }
  REQUIRE(RunUntil(io, [&] { return b.received.size() == kCount; }));
  for (std::uint64_t i = 0; i < kCount; ++i) {
    const auto& it = std::get<LogEntries>(b.received[i]);
    CHECK(it.first_version == i);
    CHECK(it.entries[0].size() == i * 20);
  }
}

TEST_CASE("a full queue and an oversized message are refused at once") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a"), .max_queued_messages = 3});
  const Peer nobody{Endpoint{"127.0.0.1", 9}, {}};
  for (int i = 0; i < 3; ++i) CHECK(a.transport->Send(nobody, Ping{}));
  CHECK_FALSE(a.transport->Send(nobody, Ping{}));
  const LogEntries large{
      LogName("jobs"), 1, {std::string(kMaxMessageBytes, 'x')}, false, 0};
  CHECK_FALSE(a.transport->Send(Peer{Endpoint{"127.0.0.1", 10}, {}}, large));
  CHECK(a.transport->counts().messages_dropped == 2);
}

TEST_CASE("a refused connection is tried again after a delay only") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a"),
              .backoff_first = base::Duration(100),
              .backoff_limit = base::Duration(200)});
  std::uint16_t port = 0;
  {
    tcp::acceptor free_port(io,
                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    port = free_port.local_endpoint().port();
  }
  const Peer peer{Endpoint{"127.0.0.1", port}, {}};
  CHECK(a.transport->Send(peer, Ping{}));
  REQUIRE(RunUntil(io, [&] { return !a.transport->Send(peer, Ping{}); }));

  Node b(io, {.identity = MakeIdentity("b", port)});
  CHECK(RunUntil(io, [&] {
    a.transport->Send(peer, Ping{2, {}});
    return !b.received.empty();
  }));
}

TEST_CASE(
    "malformed frames, a missing Hello and other versions close the link") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  const auto hello = MakeFrame(Encode(Hello{1, MakeIdentity("raw")}));
  const auto close_on = [&](const std::string& bytes) {
    RawPeer raw(io, a.transport->endpoint());
    raw.Write(bytes);
    return raw.IsClosed(io);
  };
  CHECK(close_on("GET / HTTP/1.1\r\n\r\n"));
  CHECK(close_on(MakeFrame("nonsense")));
  CHECK(close_on(hello + MakeFrame("nonsense")));
  CHECK(close_on(hello + hello));
  CHECK(close_on(MakeFrame(Encode(Ping{}))));
  CHECK(a.transport->counts().malformed_frames == 5);
  CHECK(close_on(MakeFrame(Encode(Hello{99, MakeIdentity("raw")}))));
  CHECK(a.received.empty());
  CHECK(a.transport->connections() == 0);
}

TEST_CASE("a link without a Hello or gone silent is closed in bounded time") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a"),
              .hello_timeout = base::Duration(150),
              .silence_timeout = base::Duration(400)});
  RawPeer mute(io, a.transport->endpoint());
  CHECK(mute.IsClosed(io));

  RawPeer silent(io, a.transport->endpoint());
  silent.Write(MakeFrame(Encode(Hello{1, MakeIdentity("raw")})));
  REQUIRE(RunUntil(io, [&] { return a.transport->connections() == 1; }));
  CHECK(silent.IsClosed(io));
}

TEST_CASE("heartbeats keep an idle link until the idle timeout") {
  boost::asio::io_context io;
  const auto options = [](const char* name) {
    return AsioTransportOptions{.identity = MakeIdentity(name),
                                .heartbeat_interval = base::Duration(100),
                                .silence_timeout = base::Duration(1'500),
                                .idle_timeout = base::Duration(4'000)};
  };
  Node a(io, options("a"));
  Node b(io, options("b"));
  a.transport->Send(PeerOf(b.identity), Ping{});
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 1; }));
  const auto opened = std::chrono::steady_clock::now();
  REQUIRE(RunUntil(io, [&] { return a.transport->connections() == 0; }));
  CHECK(std::chrono::steady_clock::now() - opened > std::chrono::seconds(2));
  CHECK(b.transport->counts().messages_received > 10);
  CHECK(b.received.size() == 1);
}

TEST_CASE("after a reset the next message goes over a fresh connection") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  a.transport->Send(PeerOf(b.identity), Ping{1, {}});
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 1; }));
  a.transport->Reset(PeerOf(b.identity));
  CHECK(a.transport->connections() == 0);
  CHECK(a.transport->Send(PeerOf(b.identity), Ping{2, {}}));
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 2; }));
}

TEST_CASE(
    "the answer to an old life reaches it, not the new one at its address") {
  boost::asio::io_context io;
  Node server(io, {.identity = MakeIdentity("server")});
  Node old_life(io, {.identity = MakeIdentity("twin")});
  old_life.transport->Send(PeerOf(server.identity), Ping{1, {}});
  REQUIRE(RunUntil(io, [&] { return server.received.size() == 1; }));
  Node new_life(io, {.identity = MakeIdentity("twin")});
  auto as_new = PeerOf(new_life.identity);
  server.transport->Send(PeerOf(old_life.identity), Ack{1, {}, {}});
  server.transport->Send(as_new, Ack{2, {}, {}});
  REQUIRE(RunUntil(io, [&] {
    return old_life.received.size() == 1 && new_life.received.size() == 1;
  }));
  CHECK(std::get<Ack>(old_life.received[0]).sequence == 1);
  CHECK(std::get<Ack>(new_life.received[0]).sequence == 2);
}

TEST_CASE("closing sends what is queued first") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  for (int i = 0; i < 50; ++i) a.transport->Send(PeerOf(b.identity), Ping{});
  bool closed = false;
  a.transport->Close(base::Duration(10'000), [&] { closed = true; });
  REQUIRE(RunUntil(io, [&] { return closed; }));
  CHECK(RunUntil(io, [&] { return b.received.size() == 50; }));
  CHECK_FALSE(a.transport->Send(PeerOf(b.identity), Ping{}));
}

TEST_CASE("a message that comes when its handler has gone is dropped") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a")});
  Node b(io, {.identity = MakeIdentity("b")});
  a.transport->Send(PeerOf(b.identity), Ping{1, {}});
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 1; }));
  b.transport->SetHandler(nullptr);
  a.transport->Send(PeerOf(b.identity), Ping{2, {}});
  REQUIRE(RunUntil(
      io, [&] { return b.transport->counts().messages_received == 3; }));
  const auto count = [&](const Identity&, const Message& it) {
    b.received.push_back(it);
  };
  for (int i = 0; i < 10; ++i) io.poll_one();
  b.transport->SetHandler(count);
  a.transport->Send(PeerOf(b.identity), Ping{3, {}});
  REQUIRE(RunUntil(io, [&] { return b.received.size() == 2; }));
  CHECK(std::get<Ping>(b.received[1]).sequence == 3);
}

TEST_CASE("many threads send and receive without loss on open links") {
  boost::asio::io_context io;
  Node a(io, {.identity = MakeIdentity("a"), .max_queued_messages = 100'000});
  Node b(io, {.identity = MakeIdentity("b")});
  std::atomic<int> received{0};
  b.transport->SetHandler([&](const Identity&, const Message&) { ++received; });
  constexpr int kThreads = 4;
  constexpr int kEach = 500;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  const auto work = boost::asio::make_work_guard(io);
  for (int i = 0; i < kThreads; ++i) threads.emplace_back([&] { io.run(); });
  std::vector<std::thread> senders;
  senders.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    senders.emplace_back([&] {
      for (int n = 0; n < kEach; ++n) {
        a.transport->Send(PeerOf(b.identity), Ping{});
      }
    });
  }
  for (auto& it : senders) it.join();
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (received < kThreads * kEach &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
  }
  CHECK(received == kThreads * kEach);
  io.stop();
  for (auto& it : threads) it.join();
}

}  // namespace
}  // namespace lapishatch::wire
