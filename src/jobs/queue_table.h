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

/// A queue accepts jobs from requests to `host` whose path starts with
/// `path_prefix`.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  /// The service whose workers run the jobs.
  base::ServiceName service;
  int priority = 0;
  int max_attempts = 1;
  double slack_factor = 1;
  base::Duration target_latency{0};
  /// Requests need no API key.
  bool is_public = false;
};

/// The API keys and the guarantee of an organisation.
struct QueueOrganisation {
  base::OrganisationName name;
  std::vector<std::string> api_keys;
  /// Accelerators that are guaranteed at any time to its jobs of priority 0.
  std::int64_t guaranteed_accelerators = 0;
};

/// One accepted version of the queues and API keys.
struct QueueConfiguration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<QueueOrganisation> organisations;
};

/// Immutable lookup index of a configuration in force.
class QueueTable {
 public:
  explicit QueueTable(QueueConfiguration configuration);

  const QueueConfiguration& configuration() const { return configuration_; }

  /// The queue of `host` with the longest path_prefix that matches `path`, or
  /// null. A port in `host` is ignored.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;

  /// The organisation that has the API key, or null.
  const QueueOrganisation* FindOrganisationByKey(std::string_view key) const;

 private:
  QueueConfiguration configuration_;
  /// Queues by host, longest path_prefix first.
  std::map<std::string, std::vector<const Queue*>, std::less<>> by_host_;
  std::map<std::string, const QueueOrganisation*, std::less<>> by_key_;
};

using QueueTablePtr = std::shared_ptr<const QueueTable>;

}  // namespace lapishatch::jobs

#endif  // LAPISHATCH_JOBS_QUEUE_TABLE_H_
