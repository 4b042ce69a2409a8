#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "http/http.h"
#include "net/io_threads.h"

namespace lapishatch::http {
namespace {

using base::Duration;

/// Answers the body of each request after a random delay, from several threads,
/// in any order.
class DelayingServer {
 public:
  DelayingServer(boost::asio::io_context& io, int longest_ms,
                 ServerLimits limits = {})
      : io_(io),
        longest_ms_(longest_ms),
        server_(io, {"127.0.0.1", 0}, limits,
                [this](const ExchangePtr& it) { Answer(it); }) {
    server_.Start();
  }

  Endpoint endpoint() const { return server_.endpoint(); }
  Server& server() { return server_; }
  int handled() const { return handled_; }

 private:
  void Answer(const ExchangePtr& exchange) {
    const auto n = static_cast<std::uint64_t>(++handled_);
    base::Random random(n);
    std::uniform_int_distribution<int> delay(0, longest_ms_);
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(delay(random)));
    timer->async_wait([timer, exchange](const boost::system::error_code&) {
      exchange->Respond({200, {}, exchange->request().body});
    });
  }

  boost::asio::io_context& io_;
  const int longest_ms_;
  std::atomic<int> handled_{0};
  Server server_;
};

/// Sends numbered requests in closed loops and counts how they end.
class Callers {
 public:
  /// Every other request has a time-out of 1 to `short_timeout_ms`, the rest
  /// (or with 0, all) one that no test reaches: on a machine of any speed some
  /// are answered and some are late.
  Callers(Client& client, std::function<Endpoint()> choose, int requests,
          int short_timeout_ms)
      : client_(client),
        choose_(std::move(choose)),
        requests_(requests),
        short_timeout_ms_(short_timeout_ms) {}

  void Start(int loops) {
    for (int i = 0; i < loops; ++i) SendNext();
  }

  bool AwaitEnd() {
    return net::AwaitThat([&] { return ended == requests_; });
  }

  std::atomic<int> ended{0};
  std::atomic<int> answered{0};
  std::atomic<int> wrong{0};
  std::atomic<int> timed_out{0};
  std::atomic<int> cut{0};

 private:
  void SendNext() {
    const int id = next_++;
    if (id >= requests_) return;
    Request request;
    request.method = "POST";
    request.body = "request " + std::to_string(id) + std::string(id % 977, '.');
    const auto expected = request.body;
    client_.Send(choose_(), std::move(request), TimeoutOf(id),
                 [this, expected](const ClientResult& result) {
                   Count(result, expected);
                   SendNext();
                   ++ended;
                 });
  }

  Duration TimeoutOf(int id) const {
    constexpr Duration kNever = 2 * net::kTestLimit;
    if (short_timeout_ms_ == 0 || id % 2 == 0) return kNever;
    base::Random random(static_cast<std::uint64_t>(id) + 1'000'000);
    std::uniform_int_distribution<int> timeout(1, short_timeout_ms_);
    return Duration(timeout(random));
  }

  void Count(const ClientResult& result, const std::string& expected) {
    if (const auto* response = std::get_if<Response>(&result)) {
      ++answered;
      wrong += response->body != expected;
      return;
    }
    const auto& error = std::get<ClientError>(result);
    timed_out += error.timed_out;
    cut += error.progress == Progress::kMaybeSent && !error.timed_out;
  }

  Client& client_;
  const std::function<Endpoint()> choose_;
  const int requests_;
  const int short_timeout_ms_;
  std::atomic<int> next_{0};
};

TEST_CASE("thousands of late and crossing answers reach nobody else") {
  constexpr int kRequests = 6'000;
  constexpr int kLongestMs = 12;
  net::IoThreads threads(4);
  DelayingServer server(threads.io(), kLongestMs);
  ClientLimits limits;
  limits.connections_per_endpoint = 32;
  Client client(threads.io(), limits);
  Callers callers(
      client, [&] { return server.endpoint(); }, kRequests, kLongestMs);
  callers.Start(64);
  REQUIRE(callers.AwaitEnd());
  CHECK(callers.wrong == 0);
  // Both kinds have to be there for the test to say anything.
  CHECK(callers.answered > kRequests / 20);
  CHECK(callers.timed_out > kRequests / 20);
  CHECK(callers.cut == 0);
  threads.Stop();
}

TEST_CASE("a planned stop under load cuts no request") {
  constexpr int kRequests = 20'000;
  constexpr int kLoops = 16;
  net::IoThreads threads(4);
  ServerLimits limits;
  limits.drain_grace = Duration(300);
  std::vector<std::unique_ptr<DelayingServer>> servers;
  constexpr std::size_t kServers = 4;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(
        std::make_unique<DelayingServer>(threads.io(), 2, limits));
  }
  std::atomic<std::size_t> current{0};
  ClientLimits client_limits;
  client_limits.connections_per_endpoint = kLoops;
  Client client(threads.io(), client_limits);
  Callers callers(
      client, [&] { return servers[current]->endpoint(); }, kRequests, 0);
  callers.Start(kLoops);
  for (std::size_t i = 0; i + 1 < kServers; ++i) {
    const int share = kRequests / static_cast<int>(kServers);
    REQUIRE(net::AwaitThat(
        [&] { return callers.ended >= share * static_cast<int>(i + 1); }));
    // The balancer turns first, then the server stops.
    current = i + 1;
    std::atomic<bool> drained{false};
    servers[i]->server().Drain([&] { drained = true; });
    REQUIRE(net::AwaitThat([&] { return drained.load(); }));
  }
  REQUIRE(callers.AwaitEnd());
  CHECK(callers.answered == kRequests);
  CHECK(callers.wrong == 0);
  CHECK(callers.cut == 0);
  int handled = 0;
  for (const auto& it : servers) handled += it->handled();
  CHECK(handled == kRequests);
  threads.Stop();
}

}  // namespace
}  // namespace lapishatch::http
