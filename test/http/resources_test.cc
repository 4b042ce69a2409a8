#include "http/resources.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "http/http.h"
#include "net/io_threads.h"
#include "net/raw_socket.h"

namespace lapishatch::http {
namespace {

using base::BudgetUse;
using base::Duration;
using net::RawSocket;

constexpr Duration kNever{600'000};
/// Of which 200 KB are for peers.
constexpr std::size_t kMemory = 500 * 1024;

ServerLimits PatientLimits() {
  ServerLimits out;
  out.header_timeout = kNever;
  out.body_timeout = kNever;
  out.idle_timeout = kNever;
  out.drain_grace = Duration(0);
  return out;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string Post(std::string_view path, std::size_t length) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

/// A server with few resources. It keeps the requests to /held, answers those
/// to /large with as many bytes as memory there is, and others at once.
struct Fixture {
  explicit Fixture(ProcessLimits process = {kMemory, 1'000})
      : resources(std::make_shared<Resources>(process)),
        server(threads.io(), {"127.0.0.1", 0}, PatientLimits(), resources,
               [this](const ExchangePtr& exchange) { Handle(exchange); }) {
    server.Start();
  }
  ~Fixture() { threads.Stop(); }

  void Handle(const ExchangePtr& exchange) {
    const std::lock_guard lock(mutex);
    targets.push_back(exchange->request().target);
    if (targets.back() == "/held") return held.push_back(exchange);
    Response out;
    if (targets.back() == "/large") out.body = std::string(kMemory, 'x');
    exchange->Respond(std::move(out));
  }

  /// Sends a whole request with `bytes` of body, which is kept. Returns whether
  /// it was received.
  bool Hold(RawSocket& socket, std::size_t bytes) {
    socket.Send(Post("/held", bytes) + std::string(bytes, 'x'));
    return net::AwaitThat([this] { return CountHeld() == 1; });
  }

  std::size_t CountHeld() {
    const std::lock_guard lock(mutex);
    return held.size();
  }

  std::size_t spent(BudgetUse use) const {
    return resources->budget(ResourceKind::kBytes).spent(use);
  }

  net::IoThreads threads{1};
  std::mutex mutex;
  std::vector<std::string> targets;
  std::vector<ExchangePtr> held;
  ResourcesPtr resources;
  Server server;
};

TEST_CASE("an unfinished body gives way to a later one and never runs") {
  Fixture it;
  constexpr std::size_t kBody = 90'000;
  RawSocket unfinished(it.server.endpoint());
  unfinished.Send(Post("/unfinished", kBody) + std::string(kBody - 1, 'x'));
  REQUIRE(net::AwaitThat([&] { return it.spent(BudgetUse::kInput) >= kBody; }));
  RawSocket whole(it.server.endpoint());
  whole.Send(Post("/whole", kBody) + std::string(kBody, 'x'));
  CHECK(Contains(whole.ReadTo("\r\n\r\n"), "200 OK"));
  const auto refusal = unfinished.ReadToEnd();
  CHECK(Contains(refusal, "HTTP/1.1 503 "));
  CHECK(Contains(refusal, "Retry-After: 1\r\n"));
  CHECK(Contains(refusal, "Lapishatch-Work: not-run\r\n"));
  const std::lock_guard lock(it.mutex);
  CHECK(it.targets == std::vector<std::string>{"/whole"});
}

TEST_CASE("a request that was received whole never gives way") {
  Fixture it;
  constexpr std::size_t kBody = 90'000;
  RawSocket held(it.server.endpoint());
  REQUIRE(it.Hold(held, kBody));
  RawSocket refused(it.server.endpoint());
  refused.Send(Post("/refused", kBody) + std::string(kBody, 'x'));
  const auto refusal = refused.ReadToEnd();
  CHECK(Contains(refusal, "HTTP/1.1 503 "));
  CHECK(Contains(refusal, "Lapishatch-Work: not-run\r\n"));
  RawSocket small(it.server.endpoint());
  small.Send(Post("/small", 10) + std::string(10, 'x'));
  CHECK(Contains(small.ReadTo("\r\n\r\n"), "200 OK"));
  it.held.front()->Respond(Response{});
  CHECK(Contains(held.ReadTo("\r\n\r\n"), "200 OK"));
  const std::lock_guard lock(it.mutex);
  CHECK(it.targets == std::vector<std::string>{"/held", "/small"});
}

TEST_CASE("a body that was decoded is free for others") {
  Fixture it;
  constexpr std::size_t kBody = 90'000;
  RawSocket held(it.server.endpoint());
  REQUIRE(it.Hold(held, kBody));
  CHECK(it.spent(BudgetUse::kRequests) >= kBody);
  CHECK_FALSE(it.held.front()->ReplaceBody(kMemory));
  CHECK(it.held.front()->request().body.empty());
  CHECK(it.held.front()->ReplaceBody(1'000));
  CHECK(it.spent(BudgetUse::kRequests) < 2'000);
  it.held.front()->Respond(Response{});
  CHECK(Contains(held.ReadTo("\r\n\r\n"), "200 OK"));
  it.held.clear();
  CHECK(it.spent(BudgetUse::kRequests) == 0);
}

TEST_CASE("an answer that does not fit is replaced by one that says so") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto answer = socket.ReadTo("\r\n\r\n");
  CHECK(Contains(answer, "HTTP/1.1 500 "));
  CHECK(Contains(answer, "Lapishatch-Work: unknown\r\n"));
}

TEST_CASE("a stream that its reader leaves waiting is charged and broken") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(net::AwaitThat([&] { return it.CountHeld() == 1; }));
  const auto exchange = it.held.front();
  exchange->StartStream(Response{});
  bool is_open = true;
  constexpr int kMostWrites = 10'000;
  for (int i = 0; is_open && i < kMostWrites; ++i) {
    is_open = exchange->Write(std::string(10'000, 'x'));
  }
  CHECK_FALSE(is_open);
}

TEST_CASE("everything is returned when the peers are gone") {
  Fixture it;
  {
    RawSocket body(it.server.endpoint());
    body.Send(Post("/a", 50'000) + std::string(20'000, 'x'));
    RawSocket head(it.server.endpoint());
    head.Send("GET / HTTP/1.1\r\nA: " + std::string(5'000, 'x'));
    RawSocket chunks(it.server.endpoint());
    chunks.Send(
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n5;");
    REQUIRE(
        net::AwaitThat([&] { return it.spent(BudgetUse::kInput) >= 25'000; }));
  }
  CHECK(net::AwaitThat([&] {
    return it.resources->budget(ResourceKind::kBytes).spent() == 0 &&
           it.resources->budget(ResourceKind::kDescriptors).spent() == 0;
  }));
}

TEST_CASE("connections of the process close those of peers when none is left") {
  constexpr std::size_t kDescriptors = 64;
  Fixture it({kMemory, kDescriptors});
  std::vector<std::unique_ptr<RawSocket>> peers;
  for (std::size_t i = 0; i < kDescriptors; ++i) {
    peers.push_back(std::make_unique<RawSocket>(it.server.endpoint()));
  }
  const auto& budget = it.resources->budget(ResourceKind::kDescriptors);
  CHECK(net::AwaitThat([&] { return budget.spent() > budget.capacity() / 2; }));
  std::vector<base::Charge> own;
  for (std::size_t i = 0; i < budget.capacity() / 2; ++i) {
    own.push_back(it.resources->MakeCharge(ResourceKind::kDescriptors,
                                           BudgetUse::kOutgoing));
    CHECK(net::AwaitThat([&] { return it.resources->TryConnect(own.back()); }));
  }
  CHECK(budget.spent() <= budget.capacity());
}

}  // namespace
}  // namespace lapishatch::http
