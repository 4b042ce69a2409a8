#include "load/load.h"

#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <string>

#include "net/io_threads.h"

namespace lapishatch::load {
namespace {

using std::chrono::microseconds;

TEST_CASE("a quantile is at most 1/64 above the latency") {
  LatencyHistogram histogram;
  CHECK(histogram.QuantileMs(0.99) == 0);
  for (int i = 1; i <= 100'000; ++i) histogram.Add(microseconds(i));
  CHECK(histogram.count() == 100'000);
  for (const double share : {0.001, 0.01, 0.5, 0.99, 0.999, 1.0}) {
    const double exact = share * 100;
    CHECK(histogram.QuantileMs(share) >= exact);
    CHECK(histogram.QuantileMs(share) <= exact * (1 + 1.0 / 64) + 0.001);
  }
  LatencyHistogram extreme;
  extreme.Add(microseconds(-1));
  extreme.Add(std::chrono::hours(100));
  CHECK(extreme.QuantileMs(0.5) == 0);
  CHECK(extreme.QuantileMs(1) > 3.6e6);
}

struct Load {
  LoadReport Run(LoadOptions options, http::Handler handler) {
    http::Server server(threads.io(), {"127.0.0.1", 0}, {}, std::move(handler));
    server.Start();
    options.targets = {server.endpoint()};
    options.warm_up = base::Duration(50);
    options.duration = base::Duration(200);
    auto report = net::Await<std::shared_ptr<LoadReport>>([&](auto done) {
      StartLoad(threads.io(), options, [done](LoadReport it) {
        done(std::make_shared<LoadReport>(std::move(it)));
      });
    });
    threads.Stop();
    return std::move(*report);
  }

  net::IoThreads threads;
};

TEST_CASE("a closed load counts what it got, with a key for each request") {
  std::mutex mutex;
  std::set<std::string> keys;
  std::set<std::string> ids;
  std::atomic<int> handled{0};
  LoadOptions options;
  options.connections = 4;
  options.is_idempotent = false;
  options.organisations = {"a", "b"};
  const auto report = Load().Run(options, [&](const http::ExchangePtr& it) {
    const auto& headers = it->request().headers;
    const std::lock_guard lock(mutex);
    keys.emplace(headers.Find("Idempotency-Key"));
    ids.emplace(headers.Find("Lapishatch-Request-Id"));
    const bool is_a = headers.Find("Lapishatch-Organisation") == "a";
    http::Response out{is_a ? 200 : 503, {}, ""};
    if (is_a) out.headers.Set("Lapishatch-Work", "ran");
    ++handled;
    it->Respond(std::move(out));
  });
  CHECK(report.answered == report.sent);
  CHECK(report.answered > 0);
  CHECK(report.by_status.at(200) + report.by_status.at(503) == report.answered);
  CHECK(report.by_work.at("ran") == report.by_status.at(200));
  CHECK(report.latency->count() == report.answered);
  CHECK(keys.size() == static_cast<std::size_t>(handled));
  CHECK(ids.size() == static_cast<std::size_t>(handled));
  const auto lines = Render(report, "x_");
  CHECK(lines.find("x_status_200 ") != std::string::npos);
  CHECK(lines.find("x_timed_out 0 requests\n") != std::string::npos);
}

TEST_CASE("an open load sends what is due, and waiting counts as latency") {
  // Its io_context outlives the exchanges that are held.
  Load load;
  std::vector<http::ExchangePtr> held;
  std::mutex mutex;
  LoadOptions options;
  options.connections = 1;
  options.rate = 200;
  options.timeout = base::Duration(300);
  const auto report = load.Run(options, [&](http::ExchangePtr it) {
    const std::lock_guard lock(mutex);
    // The first is never answered: all that come meanwhile wait behind it.
    if (held.empty()) return held.push_back(std::move(it));
    it->Respond({});
  });
  held.clear();
  // 200 ms at 200 a second, less one for rounding.
  CHECK(report.sent >= 39);
  CHECK(report.sent <= 41);
  CHECK(report.answered + report.failed_unsent + report.failed_maybe_sent ==
        report.sent);
}

/// A server that counts its requests and says whether it is ready.
struct Entry {
  explicit Entry(boost::asio::io_context& io)
      : server(io, {"127.0.0.1", 0}, {}, [this](const http::ExchangePtr& it) {
          if (it->request().target == "/readyz") {
            ++looks;
            return it->Respond({is_ready ? 200 : 503, {}, ""});
          }
          ++requests;
          it->Respond({});
        }) {
    server.Start();
  }

  std::atomic<bool> is_ready{true};
  std::atomic<int> looks{0};
  std::atomic<int> requests{0};
  http::Server server;
};

TEST_CASE("a balanced load leaves an entry that is not ready, until it is") {
  net::IoThreads threads;
  Entry steady(threads.io());
  Entry changing(threads.io());
  LoadOptions options;
  options.targets = {steady.server.endpoint(), changing.server.endpoint()};
  options.ready_period = base::Duration(1);
  options.connections = 4;
  options.warm_up = base::Duration(0);
  options.duration = base::Duration(0);
  std::promise<std::shared_ptr<LoadReport>> ended;
  const auto stop = StartLoad(threads.io(), options, [&](LoadReport it) {
    ended.set_value(std::make_shared<LoadReport>(std::move(it)));
  });
  CHECK(net::AwaitThat([&] { return changing.requests > 0; }));
  changing.is_ready = false;
  // The second look from now began when the entry was not ready.
  const int looks = changing.looks;
  CHECK(net::AwaitThat([&] { return changing.looks > looks + 2; }));
  const int before = changing.requests;
  const int steady_before = steady.requests;
  CHECK(net::AwaitThat([&] { return steady.requests > steady_before + 100; }));
  // What was sent before the look may have come a little later.
  CHECK(changing.requests <= before + 4);
  changing.is_ready = true;
  CHECK(net::AwaitThat([&] { return changing.requests > before + 4; }));
  stop();
  const auto report = ended.get_future().get();
  CHECK(report->sent == report->answered);
  CHECK(report->sent ==
        static_cast<std::uint64_t>(steady.requests + changing.requests));
  threads.Stop();
}

TEST_CASE("a load that is told to stop first sends what it owes") {
  net::IoThreads threads;
  Entry entry(threads.io());
  LoadOptions options;
  options.targets = {entry.server.endpoint()};
  options.warm_up = base::Duration(0);
  options.duration = base::Duration(0);
  options.least_requests = 500;
  std::promise<std::uint64_t> sent;
  const auto stop = StartLoad(threads.io(), options, [&](const LoadReport& it) {
    sent.set_value(it.sent);
  });
  stop();
  const auto n = sent.get_future().get();
  CHECK(n >= 500);
  CHECK(n < 500 + options.connections);
  threads.Stop();
}

}  // namespace
}  // namespace lapishatch::load
