#ifndef LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_
#define LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "http/message.h"
#include "scenario/child_process.h"

namespace lapishatch::soak {

/// Settings of one process, partly written to its settings file.
struct SiteProcessSettings {
  std::string name;
  std::string program;
  std::string folder;
  http::Endpoint api_endpoint;
  http::Endpoint ready;
  http::Endpoint store;
  /// Limits of the VM as the platform states them; 0 leaves one out.
  int memory_mb = 0;
  int max_descriptors = 0;
};

/// One lapishatch-site process, which can be restarted after it has ended.
class SiteProcess {
 public:
  explicit SiteProcess(SiteProcessSettings settings);

  /// Starts the process unless it is running.
  void EnsureRunning();

  /// Sends a signal. EnsureRunningAt does not restart the process until `down`
  /// has passed.
  void Signal(int number, base::TimePoint now, base::Duration down);

  /// Starts the process unless it is running or must stay down at `now`.
  void EnsureRunningAt(base::TimePoint now) {
    if (now >= down_until_) EnsureRunning();
  }

  /// Returns the exit code, or nullopt if the process has not ended.
  std::optional<int> ExitCode() {
    return process_ ? process_->Ended() : std::nullopt;
  }

  /// Process id, or 0 before the first start.
  pid_t pid() const { return process_ ? process_->pid() : 0; }

  const http::Endpoint& api_endpoint() const { return settings_.api_endpoint; }
  const http::Endpoint& readiness_endpoint() const { return settings_.ready; }
  const std::string& name() const { return settings_.name; }

 private:
  void WriteSettings() const;

  const SiteProcessSettings settings_;
  std::unique_ptr<scenario::ChildProcess> process_;
  base::TimePoint down_until_{};
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_
