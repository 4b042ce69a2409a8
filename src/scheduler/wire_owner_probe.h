#ifndef LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_
#define LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_

#include <functional>
#include <optional>
#include <string>

#include "base/base.h"
#include "membership/membership.h"
#include "scheduler/owner_probe.h"

namespace lapishatch::scheduler {

/// Asks the holder of a cell over the inner protocol: first whether anybody
/// listens at its address, over a fresh connection, then the process there.
class WireOwnerProbe final : public OwnerProbe {
 public:
  /// `loop` is that of `transport` and `requests`; all must outlive the probe.
  /// `step_timeout` is the longest wait of each of three steps: the connection,
  /// an answer over whatever connection there is, and over a fresh one.
  WireOwnerProbe(base::EventLoop& loop, wire::Transport& transport,
                 wire::RequestChannel& requests, base::Duration step_timeout)
      : loop_(loop),
        transport_(transport),
        requests_(requests),
        step_timeout_(step_timeout) {}

  /// `at` is the endpoint of the inner protocol. Safe from any thread; `done`
  /// is called on the loop.
  void Ask(const http::Endpoint& at, const base::CellName& cell,
           const base::Incarnation& holder,
           std::function<void(ProbeResult)> done) override;

 private:
  struct Question {
    wire::Peer peer;
    base::CellName cell;
  };

  void OnDialled(const Question& question, wire::DialResult result,
                 const std::function<void(ProbeResult)>& done);
  void AskOwner(const Question& question, int asks_left,
                const std::function<void(ProbeResult)>& done);

  base::EventLoop& loop_;
  wire::Transport& transport_;
  wire::RequestChannel& requests_;
  base::Duration step_timeout_;
};

/// What a scheduler process answers other processes. Called on the loop of its
/// node; each ends in one call of `done` on that loop, at once or when the
/// cell's own loop has answered.
struct CellQueries {
  std::function<void(const base::CellName& cell,
                     const base::Incarnation& holder,
                     std::function<void(ProbeAnswer)> done)>
      probe;
  /// JSON text, or nothing for a job that is not of a cell of this process.
  std::function<void(const base::JobName& job,
                     std::function<void(std::optional<std::string>)> done)>
      explain;
  /// JSON text, or nothing for a cell that this process does not hold.
  std::function<void(const base::CellName& cell,
                     std::function<void(std::optional<std::string>)> done)>
      status;
};

/// Answers OwnerQuery, ExplainQuery and CellStatusQuery by `queries`; for
/// membership::Node::Serve.
wire::RequestChannel::Server MakeCellQueryServer(CellQueries queries);

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_WIRE_OWNER_PROBE_H_
