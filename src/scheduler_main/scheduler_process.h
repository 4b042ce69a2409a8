#ifndef LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_PROCESS_H_
#define LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_PROCESS_H_

#include <boost/json.hpp>
#include <functional>
#include <memory>

#include "config/config.h"
#include "scheduler_main/scheduler_settings.h"

namespace lapishatch::scheduler_main {

/// Everything that lapishatch-scheduler is made of: the clients of platform and
/// workers, the view of the change logs, the inner protocol, and one owner per
/// cell of the failure domain. Today a failure domain is one cell, of the same
/// name. When a newer life of the process has joined, it begins the program's
/// planned stop, with exit code 1.
class SchedulerProcess {
 public:
  /// Binds its ports; throws boost::system::system_error when one cannot be
  /// had. `program` must outlive it, and run no more when it is destroyed.
  SchedulerProcess(config::Program& program, SchedulerSettings settings);
  ~SchedulerProcess();
  SchedulerProcess(const SchedulerProcess&) = delete;
  SchedulerProcess& operator=(const SchedulerProcess&) = delete;

  void Start();

  /// Hands the cells over, says goodbye to the other processes and finishes
  /// the requests in progress; then calls `done`.
  void Stop(const std::function<void()>& done);

  /// Where it listens, with the ports that were bound.
  http::Endpoint http_endpoint() const;
  http::Endpoint peer_endpoint() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_PROCESS_H_
