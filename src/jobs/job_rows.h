#ifndef LAPISHATCH_JOBS_JOB_ROWS_H_
#define LAPISHATCH_JOBS_JOB_ROWS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/job.h"
#include "jobs/progress.h"

namespace lapishatch::jobs {

/// Tables. The part of every row is the service that runs the job.
///
/// | table | key | written by |
/// | --- | --- | --- |
/// | requests | job | the entry that accepts it, once |
/// | requests | job + kCancelSuffix | the entry that cancels it, once |
/// | progress | job | the owner |
/// | waiting | kWaitingKey | the owner |
inline constexpr std::string_view kRequestTable = "requests";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kWaitingTable = "waiting";
inline constexpr std::string_view kCancelSuffix = "/cancel";
inline constexpr std::string_view kWaitingKey = "jobs";

/// The rows' values: compact JSON. The readers give nothing for a text that
/// makes no sense.
std::string EncodeJob(const Job& job);
std::optional<Job> DecodeJob(std::string_view text);

std::string EncodeProgress(const JobProgress& progress);
std::optional<JobProgress> DecodeProgress(std::string_view text);

/// For each queue, how many of its jobs no task of which has begun.
using WaitingJobs = std::map<QueueName, int>;
std::string EncodeWaiting(const WaitingJobs& waiting);
std::optional<WaitingJobs> DecodeWaiting(std::string_view text);

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_ROWS_H_
