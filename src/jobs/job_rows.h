#ifndef LAPISHATCH_JOBS_JOB_ROWS_H_
#define LAPISHATCH_JOBS_JOB_ROWS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"
#include "jobs/progress.h"

namespace lapishatch::jobs {

/// Tables. A job's rows lie together in one of the parts of its service, so
/// that one part's transactions, which the store does one after another (150 a
/// second, and 2 a second when it is slow), carry an eighth of the jobs. The
/// counts lie in the part that is named like the service.
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

inline constexpr int kParts = 8;

/// The part of a job's rows.
std::string PartOf(const base::ServiceName& service, const base::JobName& job);

/// All parts with jobs of a service, in order.
std::vector<std::string> PartsOf(const base::ServiceName& service);

/// The index in PartsOf of a job's part.
int PartIndexOf(const base::JobName& job);

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
