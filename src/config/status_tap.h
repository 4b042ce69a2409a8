#ifndef LAPISHATCH_CONFIG_STATUS_TAP_H_
#define LAPISHATCH_CONFIG_STATUS_TAP_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/change_writer.h"
#include "config/mirror.h"
#include "store/store.h"

namespace lapishatch::config {

/// Settings of the publishing of job statuses.
struct StatusOptions {
  /// Statuses that change within this time go into the log together.
  base::Duration window{100};
  /// Pause before a status that was not accepted is tried again.
  base::Duration retry{1'000};
};

/// The section [statuses].
Section Describe(StatusOptions& options);

/// The table as the owner of a cell uses it: passes everything on, and puts the
/// status rows that it sees written or read into the jobs log, so that they
/// reach the watches. The log entry demands the row's version, so that an owner
/// that has lost its cell publishes nothing old; a new owner, which reads the
/// rows of its jobs, publishes what its predecessor did not come to.
class StatusTap final : public store::Table {
 public:
  /// What a status row's value says; nothing when it makes no sense.
  using Decode = std::function<std::optional<JobStatus>(std::string_view)>;

  /// `loop` is the mirror's; everything must outlive the tap.
  StatusTap(StatusOptions options, base::EventLoop& loop, store::Table& inner,
            Mirror& mirror, ChangeWriter& writer, Decode decode);
  ~StatusTap() override;
  StatusTap(const StatusTap&) = delete;
  StatusTap& operator=(const StatusTap&) = delete;

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) override;
  void Read(std::string key,
            std::function<void(store::ReadResult)> done) override;
  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(store::ScanResult)> done) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
  store::Table& inner_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_STATUS_TAP_H_
