#include "config/program.h"

#include <absl/flags/flag.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

#include "config/flags.h"

ABSL_FLAG(std::string, config, "", "The settings file (TOML).");
ABSL_FLAG(bool, check, false, "Checks the settings and ends.");
ABSL_FLAG(bool, settings, false,
          "Prints every setting with range, default and meaning, and ends.");

namespace lapishatch::config {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpMethodNotAllowed = 405;

http::Response PlainText(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

http::Response MetricsText(std::string body) {
  return {kHttpOk,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          std::move(body)};
}

}  // namespace

struct Program::Impl {
  explicit Impl(ProgramInfo program_info) : info(std::move(program_info)) {}

  void WaitForSignal() {
    signals.async_wait([this](const boost::system::error_code& ec, int) {
      if (ec) return;
      WaitForSignal();
      BeginStop(kExitDone);
    });
  }

  void BeginStop(int code) {
    if (stopping.exchange(true)) return;
    ready = false;
    stop_code = code;
    base::Log(base::events::kProcessStopping, {{"name", process.name}});
    stop_timer.expires_after(process.stop_limit);
    stop_timer.async_wait([this](const boost::system::error_code& ec) {
      if (ec) return;
      base::Log(base::events::kStopLimitReached,
                {{"limit_ms", process.stop_limit.count()}});
      End(kExitFailed);
    });
    if (stop) {
      stop();
    } else {
      End(code);
    }
  }

  void End(int code) {
    exit_code = code;
    io.stop();
  }

  std::optional<http::Response> CommonAnswer(const http::Request& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    const bool known =
        path == "/healthz" || path == "/readyz" || path == "/metrics";
    if (!known) return std::nullopt;
    if (request.method != "GET" && request.method != "HEAD") {
      return http::MakeProblem(kHttpMethodNotAllowed, "method",
                               "Method not allowed",
                               request.method + " " + path + ": GET or HEAD");
    }
    if (path == "/healthz") return PlainText(kHttpOk, "ok\n");
    if (path == "/metrics") {
      resources->Report(metrics);
      return MetricsText(metrics.Render());
    }
    return ready ? PlainText(kHttpOk, "ready\n")
                 : PlainText(kHttpUnavailable, "not ready\n");
  }

  ProgramInfo info;
  Settings settings;
  ProcessSettings process;
  http::ServerLimits server_limits;
  base::Incarnation incarnation{base::MakeUniqueText("i-")};
  base::MetricRegistry metrics;
  http::ResourcesPtr resources;
  std::atomic<bool> ready{false};
  std::atomic<bool> stopping{false};
  std::atomic<int> exit_code{kExitDone};
  /// Of a stop that goes well.
  std::atomic<int> stop_code{kExitDone};
  std::function<void()> stop;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(io);
  asio::signal_set signals{io};
  asio::steady_timer stop_timer{io};
};

Program::Program(ProgramInfo info)
    : impl_(std::make_unique<Impl>(std::move(info))) {
  base::KeepHeapCompact();
  impl_->settings.Add(Describe(impl_->process));
  impl_->settings.Add(Describe(impl_->server_limits));
}

Program::~Program() = default;

Settings& Program::settings() { return impl_->settings; }

std::optional<int> Program::Start(int argc, const char* const* argv) {
  const auto& info = impl_->info;
  const auto line = ParseCommandLine(argc, argv);
  if (line.help) {
    std::cout << info.name << ": " << info.purpose << "\n\n"
              << "  " << info.name << " --config FILE.toml\n\n"
              << FlagsHelp()
              << "\nExit code: 0 done, 1 failed, 2 bad usage or settings.\n";
    return kExitDone;
  }
  if (line.version) {
    std::cout << info.name << ' ' << info.version << '\n';
    return kExitDone;
  }
  if (line.problem.empty() && absl::GetFlag(FLAGS_settings)) {
    std::cout << impl_->settings.Markdown();
    return kExitDone;
  }
  auto problem = line.problem;
  if (problem.empty() && !line.positional.empty()) {
    problem = line.positional.front() + " is not expected; see --help";
  }
  const auto file = absl::GetFlag(FLAGS_config);
  if (problem.empty() && file.empty()) problem = "--config is missing";
  if (!problem.empty()) {
    std::cerr << info.name << ": " << problem << '\n';
    return kExitBadUsage;
  }
  return Load(file);
}

std::optional<int> Program::Load(const std::string& file) {
  const bool loaded = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(impl_->settings.LoadFile(file));
        return true;
      },
      [](const SettingsProblems& found) {
        for (const auto& it : found.problems) std::cerr << TextOf(it) << '\n';
        return false;
      },
      [] { return false; });
  static std::once_flag log_started;
  std::call_once(log_started, [&] {
    base::StartLog(impl_->info.name,
                   static_cast<base::Severity>(impl_->process.log));
  });
  if (!loaded) {
    base::Log(base::events::kSettingsRefused, {{"file", file}});
    return kExitBadUsage;
  }
  constexpr int kBytesPerMbShift = 20;
  impl_->resources = std::make_shared<http::Resources>(
      http::ProcessLimits{impl_->process.memory_mb << kBytesPerMbShift,
                          impl_->process.max_descriptors});
  if (!absl::GetFlag(FLAGS_check)) return std::nullopt;
  std::cout << file << ": good\n";
  return kExitDone;
}

const ProcessSettings& Program::process() const { return impl_->process; }

const http::ServerLimits& Program::server_limits() const {
  return impl_->server_limits;
}

const http::ResourcesPtr& Program::resources() const {
  return impl_->resources;
}

const base::Incarnation& Program::incarnation() const {
  return impl_->incarnation;
}

asio::io_context& Program::io() { return impl_->io; }

base::MetricRegistry& Program::metrics() { return impl_->metrics; }

void Program::SetReady(bool ready) { impl_->ready = ready && !impl_->stopping; }

bool Program::ready() const { return impl_->ready; }

void Program::OnPlannedStop(std::function<void()> stop) {
  impl_->stop = std::move(stop);
}

http::Handler Program::WithCommonEndpoints(http::Handler rest) {
  return [this, rest = std::move(rest)](const http::ExchangePtr& exchange) {
    auto answer = impl_->CommonAnswer(exchange->request());
    if (!answer) {
      rest(exchange);
      return;
    }
    exchange->Respond(std::move(*answer));
  };
}

int Program::Run() {
  std::signal(SIGPIPE, SIG_IGN);
  impl_->signals.add(SIGTERM);
  impl_->signals.add(SIGINT);
  impl_->WaitForSignal();
  base::Log(base::events::kProcessStarted,
            {{"name", impl_->process.name},
             {"failure_domain", impl_->process.failure_domain},
             {"incarnation", impl_->incarnation},
             {"version", impl_->info.version}});
  std::vector<std::jthread> threads;
  for (int i = 1; i < impl_->process.threads; ++i) {
    threads.emplace_back([this] { impl_->io.run(); });
  }
  impl_->io.run();
  threads.clear();
  if (impl_->exit_code == kExitDone) {
    base::Log(base::events::kProcessStopped, {{"name", impl_->process.name}});
  }
  return impl_->exit_code;
}

void Program::BeginStop(int code) { impl_->BeginStop(code); }

void Program::Finish(int code) {
  impl_->End(code == kExitDone ? impl_->stop_code.load() : code);
}

Section Describe(ProcessSettings& process) {
  Section section("process", "Who this process is and where it is reached.");
  section.Name("name", process.name,
               "Unique among the processes of the system.",
               Presence::kRequired);
  section.Name("failure_domain", process.failure_domain,
               "The failure domain of this VM.", Presence::kRequired);
  section.Endpoint("listen", process.listen,
                   "Where callers and operators reach it; port 0 takes a free "
                   "one.");
  section.Endpoint("peer_listen", process.peer_listen,
                   "Where the system's other processes reach it.");
  section.Endpoint("peer_advertised", process.peer_advertised,
                   "What the others are told in place of peer_listen, where "
                   "something forwards to it.");
  section.Endpoints("peers", process.peers, 256,
                    "Peer endpoints of other processes, to begin with.");
  section.Endpoint("platform", process.platform,
                   "The platform's table, object store and VM list.");
  section.Integer("threads", process.threads, 1, 64, "Threads that serve.");
  section.Integer("memory_mb", process.memory_mb, 32, 1 << 20,
                  "Memory of the machine for this process, in MB; peers may "
                  "make it hold two fifths of that.");
  section.Integer("max_descriptors", process.max_descriptors, 64, 1'000'000,
                  "Descriptors for sockets; connections of peers leave a "
                  "sixteenth free.");
  section.Millis("stop_limit_ms", process.stop_limit, 0, 3'600'000,
                 "A planned stop not finished by then ends with exit code 1.");
  section.Choice("log", process.log, "Least severity that is logged.");
  return section;
}

Section Describe(http::ServerLimits& limits) {
  Section section("http", "What the HTTP server accepts.");
  section.Integer("max_connections", limits.max_connections, 1, 1'000'000,
                  "Connections open at once.");
  section.Integer("max_header_bytes", limits.max_header_bytes, 1'024, 1 << 20,
                  "Size of a request's head; a larger one gets 431.");
  section.Integer("max_header_fields", limits.max_header_fields, 16, 10'000,
                  "Fields of a request's head; one with more gets 431.");
  section.Integer("max_body_bytes", limits.max_body_bytes, 1'024, 1 << 30,
                  "Size of a request's body; a larger one gets 413.");
  section.Millis("header_timeout_ms", limits.header_timeout, 10, 600'000,
                 "Time for a request's head; a slower one gets 408.");
  section.Millis("body_timeout_ms", limits.body_timeout, 10, 600'000,
                 "Time for a request's body; a slower one gets 408.");
  section.Millis("idle_timeout_ms", limits.idle_timeout, 10, 3'600'000,
                 "How long a connection may be silent between requests.");
  section.Millis("stream_stall_timeout_ms", limits.stream_stall_timeout, 10,
                 3'600'000,
                 "A watch whose reader takes nothing for so long is closed.");
  section.Integer("max_stream_backlog_bytes", limits.max_stream_backlog_bytes,
                  1'024, 1 << 30, "Bytes that may wait for one slow watch.");
  return section;
}

}  // namespace lapishatch::config
