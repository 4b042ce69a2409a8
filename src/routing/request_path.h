#ifndef LAPISHATCH_ROUTING_REQUEST_PATH_H_
#define LAPISHATCH_ROUTING_REQUEST_PATH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "backends/backends.h"
#include "routing/claim_sweeper.h"
#include "routing/claimed_request.h"
#include "routing/directory.h"
#include "routing/request.h"
#include "routing/service_dispatcher.h"
#include "store/store.h"

namespace lapishatch::routing {

struct RequestPathOptions {
  DispatcherOptions dispatcher;
  ClaimOptions claims;
  ClaimSweeperOptions sweeper;
  /// Requests taken and not yet answered, and the bytes of their bodies.
  std::size_t max_in_progress = 8192;
  std::size_t max_bytes_in_progress = 64 * 1024 * 1024;
};

/// What the request path stands on. Everything outlives the path; the loops may
/// run on different threads.
struct RequestPathParts {
  /// One shard of the state lives on each; a service always has the same.
  std::vector<base::EventLoop*> loops;
  store::Table& table;
  store::ObjectStore& objects;
  backends::RunnerClient& runners;
  const OrganisationDirectory& organisations;
  const RunnerDirectory& runner_directory;
  const EntryDirectory& entries;
  base::MetricRegistry& metrics;
  base::Incarnation incarnation;
  base::DomainName domain;
  /// Wall clock, in milliseconds since 1970.
  std::function<std::int64_t()> unix_ms;
  std::uint64_t seed = 1;
};

/// The path of a request through one entry: admission by organisation, a claim
/// when it is not idempotent, a queue, a runner, the record of its outcome, the
/// answer. Every request that is handed over gets exactly one outcome, unless
/// the path is destroyed before.
class RequestPath {
 public:
  using Done = std::function<void(RequestOutcome)>;

  RequestPath(RequestPathParts parts, RequestPathOptions options);
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  /// Takes a request. `done` comes on any loop, or before this returns. Safe
  /// from several threads.
  void Handle(RoutedRequest request, Done done);

  /// Requests taken and not yet answered.
  std::size_t in_progress() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_REQUEST_PATH_H_
