#ifndef LAPISHATCH_STANDINS_COMMON_STANDIN_PROGRAM_H_
#define LAPISHATCH_STANDINS_COMMON_STANDIN_PROGRAM_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http/http.h"

namespace lapishatch::standins {

/// The frame of a stand-in's program: flags, threads, and an orderly end on
/// SIGTERM or SIGINT.
class StandinProgram {
 public:
  StandinProgram(std::string name, std::string purpose, std::string version);

  /// Sets the Abseil flags. Returns the exit code when the program is to end
  /// now: 0 after --help and --version, 2 on bad usage.
  std::optional<int> ParseFlags(int argc, const char* const* argv);

  boost::asio::io_context& io() { return io_; }

  /// Prints "<what> 127.0.0.1:7001" on standard output, at once, so that
  /// whoever started the program can wait for the line.
  static void Announce(const std::string& what, const http::Endpoint& endpoint);

  /// Serves on `threads` threads. On the first signal calls `leave`, and ends
  /// when Finish is called. Returns the exit code.
  int Run(int threads, std::function<void()> leave);

  /// Ends Run. Safe from any thread.
  void Finish() { io_.stop(); }

 private:
  std::string name_;
  std::string purpose_;
  std::string version_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{boost::asio::make_work_guard(io_)};
  boost::asio::signal_set signals_{io_};
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_COMMON_STANDIN_PROGRAM_H_
