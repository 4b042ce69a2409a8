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

/// Tables. The store does the transactions of one part one after another, and a
/// slow one takes most of a second for each. Requests and progress lie in parts
/// of their own: an entry writes one job at a time and so needs many parts, the
/// owner writes many jobs at once and fences each of its parts when it begins.
///
/// | table | part | key | written by |
/// | --- | --- | --- | --- |
/// | requests | of RequestPartitions | job | the entry that accepts it, once |
/// | requests | the same | job + kCancelSuffix | the entry that cancels it |
/// | progress | of ProgressPartitions | job | the owner |
/// | waiting | WaitingCountsPartition | kWaitingCountsKey | the owner |
inline constexpr std::string_view kRequestTable = "requests";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kWaitingCountsTable = "waiting";
inline constexpr std::string_view kCancelSuffix = "/cancel";
inline constexpr std::string_view kWaitingCountsKey = "jobs";

inline constexpr int kProgressPartitionCount = 8;

/// Many, since a slow store takes most of a second for each transaction and
/// every job that is accepted is one.
inline constexpr int kRequestPartitionCount = 64;

/// The part of a job's progress.
std::string ProgressPartition(const base::ServiceName& service,
                              const base::JobName& job);

/// All parts with progress of a service, in order.
std::vector<std::string> ProgressPartitions(const base::ServiceName& service);

/// The index in ProgressPartitions of a job's part.
int ProgressPartitionIndex(const base::JobName& job);

/// The part of a job's request and of its cancelling, and all of them.
std::string RequestPartition(const base::ServiceName& service,
                             const base::JobName& job);
std::vector<std::string> RequestPartitions(const base::ServiceName& service);

/// The part of the counts of waiting jobs. It is not that of the owner's lease,
/// whose renewals must not wait for anything else.
std::string WaitingCountsPartition(const base::ServiceName& service);

/// The rows' values: compact JSON. The readers give nothing for a text that
/// makes no sense.
std::string EncodeJob(const Job& job);
std::optional<Job> DecodeJob(std::string_view text);

std::string EncodeProgress(const JobProgress& progress);
std::optional<JobProgress> DecodeProgress(std::string_view text);

/// For each queue, how many of its jobs no task of which has begun.
using WaitingJobCounts = std::map<QueueName, int>;
std::string EncodeWaitingCounts(const WaitingJobCounts& waiting);
std::optional<WaitingJobCounts> DecodeWaitingCounts(std::string_view text);

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_ROWS_H_
