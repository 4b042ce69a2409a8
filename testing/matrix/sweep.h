#ifndef LAPISHATCH_TESTING_MATRIX_SWEEP_H_
#define LAPISHATCH_TESTING_MATRIX_SWEEP_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "matrix/world.h"

namespace lapishatch::matrix {

/// Whether a fault means something at a step (an operator's race does not
/// happen to a lease).
bool Applies(Step step, Fault fault);

/// Every cell of a protocol: the fault-free one, all single faults, and with
/// `pairs` all ordered pairs.
std::vector<FaultPlan> CellsOf(Protocol protocol, bool pairs);

/// One violated cell, as a text that RunWorld can repeat.
struct BadCell {
  std::string plan;
  Violation violation;
};

/// What a sweep over one protocol found.
struct SweepSummary {
  Protocol protocol = Protocol::kRequest;
  std::size_t cells = 0;
  /// Cells in which every planned fault was injected.
  std::size_t reached = 0;
  std::array<std::size_t, base::kEnumSize<Invariant>> violations{};
  /// The longest over all cells.
  base::Duration longest_part{0};
  base::Duration longest_urgent_start{0};
  /// The first bad cells, at most kMaxBadCells of each invariant.
  std::vector<BadCell> bad_cells;

  static constexpr std::size_t kMaxBadCells = 20;

  std::size_t total_violations() const;
};

/// Runs all cells on `threads` threads. The result does not depend on them.
SweepSummary Sweep(Protocol protocol, bool pairs, unsigned threads,
                   Break broken = Break::kNone);

/// A table for people: cells run and reached, and violations by invariant.
std::string TextOf(const SweepSummary& summary);

}  // namespace lapishatch::matrix

#endif  // LAPISHATCH_TESTING_MATRIX_SWEEP_H_
