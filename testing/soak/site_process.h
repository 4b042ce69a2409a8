#ifndef LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_
#define LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_

#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "http/message.h"
#include "scenario/child_process.h"

namespace lapishatch::soak {

/// What one process is told by its settings file.
struct SiteProcessSettings {
  std::string name;
  std::string program;
  std::string folder;
  http::Endpoint front;
  http::Endpoint ready;
  http::Endpoint store;
};

/// One lapishatch-site, which is started again whenever it has ended.
class SiteProcess {
 public:
  explicit SiteProcess(SiteProcessSettings settings);

  /// Starts it unless it runs.
  void Keep();

  /// Ends or pauses it; it stays down until `Keep` is called after `down` is
  /// over.
  void Signal(int number, base::TimePoint now, base::Duration down);

  /// Keeps it up, unless it is to stay down at `now`.
  void KeepAt(base::TimePoint now) {
    if (now >= down_until_) Keep();
  }

  /// Its exit code once it has ended.
  std::optional<int> Ended() {
    return process_ ? process_->Ended() : std::nullopt;
  }

  const http::Endpoint& front() const { return settings_.front; }
  const std::string& name() const { return settings_.name; }

 private:
  void WriteSettings() const;

  const SiteProcessSettings settings_;
  std::unique_ptr<scenario::ChildProcess> process_;
  base::TimePoint down_until_{};
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_SITE_PROCESS_H_
