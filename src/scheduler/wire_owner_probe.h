#ifndef LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_
#define LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_

#include <functional>
#include <optional>
#include <string>

#include "base/base.h"
#include "membership/membership.h"
#include "scheduler/owner_probe.h"

namespace lapishatch::scheduler {

/// Asks the holder of a cell over the inner protocol.
class WireOwnerProbe final : public OwnerProbe {
 public:
  /// `loop` is that of `requests`; both must outlive the probe. `timeout` is
  /// the longest wait for an answer.
  WireOwnerProbe(base::EventLoop& loop, wire::RequestChannel& requests,
                 base::Duration timeout)
      : loop_(loop), requests_(requests), timeout_(timeout) {}

  /// `at` is the endpoint of the inner protocol. Safe from any thread; `done`
  /// is called on the loop.
  void Ask(const http::Endpoint& at, const base::CellName& cell,
           const base::Incarnation& holder,
           std::function<void(ProbeResult)> done) override;

 private:
  base::EventLoop& loop_;
  wire::RequestChannel& requests_;
  base::Duration timeout_;
};

/// What a scheduler process answers other processes. Called on the loop of its
/// node.
struct CellQueries {
  std::function<ProbeAnswer(const base::CellName& cell,
                            const base::Incarnation& holder)>
      probe;
  /// JSON text, or nothing for a job that is not of a cell of this process.
  std::function<std::optional<std::string>(const base::JobName& job)> explain;
  /// JSON text, or nothing for a cell that this process does not hold.
  std::function<std::optional<std::string>(const base::CellName& cell)> status;
};

/// Answers OwnerQuery, ExplainQuery and CellStatusQuery by `queries`; for
/// membership::Node::Serve.
wire::RequestChannel::Server MakeCellQueryServer(CellQueries queries);

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_
