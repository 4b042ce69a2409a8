#include "dispatch/internal/stored_job.h"

#include <utility>

namespace lapishatch::dispatch::internal {

StoredJob ReadStoredJob(const store::StoredRow& request,
                        const store::StoredRow* progress) {
  auto recorded = progress == nullptr ? std::nullopt
                                      : jobs::DecodeProgress(progress->value);
  FlawedJob flawed;
  if (recorded && IsFinal(recorded->state)) {
    flawed.final_state = recorded->state;
  }
  auto job = jobs::DecodeJob(request.value);
  if (!job) return flawed;
  if (job->name.str() != request.address.key) {
    flawed.flaw = JobFlaw::kForeign;
    return flawed;
  }
  if (const auto limit = jobs::FindExceededLimit(job->steps, job->schedule)) {
    flawed.flaw = JobFlaw::kLimits;
    flawed.detail = base::NameOf(*limit);
    flawed.is_impossible = true;
    return flawed;
  }
  const bool has_sound_progress =
      progress == nullptr || (recorded && jobs::IsProgressOf(*recorded, *job));
  if (!has_sound_progress) {
    flawed.flaw = JobFlaw::kProgress;
    return flawed;
  }
  return UsableJob{*std::move(job), std::move(recorded)};
}

}  // namespace lapishatch::dispatch::internal
