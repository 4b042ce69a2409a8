// Throughput and latency of the HTTP server and client alone, both in this
// process on the same threads, over loopback. The server answers at once with
// the body of the request. Prints `name value unit` lines; a name tells the
// threads and connections. Each figure is the median of three runs.

#include "http/http.h"

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <cstdio>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include "load/load.h"

namespace lapishatch {
namespace {

namespace asio = boost::asio;

constexpr int kRuns = 3;
constexpr base::Duration kDuration{1'500};

/// What one run gave.
struct Figures {
  double rate = 0;
  double p50 = 0;
  double p99 = 0;
  /// Processor time of server and client together for one request.
  double cpu_us = 0;
};

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNano = 1e-9;
  return static_cast<double>(now.tv_sec) +
         kNano * static_cast<double>(now.tv_nsec);
}

Figures Measure(int threads, std::size_t connections) {
  asio::io_context io;
  auto work = asio::make_work_guard(io);
  http::Server server(io, {"127.0.0.1", 0}, {},
                      [](const http::ExchangePtr& exchange) {
                        http::Response out;
                        out.headers.Set("Lapishatch-Work", "ran");
                        out.body = exchange->request().body;
                        exchange->Respond(std::move(out));
                      });
  server.Start();
  load::LoadOptions options;
  options.targets = {server.endpoint()};
  options.connections = connections;
  options.duration = kDuration;
  options.organisations = {"bertolini"};
  load::LoadReport report;
  const double cpu_before = ProcessorSeconds();
  load::StartLoad(io, options, [&](load::LoadReport it) {
    report = std::move(it);
    io.stop();
  });
  {
    std::vector<std::jthread> others;
    for (int i = 1; i < threads; ++i) others.emplace_back([&] { io.run(); });
    io.run();
  }
  const double cpu = ProcessorSeconds() - cpu_before;
  Figures out;
  out.rate = static_cast<double>(report.answered) / report.seconds;
  out.p50 = report.latency->QuantileMs(0.5);
  out.p99 = report.latency->QuantileMs(0.99);
  // The warm-up is not in the report but costs the same for each request.
  const std::chrono::duration<double> whole =
      options.duration + options.warm_up;
  out.cpu_us = cpu / (out.rate * whole.count()) * 1e6;
  return out;
}

double Median(std::vector<Figures> runs, double Figures::*figure) {
  std::sort(runs.begin(), runs.end(), [&](const auto& a, const auto& b) {
    return a.*figure < b.*figure;
  });
  return runs[runs.size() / 2].*figure;
}

void Print(const std::string& name, double value, const char* unit) {
  std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

void MeasureAndPrint(int threads, std::size_t connections) {
  std::vector<Figures> runs;
  runs.reserve(kRuns);
  for (int i = 0; i < kRuns; ++i) {
    runs.push_back(Measure(threads, connections));
  }
  const auto prefix = "http_t" + std::to_string(threads) + "_c" +
                      std::to_string(connections) + "_";
  Print(prefix + "rate", Median(runs, &Figures::rate), "requests/s");
  Print(prefix + "p50", Median(runs, &Figures::p50), "ms");
  Print(prefix + "p99", Median(runs, &Figures::p99), "ms");
  Print(prefix + "cpu", Median(runs, &Figures::cpu_us), "us/request");
}

}  // namespace
}  // namespace lapishatch

int main() {
  for (const int threads : {1, 4}) {
    for (const std::size_t connections : {1, 16, 256}) {
      lapishatch::MeasureAndPrint(threads, connections);
    }
  }
}
