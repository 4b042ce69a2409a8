#ifndef LAPISHATCH_STANDINS_RUNNER_RUNNER_SERVER_H_
#define LAPISHATCH_STANDINS_RUNNER_RUNNER_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/base.h"
#include "http/http.h"
#include "runner/run_log.h"
#include "runner/runner_model.h"

namespace lapishatch::standins {

/// What a stand-in runner can be made to do wrong. docs/STANDINS.md says what
/// the time of each means.
enum class RunnerFault : std::uint8_t {
  kNone,
  kFailFast,
  kSlow,
  kSilent,
  kLoseAnswers,
  kRefuse,
  kLeave,
  kKill,
  kCrashBefore,
  kCrashAfter,
  kReset,
};

/// One runner over HTTP. Safe from several threads: everything runs on a loop
/// of its own.
class RunnerServer {
 public:
  /// Binds at once; `io` and `log` must outlive it. Destroy it when `io` runs
  /// no more.
  RunnerServer(boost::asio::io_context& io, const http::Endpoint& endpoint,
               RunnerModelOptions options, std::size_t max_connections,
               RunLog& log);
  ~RunnerServer();
  RunnerServer(const RunnerServer&) = delete;
  RunnerServer& operator=(const RunnerServer&) = delete;

  http::Endpoint endpoint() const;
  const RunnerModelOptions& options() const;

  /// Puts a fault on; kNone ends all of them.
  void Apply(RunnerFault fault, base::Duration time);

  /// Calls `done` with the runner's figures, on an io thread.
  void Stats(std::function<void(boost::json::object)> done);

  /// Refuses new work, finishes what it has and calls `done`.
  void Leave(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::standins

namespace lapishatch::base {
template <>
struct EnumNames<standins::RunnerFault> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "none",         "fail_fast",   "slow",  "silent",
      "lose_answers", "refuse",      "leave", "kill",
      "crash_before", "crash_after", "reset"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_STANDINS_RUNNER_RUNNER_SERVER_H_
