#ifndef LAPISHATCH_SCHEDULER_OWNER_PROBE_H_
#define LAPISHATCH_SCHEDULER_OWNER_PROBE_H_

#include <functional>
#include <string>
#include <variant>

#include "base/base.h"
#include "http/http.h"
#include "lifecycle/lifecycle.h"

namespace lapishatch::scheduler {

/// What the asked process says of itself.
struct ProbeAnswer {
  lifecycle::HolderState state = lifecycle::HolderState::kNotHolding;
  lifecycle::Epoch epoch = 0;
};

/// No answer came, or one that makes no sense.
struct ProbeFailed {
  std::string detail;
};

/// Nobody listens at the address: the process that did is gone.
struct ProbeRefused {};

using ProbeResult = std::variant<ProbeAnswer, ProbeFailed, ProbeRefused>;

/// What the group of processes says of the life that a cell row names, and of
/// its address. Called on the cell's loop.
using GroupWord = std::function<lifecycle::HolderSuspicion(
    const base::Incarnation& holder, const http::Endpoint& at)>;

/// Asks the process that a cell row names as holder whether it still holds the
/// cell. A candidate does so before it takes over. Every call ends in exactly
/// one callback, within the implementation's timeout. ProbeFailed says that the
/// process was silent over a fresh connection too.
class OwnerProbe {
 public:
  virtual ~OwnerProbe() = default;

  /// `holder` is the incarnation the row names: another process at the same
  /// address answers kNotHolding.
  virtual void Ask(const http::Endpoint& at, const base::CellName& cell,
                   const base::Incarnation& holder,
                   std::function<void(ProbeResult)> done) = 0;
};

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_OWNER_PROBE_H_
