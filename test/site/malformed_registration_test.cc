#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"
#include "platform/worker_feed.h"
#include "platform/worker_registrations.h"

namespace lapishatch::platform {
namespace {

using base::Duration;

const std::string kValid =
    R"({"service":"s","address":"10.1.0.9:8080","zone":"north",)"
    R"("state":"ready","labels":["a","r1-3"],"born":1700000000000,)"
    R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":4}})";

/// The valid registration with one part replaced.
std::string With(const std::string& from, const std::string& to) {
  auto out = kValid;
  return out.replace(out.find(from), from.size(), to);
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Labels(std::size_t n, std::size_t bytes) {
  std::string out = "[\"" + std::string(bytes, 'x') + '"';
  for (std::size_t i = 1; i < n; ++i) out += ",\"x\"";
  return out + ']';
}

/// Values of entries that no worker registers.
std::vector<std::string> MalformedValues() {
  std::vector<std::string> out = {
      "",
      "x",
      "null",
      "7",
      "[]",
      "{}",
      std::string("\0\x01\xff\xfe", 4),
      kValid.substr(0, kValid.size() / 2),
      kValid + kValid,
      With("\"s\"", "\"\xff\""),
      With("\"a\"", "7"),
      With("\"north\"", "{}"),
      With("\"ready\"", "\"asleep\""),
      With("[\"a\",\"r1-3\"]", Labels(10'000, 1)),
      With("[\"a\",\"r1-3\"]", Labels(2, 10'000)),
      With("{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":4}", "[]"),
      With("\"mem-mb\":32768,", ""),
      With("1700000000000", "\"yesterday\""),
      With("1700000000000", "9223372036854775807"),
      With("\"ready\"", "\"draining\",\"remaining-ms\":9223372036854775807"),
  };
  for (const auto* port :
       {"0", "-1", "65536", "99999", "18446744073709551616", "", "80x"}) {
    out.push_back(With("10.1.0.9:8080", std::string("10.1.0.9:") + port));
  }
  for (const auto* address : {"10.1.0:80", "host:80", "[::1]:80", ":80", "80",
                              "999.1.0.9:80", "10.1.0.9"}) {
    out.push_back(With("10.1.0.9:8080", address));
  }
  for (const auto& number :
       {std::string("1e400"), std::string("-1"), std::string("1.5"),
        std::string("9223372036854775807"), std::string("-9223372036854775808"),
        std::string("18446744073709551615"), std::string("2147483648"),
        std::string(4'000, '9'), std::string("\"4\""), std::string("null")}) {
    for (const auto* member : {"16000", "32768", ":4}"}) {
      const bool is_last = member[0] == ':';
      out.push_back(With(member, is_last ? ":" + number + "}" : number));
    }
  }
  for (const std::size_t depth : {33U, 1'000U, 30'000U}) {
    out.push_back(With("\"s\"", Nested(depth)));
    out.push_back(
        With("{\"service\"", "{\"new\":" + Nested(depth) + ",\"service\""));
  }
  return out;
}

/// A store with registrations, and the process that follows them.
struct FeedWorld {
  void Put(const std::string& key, const std::string& value) {
    store.Put(std::string(kRunnerTable), "", key, value);
  }

  void RunFor(int ms) { time.RunFor(Duration(ms)); }

  bool HasUnreadable(std::size_t n) const {
    return metrics.Render().find(
               "lapishatch_rows_unreadable{table=\"servers\"} " +
               std::to_string(n) + "\n") != std::string::npos;
  }

  bool Has(const std::string& name) const {
    return workers.contains(base::WorkerName(name));
  }

  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  base::MetricRegistry metrics;
  const dispatch::Bounds bounds{};
  std::map<base::WorkerName, dispatch::WorkerRegistration> workers;
  WorkerFeed feed{time,
                  store.For("vm"),
                  bounds,
                  Duration(1'500),
                  metrics,
                  {[this](const dispatch::WorkerRegistration& it) {
                     workers[it.name] = it;
                   },
                   [this](const base::WorkerName& it) { workers.erase(it); }}};
};

/// Guards against a malformed entry that ends its reader or hides other
/// entries.
TEST_CASE("a malformed entry affects no other, in a list and as a change") {
  for (const auto& value : MalformedValues()) {
    INFO(value.substr(0, 200));
    FeedWorld world;
    world.Put("a", kValid);
    world.Put("b", value);
    world.Put("c", kValid);
    world.feed.Start();
    world.RunFor(1'000);
    CHECK(world.Has("a"));
    CHECK_FALSE(world.Has("b"));
    CHECK(world.Has("c"));
    CHECK(world.HasUnreadable(1));
    world.Put("b", kValid);
    world.Put("d", value);
    world.Put("e", kValid);
    world.RunFor(1'000);
    CHECK(world.Has("b"));
    CHECK_FALSE(world.Has("d"));
    CHECK(world.Has("e"));
    world.Put("a", value);
    world.RunFor(1'000);
    CHECK_FALSE(world.Has("a"));
    CHECK(world.HasUnreadable(2));
    world.store.Remove(std::string(kRunnerTable), "", "a");
    world.Put("d", kValid);
    world.RunFor(1'000);
    CHECK(world.HasUnreadable(0));
    CHECK(world.workers.size() == 4);
  }
}

/// Guards against names that would become part of an order's head.
TEST_CASE("an entry whose key is no worker's name is not used") {
  for (const auto& key : {std::string(), std::string("a b"),
                          std::string("a\r\nHost: x"), std::string("a\0b", 3),
                          std::string("\xff\xfe"), std::string(201, 'x')}) {
    FeedWorld world;
    world.Put(key, kValid);
    world.Put("valid", kValid);
    world.feed.Start();
    world.RunFor(1'000);
    CHECK(world.workers.size() == 1);
    CHECK(world.Has("valid"));
  }
}

/// Guards against a list that ends at a page whose last entry is malformed.
TEST_CASE("malformed entries inside and at the end of a page hide no other") {
  FeedWorld world;
  constexpr int kEntries = 1'200;
  constexpr int kPage = 500;
  int valid = 0;
  for (int i = 0; i < kEntries; ++i) {
    const bool is_malformed = i % kPage == kPage - 1 || i % 7 == 0;
    if (!is_malformed) ++valid;
    const auto number = std::to_string(i);
    world.Put("w" + std::string(4 - number.size(), '0') + number,
              is_malformed ? "{" : kValid);
  }
  world.feed.Start();
  world.RunFor(3'000);
  CHECK(world.workers.size() == static_cast<std::size_t>(valid));
}

/// Guards against a log that grows with the changes of another writer.
TEST_CASE("malformed entries that change all the time are logged seldom") {
  FeedWorld world;
  world.feed.Start();
  world.RunFor(500);
  const auto is_logged = [](const base::RecentEvent& it) {
    return it.number == base::events::kRowUnreadable.number &&
           it.text.find("often") != std::string::npos;
  };
  // The gate is open for ten of them in each of at most two intervals.
  constexpr int kMaxLogged = 20;
  for (int i = 0; i < 300; ++i) {
    world.Put("often" + std::to_string(i % 40),
              i % 2 == 0 ? "{" : With("\"ready\"", "7"));
    world.RunFor(30);
  }
  const auto events = base::RecentEvents();
  CHECK(std::count_if(events.begin(), events.end(), is_logged) <= kMaxLogged);
  CHECK(world.HasUnreadable(40));
}

/// Guards against any change of an entry that ends its reader or hides others.
TEST_CASE("entries that are changed at random hide no other") {
  const auto seed = GENERATE(range(1, 61));
  CAPTURE(seed);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const auto draw = [&random](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  const std::vector<std::string> tokens = {
      "-1",   "65536", "1e400",   "9223372036854775807",
      "[[[[", "]",     "{",       "}",
      "\"",   "null",  "\\u0000", "\xff",
      ",",    ":",     "{}"};
  FeedWorld world;
  world.feed.Start();
  for (int i = 0; i < 60; ++i) {
    auto value = kValid;
    for (auto n = 1 + draw(4); n > 0 && !value.empty(); --n) {
      const auto at = draw(value.size());
      if (draw(2) == 0) value[at] = static_cast<char>(draw(256));
      if (draw(2) == 0) value.replace(at, draw(4), tokens[draw(tokens.size())]);
      if (draw(5) == 0) value.resize(at);
    }
    world.Put("malformed" + std::to_string(draw(10)), value);
    world.Put("valid" + std::to_string(i), kValid);
    world.RunFor(50);
  }
  world.RunFor(1'000);
  for (int i = 0; i < 60; ++i) CHECK(world.Has("valid" + std::to_string(i)));
}

}  // namespace
}  // namespace lapishatch::platform
