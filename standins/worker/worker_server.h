#ifndef LAPISHATCH_STANDINS_WORKER_WORKER_SERVER_H_
#define LAPISHATCH_STANDINS_WORKER_WORKER_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/base.h"
#include "http/http.h"
#include "store/store.h"
#include "worker/worker_model.h"

namespace lapishatch::standins {

/// What a stand-in worker can be made to do wrong. docs/STANDINS.md says what
/// the time of each means.
enum class WorkerFault : std::uint8_t {
  kNone,
  kKill,
  kPause,
  kRefuseStarts,
  kLoseAnswers,
  kSlow,
  kSilent,
  kLeave,
  kRestart,
};

/// One worker over HTTP. Safe from several threads: everything runs on a loop
/// of its own.
class WorkerServer {
 public:
  /// Binds at once; `io` and `objects` must outlive it. Destroy it when `io`
  /// runs no more.
  WorkerServer(boost::asio::io_context& io, const http::Endpoint& endpoint,
               WorkerModelOptions options, store::ObjectStore& objects);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

  http::Endpoint endpoint() const;
  const base::WorkerName& name() const;

  /// Puts a fault on; kNone ends all of them.
  void Apply(WorkerFault fault, base::Duration time);

  /// Calls `done` with what runs here and what was started, on an io thread.
  void Stats(std::function<void(boost::json::object)> done);

  /// Says that it leaves, lets its tasks end within `limit`, finishes the
  /// requests in progress and calls `done`.
  void Leave(base::Duration limit, std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::standins

namespace lapishatch::base {
template <>
struct EnumNames<standins::WorkerFault> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "none", "kill",   "pause", "refuse_starts", "lose_answers",
      "slow", "silent", "leave", "restart"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_STANDINS_WORKER_WORKER_SERVER_H_
