#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "http/http.h"
#include "net/io_threads.h"
#include "net/raw_socket.h"

namespace lapishatch::http {
namespace {

using base::Duration;
using net::RawSocket;

constexpr std::size_t kMaxHead = 1'000;
constexpr std::size_t kMaxBody = 2'000;
constexpr Duration kNever{600'000};
constexpr Duration kShort{50};

ServerLimits SmallLimits() {
  ServerLimits out;
  out.max_header_bytes = kMaxHead;
  out.max_body_bytes = kMaxBody;
  out.header_timeout = kNever;
  out.body_timeout = kNever;
  out.idle_timeout = kNever;
  out.drain_grace = Duration(0);
  return out;
}

/// A server that answers every whole request with 200 and counts them.
struct Fixture {
  explicit Fixture(ServerLimits limits = SmallLimits())
      : server(threads.io(), {"127.0.0.1", 0}, limits,
               [this](const ExchangePtr& exchange) {
                 ++handled;
                 Response out;
                 out.body = exchange->request().method + " " +
                            exchange->request().target + " " +
                            exchange->request().body;
                 exchange->Respond(std::move(out));
               }) {
    server.Start();
  }

  ~Fixture() { threads.Stop(); }

  net::IoThreads threads;
  std::atomic<int> handled{0};
  Server server;
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

/// Checks that `answer` is one whole refusal with `status` that says that the
/// work was not run and ends the connection.
void CheckRefusal(const std::string& answer, int status) {
  INFO(answer);
  CHECK(answer.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0) == 0);
  CHECK(Contains(answer, "Content-Type: application/problem+json\r\n"));
  CHECK(Contains(answer, "Lapishatch-Work: not-run\r\n"));
  CHECK(Contains(answer, "Connection: close\r\n"));
  CHECK(Contains(answer, R"("work":"not-run")"));
  const auto head_end = answer.find("\r\n\r\n");
  CHECK(answer.find("\r\n", head_end + 4) == std::string::npos);
}

struct BadInput {
  const char* what;
  std::string bytes;
  int status;
};

std::string Head(const std::string& fields) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::vector<BadInput> BadInputs() {
  const std::string big(kMaxBody + 1, 'x');
  std::vector<BadInput> out{
      {"garbage", "\x16\x03\x01\x02garbage\r\n\r\n", 400},
      {"no version", "GET /\r\n\r\n", 400},
      {"HTTP/2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 400},
      {"no target", "GET  HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {"space before colon", Head("A : b\r\n"), 400},
      {"no colon", Head("nonsense\r\n"), 400},
      {"control character in a name", Head("A\x01: b\r\n"), 400},
      {"control character in a value", Head("A: b\x01\r\n"), 400},
      {"no Host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two Hosts", Head("Host: other\r\n"), 400},
      {"length no number", Head("Content-Length: five\r\n"), 400},
      {"negative length", Head("Content-Length: -5\r\n"), 400},
      {"huge length", Head("Content-Length: 99999999999999999999\r\n"), 400},
      {"two lengths", Head("Content-Length: 1\r\nContent-Length: 2\r\n"), 400},
      {"length and chunks",
       Head("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400},
      {"bad chunk size",
       Head("Transfer-Encoding: chunked\r\n") + "zz\r\nabc\r\n", 400},
      {"chunk without end",
       Head("Transfer-Encoding: chunked\r\n") + "3\r\nabcdef\r\n", 400},
      {"long chunk line",
       Head("Transfer-Encoding: chunked\r\n") + "3;" + big + big, 400},
      {"long target", "GET /" + big + " HTTP/1.1\r\nHost: h\r\n\r\n", 431},
      {"long field", Head("A: " + big + "\r\n"), 431},
      {"long field without end", "GET / HTTP/1.1\r\nA: " + big, 431},
      {"long body", Head("Content-Length: 2001\r\n"), 413},
      {"long body sent", Head("Content-Length: 2001\r\n") + big, 413},
      {"long chunk",
       Head("Transfer-Encoding: chunked\r\n") + "7d1\r\n" + big + "\r\n", 413},
  };
  std::string many;
  for (int i = 0; i < 200; ++i) many += "F" + std::to_string(i) + ": v\r\n";
  out.push_back({"many fields", Head(many), 431});
  return out;
}

TEST_CASE("the server answers bad input itself, and goes on") {
  Fixture it;
  for (const auto& input : BadInputs()) {
    DYNAMIC_SECTION(input.what) {
      RawSocket socket(it.server.endpoint());
      socket.Send(input.bytes);
      CheckRefusal(socket.ReadToEnd(), input.status);
      CHECK(it.handled == 0);
      RawSocket good(it.server.endpoint());
      good.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      CHECK(Contains(good.ReadToEnd(), "HTTP/1.1 200"));
    }
  }
}

TEST_CASE("a request cut short is refused, wherever it is cut") {
  Fixture it;
  const std::string whole =
      Head("Content-Length: 4\r\nLapishatch-Class: urgent\r\n") + "body";
  for (std::size_t n = 1; n < whole.size(); n += 7) {
    RawSocket socket(it.server.endpoint());
    socket.Send(whole.substr(0, n));
    socket.EndSending();
    CheckRefusal(socket.ReadToEnd(), 400);
  }
  CHECK(it.handled == 0);
}

TEST_CASE("any way of cutting a request into pieces gives the same answer") {
  Fixture it;
  const std::string whole = Head("Transfer-Encoding: chunked\r\n") +
                            "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n";
  RawSocket socket(it.server.endpoint());
  for (std::size_t n = 1; n < whole.size(); n += 3) {
    socket.Send(whole.substr(0, n));
    socket.Send(whole.substr(n));
    CHECK(Contains(socket.ReadTo("abcdefg"), "POST /a abcdefg"));
  }
}

TEST_CASE("a slow head is answered 408, however steadily it drips") {
  auto limits = SmallLimits();
  limits.header_timeout = kShort;
  Fixture it(limits);
  RawSocket socket(it.server.endpoint());
  SECTION("silent after the first bytes") { socket.Send("GET / HT"); }
  SECTION("dripping") {
    // 100 times the time-out until the head would be full.
    constexpr std::chrono::milliseconds kDrip{5};
    for (std::size_t i = 0; i < kMaxHead - 1; ++i) {
      socket.Send("G");
      if (socket.AwaitInput(kDrip)) break;
    }
  }
  CheckRefusal(socket.ReadToEnd(), 408);
  CHECK(it.handled == 0);
}

TEST_CASE("a slow body is answered 408") {
  auto limits = SmallLimits();
  limits.body_timeout = kShort;
  Fixture it(limits);
  RawSocket socket(it.server.endpoint());
  socket.Send(Head("Content-Length: 10\r\n") + "abc");
  CheckRefusal(socket.ReadToEnd(), 408);
  CHECK(it.handled == 0);
}

TEST_CASE("a silent connection between requests is closed without a word") {
  auto limits = SmallLimits();
  limits.idle_timeout = kShort;
  Fixture it(limits);
  RawSocket fresh(it.server.endpoint());
  CHECK(fresh.ReadToEnd().empty());
  RawSocket used(it.server.endpoint());
  used.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto answer = used.ReadToEnd();
  CHECK(Contains(answer, "GET /x "));
  CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
}

/// A server for two connections that keeps requests until they are answered by
/// the test.
struct HoldingFixture {
  HoldingFixture()
      : server(threads.io(), {"127.0.0.1", 0}, Limits(),
               [this](ExchangePtr exchange) {
                 const std::lock_guard lock(mutex);
                 held.push_back(std::move(exchange));
               }) {
    server.Start();
  }
  ~HoldingFixture() { threads.Stop(); }

  static ServerLimits Limits() {
    auto out = SmallLimits();
    out.max_connections = 2;
    return out;
  }

  std::size_t CountHeld() {
    const std::lock_guard lock(mutex);
    return held.size();
  }

  void AnswerAll() {
    const std::lock_guard lock(mutex);
    for (const auto& it : held) it->Respond(Response{});
    held.clear();
  }

  net::IoThreads threads;
  std::mutex mutex;
  std::vector<ExchangePtr> held;
  Server server;
};

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kLastGet =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

TEST_CASE("connections above the limit are told so while the others are busy") {
  HoldingFixture it;
  RawSocket first(it.server.endpoint());
  RawSocket second(it.server.endpoint());
  first.Send(kGet);
  second.Send(kGet);
  REQUIRE(net::AwaitThat([&] { return it.CountHeld() == 2; }));
  RawSocket third(it.server.endpoint());
  const auto refusal = third.ReadToEnd();
  CheckRefusal(refusal, 503);
  CHECK(Contains(refusal, "Retry-After: 1\r\n"));
  it.AnswerAll();
  CHECK(Contains(first.ReadTo("\r\n\r\n"), "200 OK"));
  CHECK(Contains(second.ReadTo("\r\n\r\n"), "200 OK"));
  first.Close();
  CHECK(net::AwaitThat([&] {
    RawSocket next(it.server.endpoint());
    next.Send(kLastGet);
    while (!next.AwaitInput(std::chrono::milliseconds(1))) it.AnswerAll();
    return Contains(next.ReadToEnd(), "200 OK");
  }));
}

TEST_CASE("an idle connection above the limit gives way to a new one") {
  auto limits = SmallLimits();
  limits.max_connections = 2;
  Fixture it(limits);
  RawSocket first(it.server.endpoint());
  RawSocket second(it.server.endpoint());
  first.Send(kGet);
  second.Send(kGet);
  CHECK(Contains(first.ReadTo("GET / "), "200 OK"));
  CHECK(Contains(second.ReadTo("GET / "), "200 OK"));
  CHECK(net::AwaitThat([&] {
    RawSocket next(it.server.endpoint());
    next.Send(kLastGet);
    return Contains(next.ReadToEnd(), "200 OK");
  }));
  const bool is_first_closed = first.AwaitInput(std::chrono::milliseconds(0));
  const bool is_second_closed = second.AwaitInput(std::chrono::milliseconds(0));
  CHECK((is_first_closed || is_second_closed));
}

TEST_CASE("pipelined requests are answered in order") {
  Fixture it;
  std::string all;
  for (int i = 0; i < 50; ++i) {
    all += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  RawSocket socket(it.server.endpoint());
  socket.Send(all);
  for (int i = 0; i < 50; ++i) {
    const auto expected = "GET /" + std::to_string(i) + " ";
    CHECK(Contains(socket.ReadTo(expected), "200 OK"));
  }
  CHECK(it.handled == 50);
}

TEST_CASE("100-continue is answered before the body") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(Head("Content-Length: 4\r\nExpect: 100-continue\r\n"));
  CHECK(socket.ReadTo("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  socket.Send("body");
  CHECK(Contains(socket.ReadTo("body"), "200 OK"));
}

TEST_CASE("HEAD gets no body, HTTP/1.0 gets its connection closed") {
  Fixture it;
  RawSocket head(it.server.endpoint());
  head.Send("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const auto answer = head.ReadToEnd();
  CHECK(Contains(answer, "Content-Length: 8\r\n"));
  CHECK(answer.substr(answer.size() - 4) == "\r\n\r\n");
  RawSocket old(it.server.endpoint());
  old.Send("GET /b HTTP/1.0\r\n\r\n");
  CHECK(Contains(old.ReadToEnd(), "GET /b "));
}

TEST_CASE("a peer that only ended its sending still gets its answer") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send("GET /half HTTP/1.1\r\nHost: h\r\n\r\n");
  socket.EndSending();
  CHECK(Contains(socket.ReadToEnd(), "GET /half "));
}

}  // namespace
}  // namespace lapishatch::http
