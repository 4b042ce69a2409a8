#ifndef LAPISHATCH_BACKENDS_WORKER_CLIENT_H_
#define LAPISHATCH_BACKENDS_WORKER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/http.h"
#include "lifecycle/lifecycle.h"

namespace lapishatch::backends {

/// No valid report was received: the worker was not reached, or its response
/// was invalid.
struct ReportFailed {
  std::string detail;
};

using ReportResult = std::variant<lifecycle::WorkerReport, ReportFailed>;

/// Parameters of a report request.
struct ReportQuery {
  /// Requests the tasks changed after this sequence of this incarnation; 0
  /// requests all. Acknowledges ended tasks up to it.
  std::uint64_t since = 0;
  base::Incarnation incarnation;
  /// The worker responds at once when a task changed, otherwise after this
  /// time.
  base::Duration wait{0};
  /// Epoch of the requesting owner. The worker records it like that of an
  /// order; if it has seen a higher one, the report's epoch_seen shows it.
  lifecycle::Epoch epoch = 0;
  base::CellName cell;
  /// If not zero, extends every lease of the cell's started tasks on the worker
  /// by this time.
  base::Duration renew{0};
};

/// Client of workers. Every call leads to exactly one callback.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  virtual void Send(const http::Endpoint& worker, lifecycle::WorkerOrder order,
                    std::function<void(lifecycle::OrderOutcome)> done) = 0;

  virtual void FetchReport(const http::Endpoint& worker, ReportQuery query,
                           std::function<void(ReportResult)> done) = 0;
};

struct HttpWorkerOptions {
  base::Duration order_timeout{2'000};
  /// Added to a report's `wait`.
  base::Duration report_timeout{2'000};
};

/// Creates a client of workers over HTTP (protocol: docs/OUTSIDE.md). `client`
/// must outlive it.
std::unique_ptr<WorkerClient> MakeHttpWorkerClient(http::Client& client,
                                                   HttpWorkerOptions options);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_WORKER_CLIENT_H_
