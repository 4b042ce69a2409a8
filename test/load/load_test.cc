#include "load/load.h"

#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace lapishatch::load
