#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

#include "config/config.h"
#include "load/load.h"

ABSL_FLAG(std::string, target, "127.0.0.1:8080",
          "address:port, or several with commas, taken in turn");
ABSL_FLAG(std::string, path, "/v1/services/align/requests", "request path");
ABSL_FLAG(int, connections, 16, "connections, over all targets");
ABSL_FLAG(
    double, rate, 0,
    "requests a second of an open load; 0: each connection sends its next "
    "request after its answer");
ABSL_FLAG(double, duration_s, 5, "measured time; 0: until SIGTERM");
ABSL_FLAG(std::uint64_t, requests, 0,
          "at SIGTERM, sends up to so many before it ends");
ABSL_FLAG(int, ready_ms, 0,
          "looks so often at /readyz of each target, as a balancer, and sends "
          "only to those that are ready; 0: does not look");
ABSL_FLAG(std::string, id_prefix, "",
          "of request ids and idempotency keys; otherwise one of its own");
ABSL_FLAG(double, warm_up_s, 0.5, "load before the measured time");
ABSL_FLAG(int, timeout_ms, 10'000, "time-out of a request");
ABSL_FLAG(std::string, organisation, "",
          "Lapishatch-Organisation, or several with commas, taken in turn");
ABSL_FLAG(std::string, work_class, "normal", "Lapishatch-Class");
ABSL_FLAG(int, deadline_ms, 5'000, "Lapishatch-Deadline-Ms");
ABSL_FLAG(bool, idempotent, true,
          "otherwise each request has an idempotency key of its own");
ABSL_FLAG(int, body_bytes, 128, "size of each body");
ABSL_FLAG(int, threads, 4, "threads that send");
ABSL_FLAG(std::string, prefix, "load_", "in front of each printed name");

namespace {

namespace asio = boost::asio;
namespace config = lapishatch::config;
namespace http = lapishatch::http;
namespace load = lapishatch::load;
using lapishatch::base::Duration;

std::optional<http::Endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  http::Endpoint out{text.substr(0, colon), 0};
  const auto* begin = text.data() + colon + 1;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, out.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  boost::system::error_code ec;
  asio::ip::make_address(out.address, ec);
  if (ec) return std::nullopt;
  return out;
}

std::vector<std::string> SplitList(const std::string& text) {
  return absl::StrSplit(text, ',', absl::SkipEmpty());
}

Duration Seconds(double seconds) {
  constexpr double kMsPerS = 1e3;
  return Duration(static_cast<std::int64_t>(seconds * kMsPerS));
}

/// The load that the flags describe, or nothing after saying what is wrong.
std::optional<load::LoadOptions> OptionsFromFlags() {
  load::LoadOptions out;
  for (const auto& it : SplitList(absl::GetFlag(FLAGS_target))) {
    const auto endpoint = ParseEndpoint(it);
    if (!endpoint) {
      std::cerr << "lapishatch-load: --target " << it
                << " is not address:port\n";
      return std::nullopt;
    }
    out.targets.push_back(*endpoint);
  }
  const bool is_bad =
      out.targets.empty() || absl::GetFlag(FLAGS_connections) < 1 ||
      absl::GetFlag(FLAGS_threads) < 1 || absl::GetFlag(FLAGS_duration_s) < 0 ||
      absl::GetFlag(FLAGS_ready_ms) < 0 ||
      absl::GetFlag(FLAGS_body_bytes) < 0 ||
      absl::GetFlag(FLAGS_timeout_ms) < 1;
  if (is_bad) {
    std::cerr << "lapishatch-load: --target, --connections, --threads and "
                 "--timeout_ms must be positive\n";
    return std::nullopt;
  }
  out.path = absl::GetFlag(FLAGS_path);
  out.connections = static_cast<std::size_t>(absl::GetFlag(FLAGS_connections));
  out.rate = absl::GetFlag(FLAGS_rate);
  out.duration = Seconds(absl::GetFlag(FLAGS_duration_s));
  out.warm_up = Seconds(absl::GetFlag(FLAGS_warm_up_s));
  out.least_requests = absl::GetFlag(FLAGS_requests);
  out.ready_period = Duration(absl::GetFlag(FLAGS_ready_ms));
  out.id_prefix = absl::GetFlag(FLAGS_id_prefix);
  out.timeout = Duration(absl::GetFlag(FLAGS_timeout_ms));
  out.organisations = SplitList(absl::GetFlag(FLAGS_organisation));
  out.work_class = absl::GetFlag(FLAGS_work_class);
  out.deadline = Duration(absl::GetFlag(FLAGS_deadline_ms));
  out.is_idempotent = absl::GetFlag(FLAGS_idempotent);
  out.body_bytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_body_bytes));
  return out;
}

/// Runs the load on `threads` threads and returns its report.
load::LoadReport RunLoad(load::LoadOptions options, int threads) {
  asio::io_context io;
  auto work = asio::make_work_guard(io);
  load::LoadReport out;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  const auto stop =
      load::StartLoad(io, std::move(options), [&](load::LoadReport report) {
        out = std::move(report);
        io.stop();
      });
  signals.async_wait([&](const boost::system::error_code&, int) { stop(); });
  std::vector<std::jthread> others;
  for (int i = 1; i < threads; ++i) others.emplace_back([&] { io.run(); });
  io.run();
  others.clear();
  return out;
}

int Run(int argc, char** argv) {
  const auto line = config::ParseCommandLine(argc, argv);
  if (line.help) {
    std::cout << "lapishatch-load: HTTP load and its measurement\n\n"
              << config::FlagsHelp();
    return config::kExitDone;
  }
  if (line.version) {
    std::cout << "lapishatch-load " << LAPISHATCH_VERSION << '\n';
    return config::kExitDone;
  }
  if (!line.problem.empty() || !line.positional.empty()) {
    const auto& problem =
        line.problem.empty() ? line.positional.front() : line.problem;
    std::cerr << "lapishatch-load: " << problem << "; see --help\n";
    return config::kExitBadUsage;
  }
  auto options = OptionsFromFlags();
  if (!options) return config::kExitBadUsage;
  std::signal(SIGPIPE, SIG_IGN);
  const auto report =
      RunLoad(std::move(*options), absl::GetFlag(FLAGS_threads));
  for (const auto& it : report.first_failures) {
    std::cerr << "failed " << it << '\n';
  }
  std::cout << load::Render(report, absl::GetFlag(FLAGS_prefix));
  return report.answered > 0 ? config::kExitDone : config::kExitFailed;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc, argv); }
