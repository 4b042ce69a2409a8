#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <vector>

#include "http/http.h"
#include "http/internal/stream_buffer.h"
#include "net/io_threads.h"
#include "net/raw_socket.h"

namespace lapishatch::http {
namespace {

using base::Duration;
using net::RawSocket;

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose exchanges a test takes and answers itself.
struct Fixture {
  explicit Fixture(ServerLimits limits = {})
      : server(threads.io(), {"127.0.0.1", 0}, limits,
               [this](ExchangePtr exchange) {
                 const std::lock_guard lock(mutex);
                 taken.push_back(std::move(exchange));
               }) {
    server.Start();
  }

  ~Fixture() {
    taken.clear();
    threads.Stop();
  }

  /// The next request's exchange.
  ExchangePtr Take() {
    ExchangePtr out;
    net::AwaitThat([&] {
      const std::lock_guard lock(mutex);
      if (taken.empty()) return false;
      out = std::move(taken.front());
      taken.erase(taken.begin());
      return true;
    });
    return out;
  }

  net::IoThreads threads;
  std::mutex mutex;
  std::vector<ExchangePtr> taken;
  Server server;
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("an exchange that is dropped answers 500, work unknown") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  it.Take().reset();
  const auto answer = socket.ReadTo("unknown\"}");
  CHECK(Contains(answer, "HTTP/1.1 500 "));
  CHECK(Contains(answer, "Lapishatch-Work: unknown\r\n"));
  socket.Send(kGet);
  it.Take()->Respond({});
  CHECK(Contains(socket.ReadTo("\r\n\r\n"), "HTTP/1.1 200 "));
}

TEST_CASE("only the first of several answers counts") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  const auto exchange = it.Take();
  exchange->Respond({200, {}, "first"});
  exchange->Respond({200, {}, "second"});
  exchange->StartStream({});
  CHECK_FALSE(exchange->Write("third"));
  exchange->End();
  CHECK(Contains(socket.ReadTo("first"), "HTTP/1.1 200 "));
  socket.Send(kGet);
  it.Take()->Respond({200, {}, "next"});
  CHECK(Contains(socket.ReadTo("next"), "\r\nContent-Length: 4\r\n"));
}

TEST_CASE("a value cannot begin another header field") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  it.Take()->Respond({200, {{"A", "b\r\nEvil: yes"}}, ""});
  CHECK(Contains(socket.ReadTo("\r\n\r\n"), "A: b  Evil: yes\r\n"));
}

TEST_CASE("the handler hears once that the peer has left") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  const auto exchange = it.Take();
  std::atomic<int> gone{0};
  SECTION("by a reset") {
    exchange->OnGone([&] { ++gone; });
    socket.Reset();
  }
  SECTION("by closing, before the handler asks") {
    socket.Close();
    exchange->OnGone([&] { ++gone; });
  }
  CHECK(net::AwaitThat([&] { return gone == 1; }));
  exchange->Respond({});
  CHECK(net::AwaitThat([&] { return it.server.in_progress() == 0; }));
  CHECK(gone == 1);
}

TEST_CASE("a peer that leaves after its answer is no news to the handler") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  const auto exchange = it.Take();
  std::atomic<int> gone{0};
  exchange->OnGone([&] { ++gone; });
  exchange->Respond({200, {}, "whole"});
  CHECK(Contains(socket.ReadTo("whole"), "HTTP/1.1 200 "));
  socket.Close();
  CHECK(net::AwaitThat([&] { return it.server.in_progress() == 0; }));
  it.threads.Stop();
  CHECK(gone == 0);
}

TEST_CASE("a stream carries every byte in order, then the next request") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send("GET /watch HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto exchange = it.Take();
  exchange->StartStream({200, {{"Content-Type", "application/x-ndjson"}}, ""});
  std::string expected;
  for (int i = 0; i < 1000; ++i) {
    const auto line = "{\"version\":" + std::to_string(i) + "}\n";
    expected += line;
    REQUIRE(exchange->Write(line));
  }
  exchange->End();
  CHECK_FALSE(exchange->Write("too late"));
  const auto head = socket.ReadTo("\r\n\r\n");
  CHECK(Contains(head, "Transfer-Encoding: chunked\r\n"));
  std::string body;
  while (true) {
    const auto size = std::stoul(socket.ReadTo("\r\n"), nullptr, 16);
    if (size == 0) break;
    std::string chunk;
    while (chunk.size() < size) chunk += socket.ReadTo("\n");
    body += chunk;
    CHECK(socket.ReadTo("\r\n") == "\r\n");
  }
  CHECK(body == expected);
  CHECK(socket.ReadTo("\r\n") == "\r\n");
  socket.Send(kGet);
  it.Take()->Respond({200, {}, "after"});
  CHECK(Contains(socket.ReadTo("after"), "HTTP/1.1 200 "));
}

TEST_CASE("a stream that is dropped before its end is seen to be cut") {
  Fixture it;
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  auto exchange = it.Take();
  exchange->StartStream({});
  exchange->Write("line\n");
  CHECK(Contains(socket.ReadTo("line\n\r\n"), "line"));
  exchange.reset();
  CHECK(socket.ReadToEnd().empty());
  CHECK(net::AwaitThat([&] { return it.server.in_progress() == 0; }));
}

TEST_CASE("a broken stream never counts as ended") {
  internal::StreamBuffer broken(1024);
  broken.Add("line\n");
  CHECK(broken.Break());
  CHECK(broken.dead());
  CHECK_FALSE(broken.ended());
  CHECK(broken.Take().empty());
  internal::StreamBuffer whole(1024);
  whole.Add("line\n");
  CHECK(whole.End());
  CHECK_FALSE(whole.Break());
  CHECK(whole.ended());
  CHECK(whole.Take() == "line\n");
}

// The peer may have the bytes before the session hears that they are written:
// the drop then falls between that and its next look at the stream.
TEST_CASE("a stream dropped at any moment never looks whole") {
  constexpr int kDrops = 2000;
  Fixture it;
  int looked_whole = 0;
  for (int i = 0; i < kDrops; ++i) {
    RawSocket socket(it.server.endpoint());
    socket.Send(kGet);
    auto exchange = it.Take();
    exchange->StartStream({});
    exchange->Write("line\n");
    socket.ReadTo("line\n\r\n");
    exchange.reset();
    if (!socket.ReadToEnd().empty()) ++looked_whole;
  }
  CHECK(looked_whole == 0);
}

TEST_CASE("a stream whose peer does not read is closed, its backlog bounded") {
  ServerLimits limits;
  std::size_t written = 0;
  const std::string block(64 * 1024, 'x');
  SECTION("by the backlog") {
    limits.max_stream_backlog_bytes = 1024 * 1024;
    Fixture it(limits);
    RawSocket socket(it.server.endpoint());
    socket.Send(kGet);
    const auto exchange = it.Take();
    std::atomic<bool> gone{false};
    exchange->OnGone([&] { gone = true; });
    exchange->StartStream({});
    while (exchange->Write(block)) written += block.size();
    // The kernel's buffers take some megabytes besides.
    CHECK(written < 64U * 1024 * 1024);
    CHECK(net::AwaitThat([&] { return gone.load(); }));
  }
  SECTION("by the time without progress") {
    limits.max_stream_backlog_bytes = 256U * 1024 * 1024;
    limits.stream_stall_timeout = Duration(50);
    Fixture it(limits);
    RawSocket socket(it.server.endpoint());
    socket.Send(kGet);
    const auto exchange = it.Take();
    std::atomic<bool> gone{false};
    exchange->OnGone([&] { gone = true; });
    exchange->StartStream({});
    // More than the kernel's buffers take.
    for (int i = 0; i < 1000; ++i) exchange->Write(block);
    CHECK(net::AwaitThat([&] { return gone.load(); }));
    CHECK_FALSE(exchange->Write(block));
  }
}

TEST_CASE("a stream over its backlog is closed though a write is stuck") {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  ServerLimits limits;
  limits.max_stream_backlog_bytes = 64 * kMegabyte;
  limits.stream_stall_timeout = 2 * net::kTestLimit;
  Fixture it(limits);
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  const auto exchange = it.Take();
  std::atomic<bool> gone{false};
  exchange->OnGone([&] { gone = true; });
  exchange->StartStream({});
  // More than the kernel's buffers take, and the write of it has begun.
  REQUIRE(exchange->Write(std::string(48 * kMegabyte, 'x')));
  socket.ReadTo("x");
  CHECK_FALSE(exchange->Write(std::string(32 * kMegabyte, 'x')));
  CHECK(net::AwaitThat([&] { return gone.load(); }));
}

TEST_CASE("a peer that does not read its answer is given up in bounded time") {
  ServerLimits limits;
  limits.stream_stall_timeout = Duration(50);
  Fixture it(limits);
  RawSocket socket(it.server.endpoint());
  socket.Send(kGet);
  it.Take()->Respond({200, {}, std::string(64U * 1024 * 1024, 'x')});
  CHECK(net::AwaitThat([&] { return it.server.in_progress() == 0; }));
}

TEST_CASE("a planned stop waits for requests in progress and streams") {
  ServerLimits limits;
  limits.drain_grace = Duration(20);
  Fixture it(limits);
  RawSocket idle(it.server.endpoint());
  RawSocket busy(it.server.endpoint());
  busy.Send(kGet);
  const auto request = it.Take();
  RawSocket watch(it.server.endpoint());
  watch.Send(kGet);
  const auto stream = it.Take();
  stream->StartStream({});

  std::atomic<bool> drained{false};
  it.server.Drain([&] { drained = true; });
  CHECK(idle.ReadToEnd().empty());
  CHECK_FALSE(drained);
  request->Respond({200, {}, "whole"});
  const auto answer = busy.ReadToEnd();
  CHECK(Contains(answer, "Connection: close\r\n"));
  CHECK(Contains(answer, "whole"));
  busy.Close();
  CHECK_FALSE(drained);
  CHECK(stream->Write("last\n"));
  stream->End();
  CHECK(Contains(watch.ReadToEnd(), "last\n\r\n0\r\n\r\n"));
  watch.Close();
  CHECK(net::AwaitThat([&] { return drained.load(); }));
  CHECK_THROWS(RawSocket(it.server.endpoint()));
}

}  // namespace
}  // namespace lapishatch::http
