#ifndef LAPISHATCH_DISPATCH_INTERNAL_STORED_JOB_H_
#define LAPISHATCH_DISPATCH_INTERNAL_STORED_JOB_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "base/base.h"
#include "jobs/jobs.h"
#include "store/row_store.h"

namespace lapishatch::dispatch::internal {

/// Why an owner cannot run a job from its rows.
enum class InvalidJobReason : std::uint8_t {
  /// The request cannot be decoded: it is cut, or of a later version.
  kUnreadable,
  /// The request is that of a job of another name.
  kNameMismatch,
  /// The progress cannot be decoded, or is not that of the job.
  kProgress,
  /// The job exceeds a limit and can never be run. Earlier versions accepted
  /// such jobs.
  kLimits,
};

/// A job that can be run.
struct UsableJob {
  jobs::Job job;
  std::optional<jobs::JobProgress> progress;
};

/// A job that cannot be run.
struct InvalidJob {
  InvalidJobReason reason = InvalidJobReason::kUnreadable;
  /// What is wrong, for logs; may be empty.
  std::string_view detail;
  /// Its state if the progress row says that it has ended.
  std::optional<jobs::JobState> final_state;
};

using StoredJob = std::variant<UsableJob, InvalidJob>;

/// Reads a job from its request row and its progress row, null for none. Rows
/// of any content are read without an exception.
StoredJob ReadStoredJob(const store::StoredRow& request,
                        const store::StoredRow* progress);

}  // namespace lapishatch::dispatch::internal

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::internal::InvalidJobReason> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "unreadable", "name-mismatch", "progress", "limits"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_INTERNAL_STORED_JOB_H_
