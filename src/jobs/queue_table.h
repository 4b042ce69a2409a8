#ifndef LAPISHATCH_JOBS_QUEUE_TABLE_H_
#define LAPISHATCH_JOBS_QUEUE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "jobs/job.h"

namespace lapishatch::jobs {

/// Where jobs are handed in: requests to `host` whose path begins with
/// `prefix`.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  /// Whose workers run the jobs.
  base::ServiceName service;
  int priority = 0;
  int max_attempts = 1;
  double slack_factor = 1;
  base::Duration target_latency{0};
  /// Needs no key.
  bool is_public = false;
};

/// An organisation as the queues see it.
struct QueueOrganisation {
  base::OrganisationName name;
  std::vector<std::string> api_keys;
  /// Accelerators that its jobs of priority 0 may have at any time.
  std::int64_t guaranteed_accelerators = 0;
};

/// One accepted configuration of queues and keys.
struct QueueConfiguration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<QueueOrganisation> organisations;
};

/// A configuration in force, made quick to look up. Never changed once made.
class QueueTable {
 public:
  explicit QueueTable(QueueConfiguration configuration);

  const QueueConfiguration& configuration() const { return configuration_; }

  /// The queue of `host` (a port behind it is ignored) with the longest prefix
  /// of `path`, or null.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;

  /// Whose key it is, or null.
  const QueueOrganisation* FindOrganisationByKey(std::string_view key) const;

 private:
  QueueConfiguration configuration_;
  /// By host, longest prefix first.
  std::map<std::string, std::vector<const Queue*>, std::less<>> by_host_;
  std::map<std::string, const QueueOrganisation*, std::less<>> by_key_;
};

using QueueTablePtr = std::shared_ptr<const QueueTable>;

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_QUEUE_TABLE_H_
