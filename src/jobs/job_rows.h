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

/// Tables. A partition is a `part` of store::RowStore. The store executes the
/// transactions of one partition serially, and a slow store takes most of a
/// second for each. Requests and progress have separate partitions: an entry
/// writes one job per transaction and therefore needs many partitions, while
/// the owner writes many jobs per transaction and fences each of its partitions
/// when it starts.
///
/// | table | partition | key | written by |
/// | --- | --- | --- | --- |
/// | requests | one of RequestPartitions | job | the entry that accepts it,
/// once | | requests | the same | job + kCancelSuffix | the entry that cancels
/// it | | progress | one of ProgressPartitions | job | the owner | | waiting |
/// WaitingCountsPartition | kWaitingCountsKey | the owner | | index | one of
/// the home service's RequestPartitions | job | see JobIndex | | index |
/// kHomePartition | kHomeKey | see JobIndex |
inline constexpr std::string_view kRequestTable = "requests";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kWaitingCountsTable = "waiting";
inline constexpr std::string_view kIndexTable = "index";
inline constexpr std::string_view kCancelSuffix = "/cancel";
inline constexpr std::string_view kHomePartition = "home";
inline constexpr std::string_view kHomeKey = "home";
inline constexpr std::string_view kWaitingCountsKey = "jobs";

inline constexpr int kProgressPartitionCount = 8;

/// Many, since a slow store takes most of a second for each transaction and
/// each accepted job takes one transaction.
inline constexpr int kRequestPartitionCount = 64;

/// The partition of a job's progress row.
std::string ProgressPartition(const base::ServiceName& service,
                              const base::JobName& job);

/// All progress partitions of a service, ordered by index.
std::vector<std::string> ProgressPartitions(const base::ServiceName& service);

/// The index of a job's partition in ProgressPartitions.
int ProgressPartitionIndex(const base::JobName& job);

/// The partition of a job's request row and cancellation row, and all request
/// partitions of a service.
std::string RequestPartition(const base::ServiceName& service,
                             const base::JobName& job);
std::vector<std::string> RequestPartitions(const base::ServiceName& service);

/// The service of which `partition` is a request partition, if it is one.
std::optional<base::ServiceName> ServiceOfRequestPartition(
    std::string_view partition);

/// The partition of the waiting job counts. It differs from that of the owner's
/// lease, whose renewals must not queue behind other transactions.
std::string WaitingCountsPartition(const base::ServiceName& service);

/// The key of a job's cancellation row. It may precede the request: a job that
/// is cancelled while the write of its request may still take effect is then
/// cancelled when the request appears.
std::string CancelKey(const base::JobName& job);

/// Row values are compact JSON. The decoders return nullopt for malformed text.
std::string EncodeJob(const Job& job);
std::optional<Job> DecodeJob(std::string_view text);

std::string EncodeProgress(const JobProgress& progress);
std::optional<JobProgress> DecodeProgress(std::string_view text);

/// The service that an entry of the index names.
std::string EncodeIndexEntry(const base::ServiceName& service);
std::optional<base::ServiceName> DecodeIndexEntry(std::string_view text);

/// For each queue, the number of its jobs of which no task has started.
using WaitingJobCounts = std::map<QueueName, int>;
std::string EncodeWaitingCounts(const WaitingJobCounts& waiting);
std::optional<WaitingJobCounts> DecodeWaitingCounts(std::string_view text);

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_JOB_ROWS_H_
