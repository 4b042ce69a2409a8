#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/http.h"
#include "net/io_threads.h"
#include "net/raw_socket.h"

namespace lapishatch::http {
namespace {

using base::Duration;
using net::RawServer;
using net::RawSocket;

constexpr Duration kLong{50'000};
constexpr Duration kShort{50};

struct Fixture {
  explicit Fixture(ClientLimits limits = {}) : client(threads.io(), limits) {}
  ~Fixture() { threads.Stop(); }

  ClientResult Send(const Endpoint& endpoint, Request request,
                    Duration timeout = kLong) {
    return net::Await<ClientResult>([&](auto done) {
      client.Send(endpoint, std::move(request), timeout, done);
    });
  }

  Response Get(const Endpoint& endpoint, const std::string& target = "/") {
    Request request;
    request.target = target;
    auto result = Send(endpoint, request);
    if (const auto* error = std::get_if<ClientError>(&result)) {
      FAIL(error->detail);
    }
    return std::get<Response>(std::move(result));
  }

  ClientError Fail(const Endpoint& endpoint, Duration timeout = kLong,
                   Request request = {}) {
    auto result = Send(endpoint, std::move(request), timeout);
    REQUIRE(std::holds_alternative<ClientError>(result));
    return std::get<ClientError>(std::move(result));
  }

  net::IoThreads threads;
  Client client;
};

/// An endpoint where nobody listens.
Endpoint Nobody() {
  boost::asio::io_context io;
  return Server(io, {"127.0.0.1", 0}, {}, [](auto&&) {}).endpoint();
}

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Answers requests until its connections fall silent: those that are open then
/// stay open and answer nothing more, new ones work.
class SilenceableServer {
 public:
  SilenceableServer()
      : acceptor_(threads_.io(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  ~SilenceableServer() { threads_.Stop(); }
  SilenceableServer(const SilenceableServer&) = delete;
  SilenceableServer& operator=(const SilenceableServer&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int connections() const { return connections_; }
  /// Holds answers back until so many requests have arrived.
  void AnswerAfter(int requests) { answer_after_ = requests; }
  void Silence() { silenced_before_ = connections_.load(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Session {
    Socket socket;
    int number = 0;
    std::string input;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& ec, Socket socket) {
          if (ec) return;
          Read(std::make_shared<Session>(
              Session{std::move(socket), connections_++, ""}));
          Accept();
        });
  }

  void Read(const SessionPtr& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->input),
        "\r\n\r\n",
        [this, session](const boost::system::error_code& ec, std::size_t n) {
          if (ec) return;
          session->input.erase(0, n);
          Read(session);
          if (session->number < silenced_before_) return;
          held_.push_back(session);
          if (++received_ < answer_after_) return;
          for (const auto& it : held_) {
            boost::system::error_code write_ec;
            boost::asio::write(it->socket, boost::asio::buffer(Answer("x")),
                               write_ec);
          }
          held_.clear();
        });
  }

  net::IoThreads threads_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> connections_{0};
  int received_ = 0;
  std::atomic<int> answer_after_{0};
  std::atomic<int> silenced_before_{0};
  std::vector<SessionPtr> held_;
};

TEST_CASE("nothing was sent when nobody listens") {
  Fixture it;
  const auto error = it.Fail(Nobody());
  CHECK(error.progress == Progress::kNothingSent);
  CHECK_FALSE(error.timed_out);
  CHECK(it.Fail({"no number", 1}).progress == Progress::kNothingSent);
}

TEST_CASE("the callback never runs inside Send") {
  Fixture it;
  std::mutex mutex;
  std::atomic<int> called{0};
  const auto send = [&](const Endpoint& endpoint) {
    const std::lock_guard lock(mutex);
    it.client.Send(endpoint, {}, kLong, [&](const ClientResult&) {
      const std::lock_guard inner(mutex);
      ++called;
    });
  };
  // On an io thread, where dispatching could run it at once.
  boost::asio::post(it.threads.io(), [&] {
    send({"no number", 1});
    send(Nobody());
  });
  CHECK(net::AwaitThat([&] { return called == 2; }));
}

TEST_CASE("something may have been sent when the peer ends the connection") {
  const auto how = GENERATE("close", "reset", "close after reading",
                            "part of a head", "part of a body", "nonsense");
  INFO(how);
  const std::string way = how;
  RawServer server([&](RawSocket& socket) {
    if (way == "close") return;
    socket.ReadTo("\r\n\r\n");
    if (way == "reset") socket.Reset();
    if (way == "part of a head") socket.Send("HTTP/1.1 200 OK\r\nConte");
    if (way == "part of a body") {
      socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    }
    if (way == "nonsense") socket.Send("nonsense\r\n\r\n");
  });
  Fixture it;
  const auto error = it.Fail(server.endpoint());
  CHECK(error.progress == Progress::kMaybeSent);
  CHECK_FALSE(error.timed_out);
  CHECK(server.connections() == 1);
}

TEST_CASE("a silent or dripping peer costs its time-out and its connection") {
  std::atomic<bool> drips{GENERATE(false, true)};
  std::atomic<int> closed{0};
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    if (drips) socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    while (drips && !socket.AwaitInput(std::chrono::milliseconds(1))) {
      if (!socket.Send("x")) break;
    }
    socket.ReadToEnd();
    ++closed;
  });
  Fixture it;
  const auto error = it.Fail(server.endpoint(), kShort);
  CHECK(error.progress == Progress::kMaybeSent);
  CHECK(error.timed_out);
  CHECK(net::AwaitThat([&] { return closed == 1; }));
  CHECK(it.client.busy(server.endpoint()) == 0);
}

/// Opens `n` connections of the client and leaves them idle.
void OpenConnections(Client& client, SilenceableServer& server, int n) {
  std::atomic<int> answered{0};
  server.AnswerAfter(n);
  for (int i = 0; i < n; ++i) {
    client.Send(server.endpoint(), {}, kLong,
                [&answered](const ClientResult&) { ++answered; });
  }
  REQUIRE(net::AwaitThat([&] { return answered == n; }));
  REQUIRE(server.connections() == n);
}

TEST_CASE("idle connections that fell silent together cost one time-out") {
  constexpr int kIdle = 5;
  ClientLimits limits;
  limits.suspect_idle_time = kShort / 2;
  Fixture it(limits);
  SilenceableServer server;
  OpenConnections(it.client, server, kIdle);
  server.Silence();
  CHECK(it.Fail(server.endpoint(), kShort).timed_out);
  CHECK(it.Get(server.endpoint()).body == "x");
  CHECK(server.connections() == kIdle + 1);
}

TEST_CASE("a time-out leaves connections that have just answered") {
  constexpr int kIdle = 5;
  ClientLimits limits;
  limits.suspect_idle_time = kLong;
  Fixture it(limits);
  SilenceableServer server;
  OpenConnections(it.client, server, kIdle);
  server.Silence();
  for (int i = 0; i < kIdle; ++i) {
    CHECK(it.Fail(server.endpoint(), kShort).timed_out);
  }
  CHECK(it.Get(server.endpoint()).body == "x");
  CHECK(server.connections() == kIdle + 1);
}

TEST_CASE("an answer that came in time is taken by a loop that fell behind") {
  std::atomic<bool> is_blocked{false};
  std::atomic<bool> is_read{false};
  std::atomic<bool> is_answered{false};
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    is_read = true;
    if (!net::AwaitThat([&] { return is_blocked.load(); })) return;
    socket.Send(Answer("in time"));
    is_answered = true;
    socket.ReadToEnd();
  });
  boost::asio::io_context io(1);
  Client client(io, {});
  std::optional<ClientResult> result;
  const auto deadline = base::SteadyClock().Now() + kShort;
  client.Send(server.endpoint(), {}, kShort,
              [&result](ClientResult it) { result = std::move(it); });
  while (!is_read && !result) io.poll();
  REQUIRE(is_read);
  // The loop looks at nothing until the answer is there and the deadline has
  // passed.
  is_blocked = true;
  REQUIRE(net::AwaitThat(
      [&] { return is_answered && base::SteadyClock().Now() > deadline; }));
  while (!result) io.run_one();
  REQUIRE(std::holds_alternative<Response>(*result));
  CHECK(std::get<Response>(*result).body == "in time");
}

TEST_CASE("a peer that never takes the connection costs the connect time-out") {
  // A listener with a full queue drops further handshakes.
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io);
  const auto address = boost::asio::ip::make_address("127.0.0.1");
  acceptor.open(boost::asio::ip::tcp::v4());
  acceptor.bind({address, 0});
  acceptor.listen(0);
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  RawSocket first(endpoint);
  ClientLimits limits;
  limits.connect_timeout = kShort;
  Fixture it(limits);
  std::vector<std::unique_ptr<Fixture>> others;
  // The first connections may still find room; one at last does not.
  ClientError error;
  for (int i = 0; i < 4; ++i) {
    others.push_back(std::make_unique<Fixture>(limits));
    error = others.back()->Fail(endpoint, 4 * kShort);
    if (error.progress == Progress::kNothingSent) break;
  }
  CHECK(error.progress == Progress::kNothingSent);
  CHECK(error.timed_out);
}

TEST_CASE("a request waits for a free connection, within limits") {
  std::atomic<int> asked{0};
  std::vector<ExchangePtr> held;
  std::mutex mutex;
  Fixture it([] {
    ClientLimits limits;
    limits.connections_per_endpoint = 1;
    limits.waiting_per_endpoint = 1;
    return limits;
  }());
  Server server(it.threads.io(), {"127.0.0.1", 0}, {}, [&](ExchangePtr x) {
    const std::lock_guard lock(mutex);
    held.push_back(std::move(x));
    ++asked;
  });
  server.Start();
  const auto endpoint = server.endpoint();
  std::atomic<int> answered{0};
  it.client.Send(endpoint, {}, kLong, [&](const ClientResult& result) {
    answered += std::holds_alternative<Response>(result);
  });
  REQUIRE(net::AwaitThat([&] { return asked == 1; }));
  CHECK(it.client.busy(endpoint) == 1);

  SECTION("it waits until its time-out, and nothing was sent") {
    const auto error = it.Fail(endpoint, kShort);
    CHECK(error.progress == Progress::kNothingSent);
    CHECK(error.timed_out);
  }
  SECTION("it is sent when the connection becomes free; one more is refused") {
    it.client.Send(endpoint, {}, kLong, [&](const ClientResult& result) {
      answered += std::holds_alternative<Response>(result);
    });
    const auto error = it.Fail(endpoint);
    CHECK(error.no_connection_free);
    CHECK_FALSE(error.timed_out);
    CHECK(error.progress == Progress::kNothingSent);
    held.front()->Respond({});
    REQUIRE(net::AwaitThat([&] { return asked == 2; }));
    held.back()->Respond({});
    CHECK(net::AwaitThat([&] { return answered == 2; }));
  }
  held.clear();
  it.threads.Stop();
}

TEST_CASE("a connection that the peer closed while idle costs no request") {
  std::atomic<int> closed{0};
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    socket.Send(Answer("one"));
    socket.Close();
    ++closed;
  });
  Fixture it;
  for (int i = 0; i < 200; ++i) {
    REQUIRE(it.Get(server.endpoint()).body == "one");
    // The end of the connection has arrived; whether the client has seen it
    // when it sends again is left to chance.
    REQUIRE(net::AwaitThat([&] { return closed == i + 1; }));
  }
  CHECK(server.connections() == 200);
}

TEST_CASE("an answer nobody asked for is never taken for the next one") {
  RawServer server([](RawSocket& socket) {
    const auto request = socket.ReadTo("\r\n\r\n");
    const bool is_first = request.find("GET /first ") != std::string::npos;
    if (!is_first) {
      socket.Send(
          "HTTP/1.1 200 OK\r\nConnection: close\r\n"
          "Content-Length: 6\r\n\r\nsecond");
      return;
    }
    // In one segment, or following at once.
    socket.Send(Answer("first") + Answer("stray"));
    socket.Send(Answer("stray"));
    socket.ReadToEnd();
  });
  Fixture it;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(it.Get(server.endpoint(), "/first").body == "first");
    REQUIRE(it.Get(server.endpoint(), "/second").body == "second");
  }
}

TEST_CASE("answers of every framing are read whole") {
  struct Framing {
    std::string bytes;
    std::string body;
    int status;
  };
  const auto it = GENERATE(
      Framing{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
              "abcde", 200},
      Framing{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end",
              "to the end", 200},
      Framing{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"
              "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok",
              "ok", 201},
      Framing{"HTTP/1.1 204 No Content\r\n\r\n", "", 204},
      Framing{"HTTP/1.0 404 Not Found\r\nContent-Length: 1\r\n\r\nx", "x",
              404});
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    socket.Send(it.bytes);
  });
  Fixture fixture;
  const auto response = fixture.Get(server.endpoint());
  CHECK(response.body == it.body);
  CHECK(response.status == it.status);
}

TEST_CASE("an answer larger than allowed is an error, not memory") {
  ClientLimits limits;
  limits.max_body_bytes = 1000;
  RawServer server([](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    socket.Send(Answer(std::string(1001, 'x')));
    socket.ReadToEnd();
  });
  Fixture it(limits);
  CHECK(it.Fail(server.endpoint()).progress == Progress::kMaybeSent);
}

TEST_CASE("an early answer to a large request is delivered") {
  ServerLimits limits;
  limits.max_body_bytes = 1000;
  Fixture it;
  Server server(it.threads.io(), {"127.0.0.1", 0}, limits, [](auto&&) {});
  server.Start();
  Request request;
  request.method = "PUT";
  request.body.assign(16U * 1024 * 1024, 'x');
  const auto result = it.Send(server.endpoint(), request);
  REQUIRE(std::holds_alternative<Response>(result));
  CHECK(std::get<Response>(result).status == 413);
  it.threads.Stop();
}

TEST_CASE("forgetting an endpoint closes its idle connections") {
  std::atomic<int> ended{0};
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    socket.Send(Answer("x"));
    socket.ReadToEnd();
    ++ended;
  });
  Fixture it;
  it.Get(server.endpoint());
  it.client.Forget(server.endpoint());
  CHECK(net::AwaitThat([&] { return ended == 1; }));
}

TEST_CASE("an idle connection is closed after its time") {
  std::atomic<int> ended{0};
  RawServer server([&](RawSocket& socket) {
    socket.ReadTo("\r\n\r\n");
    socket.Send(Answer("x"));
    socket.ReadToEnd();
    ++ended;
  });
  ClientLimits limits;
  limits.idle_timeout = kShort;
  Fixture it(limits);
  it.Get(server.endpoint());
  CHECK(net::AwaitThat([&] { return ended == 1; }));
}

TEST_CASE("a destroyed client drops its requests and their callbacks") {
  RawServer server([](RawSocket& socket) { socket.ReadToEnd(); });
  net::IoThreads threads;
  const auto token = std::make_shared<int>(0);
  std::atomic<bool> called{false};
  {
    Client client(threads.io(), {});
    for (int i = 0; i < 20; ++i) {
      client.Send(server.endpoint(), {}, kLong,
                  [token, &called](const ClientResult&) { called = true; });
    }
  }
  CHECK(net::AwaitThat([&] { return token.use_count() == 1; }));
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace lapishatch::http
