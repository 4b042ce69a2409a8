#ifndef LAPISHATCH_BACKENDS_WORKER_CLIENT_H_
#define LAPISHATCH_BACKENDS_WORKER_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/http.h"
#include "lifecycle/lifecycle.h"

namespace lapishatch::backends {

/// No report came: the worker is not reached or answered nonsense.
struct ReportFailed {
  std::string detail;
};

using ReportResult = std::variant<lifecycle::WorkerReport, ReportFailed>;

/// What a report is asked with.
struct ReportQuery {
  /// Tasks changed after this sequence of this incarnation; 0 asks for all.
  /// Acknowledges ended tasks up to it.
  std::uint64_t since = 0;
  base::Incarnation incarnation;
  /// The worker answers at once when something changed, otherwise after this.
  base::Duration wait{0};
  /// Epoch of the asking owner: the worker notes it like an order's; a lower
  /// one than seen is told so in the report's epoch_seen.
  lifecycle::Epoch epoch = 0;
  base::CellName cell;
  /// When not zero: renews by this much every lease of the cell's started tasks
  /// on the worker.
  base::Duration renew{0};
};

/// Talks to workers. Every call ends in exactly one callback.
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

/// Workers over HTTP (docs/OUTSIDE.md gives the protocol). `client` must
/// outlive it.
std::unique_ptr<WorkerClient> MakeHttpWorkerClient(http::Client& client,
                                                   HttpWorkerOptions options);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_WORKER_CLIENT_H_
