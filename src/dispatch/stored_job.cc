#include "dispatch/internal/stored_job.h"

#include <utility>

namespace lapishatch::dispatch::internal {

StoredJob ReadStoredJob(const store::StoredRow& request,
                        const store::StoredRow* progress) {
  auto recorded = progress == nullptr ? std::nullopt
                                      : jobs::DecodeProgress(progress->value);
  InvalidJob invalid;
  if (recorded && IsFinal(recorded->state)) {
    invalid.final_state = recorded->state;
  }
  auto job = jobs::DecodeJob(request.value);
  if (!job) return invalid;
  if (job->name.str() != request.address.key) {
    invalid.reason = InvalidJobReason::kNameMismatch;
    return invalid;
  }
  if (const auto limit = jobs::FindExceededLimit(job->steps, job->schedule)) {
    invalid.reason = InvalidJobReason::kLimits;
    invalid.detail = base::NameOf(*limit);
    return invalid;
  }
  const bool has_valid_progress =
      progress == nullptr || (recorded && jobs::IsProgressOf(*recorded, *job));
  if (!has_valid_progress) {
    invalid.reason = InvalidJobReason::kProgress;
    return invalid;
  }
  return UsableJob{*std::move(job), std::move(recorded)};
}

}  // namespace lapishatch::dispatch::internal
