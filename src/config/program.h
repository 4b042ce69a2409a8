#ifndef LAPISHATCH_CONFIG_PROGRAM_H_
#define LAPISHATCH_CONFIG_PROGRAM_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/settings.h"
#include "http/http.h"

namespace lapishatch::config {

/// The least severity that is logged; the values are those of base::Severity.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::LogLevel> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "debug", "info", "warning", "error"};
};
}  // namespace lapishatch::base

namespace lapishatch::config {

using ProcessName = base::Id<struct ProcessNameTag>;

/// What every process is told about itself, from [process].
struct ProcessSettings {
  /// Unique among the processes of the system.
  ProcessName name;
  base::DomainName failure_domain;
  /// Where callers and operators reach it.
  http::Endpoint listen{"127.0.0.1", 0};
  /// Where other processes of the system reach it.
  http::Endpoint peer_listen{"127.0.0.1", 0};
  /// What other processes are told in place of peer_listen, where something
  /// forwards to it; port 0: peer_listen itself.
  http::Endpoint peer_advertised;
  /// Peer endpoints of other processes, to begin with.
  std::vector<http::Endpoint> peers;
  http::Endpoint platform;
  int threads = 2;
  /// What the machine gives this process.
  std::size_t memory_mb = 256;
  std::size_t max_descriptors = 8'192;
  /// A planned stop that has not finished by then ends the process with 1.
  base::Duration stop_limit{120'000};
  LogLevel log = LogLevel::kInfo;
};

/// What a program is, for --help and --version.
struct ProgramInfo {
  std::string name;
  std::string purpose;
  std::string version;
};

/// The frame of every program that serves: command line, settings, log, threads
/// and planned stop.
///
///     int main(int argc, char** argv) {
///       config::Program program({"lapishatch-x", "Does x.",
///                                LAPISHATCH_VERSION});
///       XOptions options;
///       program.settings().Add(Describe(options));
///       if (const auto code = program.Start(argc, argv)) return *code;
///       X x(program.io(), options);
///       program.OnPlannedStop([&] { x.Drain([&] { program.Finish(); }); });
///       program.SetReady(true);
///       return program.Run();
///     }
class Program {
 public:
  explicit Program(ProgramInfo info);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  /// The sections that the file may hold. [process] and [http] are there
  /// already. Complete before Start.
  Settings& settings();

  /// Reads the command line and the settings file and starts the log. Returns
  /// the exit code when the program is to end now (--help, --version,
  /// --settings, --check, bad usage or settings).
  std::optional<int> Start(int argc, const char* const* argv);

  const ProcessSettings& process() const;

  /// Limits of the program's HTTP server, from [http].
  const http::ServerLimits& server_limits() const;

  /// What peers may make the process hold, from [process]. The program's
  /// server and clients share it. After Start.
  const http::ResourcesPtr& resources() const;

  /// One life of this process.
  const base::Incarnation& incarnation() const;

  boost::asio::io_context& io();
  base::MetricRegistry& metrics();

  /// Whether /readyz says so. The planned stop sets it to false before anything
  /// else.
  void SetReady(bool ready);
  bool ready() const;

  /// Calls `stop` on an io thread when SIGTERM or SIGINT asks for a planned
  /// stop; the program ends when Finish is called. Without it, the program
  /// ends at once.
  void OnPlannedStop(std::function<void()> stop);

  /// Begins the planned stop from within, as SIGTERM does from outside; the
  /// program then ends with `code`, however well the stop went. Nothing when a
  /// stop is under way. Safe from any thread.
  void BeginStop(int code);

  /// Answers /healthz, /readyz and /metrics, and hands the rest to `rest`.
  http::Handler WithCommonEndpoints(http::Handler rest);

  /// Runs process().threads threads until Finish; returns the exit code.
  int Run();

  /// Ends Run, with the code of BeginStop where `code` is 0. Safe from any
  /// thread.
  void Finish(int code = 0);

 private:
  struct Impl;

  std::optional<int> Load(const std::string& file);

  std::unique_ptr<Impl> impl_;
};

/// The section [http]: what the program's HTTP server accepts.
Section Describe(http::ServerLimits& limits);

/// The section [process].
Section Describe(ProcessSettings& process);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_PROGRAM_H_
