#ifndef LAPISHATCH_LIFECYCLE_CELL_LEASE_H_
#define LAPISHATCH_LIFECYCLE_CELL_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "lifecycle/worker_protocol.h"

namespace lapishatch::lifecycle {

/// What a process answers when it is asked whether it holds a cell.
enum class HolderState : std::uint8_t {
  kNotHolding,
  kHolding,
  /// Holds it, but cannot reach the table to renew.
  kHoldingWithoutTable,
};

struct LeaseTimes {
  /// A row unchanged for this long has no live holder.
  base::Duration length{10'000};
  /// Added by candidates, for clocks that run at different rates.
  base::Duration margin{500};
  /// Between the holder's renewals.
  base::Duration renew_every{3'000};
  /// Between a candidate's reads, and between tries when the table fails.
  base::Duration read_every{2'000};
};

/// A cell's row: who holds the cell.
struct HolderRow {
  /// Empty after a planned release.
  base::Incarnation holder;
  /// Where the holder answers, as "address:port".
  std::string endpoint;
  Epoch epoch = 0;
  /// Of the write that made this row.
  base::AttemptId attempt;
};

// What happens to a lease.

/// The row was read, and the fence (the row that changes only with the owner)
/// when the row names this process.
struct RowRead {
  std::optional<HolderRow> row;
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;
};
struct RowReadFailed {};
/// The last write took effect. `fence_version` counts when it was a take.
struct LeaseWritten {
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;
};
/// The last write met another version of a row and had no effect.
struct LeaseConflict {};
/// The last write certainly had no effect: the table is out.
struct LeaseNotWritten {};
/// The last write may or may not have taken effect.
struct LeaseUnknown {};
struct HolderAnswered {
  HolderState state = HolderState::kNotHolding;
};
struct HolderSilent {};
/// A worker or the table has seen a later owner.
struct EpochRefused {
  Epoch epoch_seen = 0;
};
/// Planned stop.
struct ReleaseAsked {};
/// Look at the row at once.
struct LookAsked {};
struct LeaseTime {};

using LeaseEvent =
    std::variant<RowRead, RowReadFailed, LeaseWritten, LeaseConflict,
                 LeaseNotWritten, LeaseUnknown, HolderAnswered, HolderSilent,
                 EpochRefused, ReleaseAsked, LookAsked, LeaseTime>;

// What is to be done for a lease.

/// Read the cell's row and its fence. Answer: RowRead or RowReadFailed.
struct ReadRow {};
/// Write `row` on condition that it has `row_version`; the fence too, in the
/// same transaction, when `take`.
struct WriteRow {
  HolderRow row;
  std::uint64_t row_version = 0;
  bool take = false;
};
struct AskHolder {
  std::string endpoint;
  base::Incarnation holder;
};
/// The cell is ours under this epoch. Records are conditional on the fence.
struct LeaseGranted {
  Epoch epoch = 0;
  std::uint64_t fence_version = 0;
};
/// The cell is ours no longer: drop everything, send nothing.
struct LeaseLost {
  std::string reason;
};
struct LeaseReleased {};

using LeaseCommand = std::variant<ReadRow, WriteRow, AskHolder, LeaseGranted,
                                  LeaseLost, LeaseReleased>;

/// One process's view of the lease of one cell, as candidate and holder. Pure:
/// every call is given the time of this process's monotonic clock. A holder's
/// lease is counted from before its write was sent, a candidate's wait from
/// after its read was answered, so the two never overlap while clocks run at
/// rates closer than `margin` in `length`.
class CellLease {
 public:
  CellLease(base::Incarnation self, std::string endpoint, LeaseTimes times);
  ~CellLease();
  CellLease(CellLease&&) noexcept;
  CellLease& operator=(CellLease&&) noexcept;

  /// Begins to follow the row.
  std::vector<LeaseCommand> Begin(base::TimePoint now);

  std::vector<LeaseCommand> Handle(const LeaseEvent& event,
                                   base::TimePoint now);

  /// When a LeaseTime is due.
  base::TimePoint wake_at() const;

  /// Whether the holder may act at `now`: its lease runs, or the table has
  /// been failing under its eyes without a gap as long as a lease. To be asked
  /// after the work and before each send.
  bool MayAct(base::TimePoint now) const;

  /// Whether the lease is held and has gone unrenewed because the table is out.
  bool WithoutTable(base::TimePoint now) const;

  HolderState state(base::TimePoint now) const;
  Epoch epoch() const;
  /// The holder by the row last read or written.
  const base::Incarnation& holder() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::lifecycle

namespace lapishatch::base {
template <>
struct EnumNames<lifecycle::HolderState> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "not-holding", "holding", "holding-without-table"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_LIFECYCLE_CELL_LEASE_H_
