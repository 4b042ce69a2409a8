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

/// What a candidate is told of the life that holds a cell, by the group of
/// processes. A guess, and never enough by itself to take a cell.
enum class HolderSuspicion : std::uint8_t {
  kNone,
  /// It missed probes, or another life answers at its address.
  kSuspect,
  /// Nobody of the group has heard it for long.
  kDead,
};

/// Why a candidate took a cell.
enum class AcquireReason : std::uint8_t {
  /// Nobody held it.
  kFree,
  /// The row had not changed for a whole lease.
  kExpired,
  /// Doubted, and nobody listens at its address.
  kConnectionRefused,
  /// Doubted, and the process at its address says that it does not hold it.
  kNotHolding,
  /// Held for dead, silent to this process over a fresh connection, and it has
  /// missed a renewal.
  kHolderTimedOut,
};

/// Whether the cell was taken before the lease of its holder had run out.
constexpr bool IsEarlyAcquire(AcquireReason reason) {
  return reason != AcquireReason::kFree && reason != AcquireReason::kExpired;
}

struct LeaseTiming {
  /// A row unchanged for this long has no live holder.
  base::Duration duration{10'000};
  /// Added by candidates, for clocks that run at different rates.
  base::Duration clock_drift_margin{500};
  /// Between the holder's renewals.
  base::Duration renew_interval{3'000};
  /// Between a candidate's reads, and between tries when the table fails.
  base::Duration read_interval{2'000};
  /// Between a candidate's reads while the holder is doubted.
  base::Duration suspect_read_interval{250};
  /// A doubted holder that is silent counts as gone when its row has not
  /// changed for this long: longer than it takes to renew.
  base::Duration unresponsive_after{4'500};
  /// After the cell has changed hands without a release, hints take it no more
  /// for so long; doubled by each further change, up to the limit.
  base::Duration early_acquire_pause{30'000};
  base::Duration early_acquire_pause_limit{480'000};
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
  /// What the group says of the row's holder by now.
  HolderSuspicion suspicion = HolderSuspicion::kNone;
};
struct RowReadFailed {};
/// The last write took effect. `fence_version` counts when it was a take.
struct RowWritten {
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;
};
/// The last write met another version of a row and had no effect.
struct RowWriteConflict {};
/// The last write certainly had no effect: the table is out.
struct RowWriteFailed {};
/// The last write may or may not have taken effect.
struct RowWriteUnknown {};
struct HolderAnswered {
  HolderState state = HolderState::kNotHolding;
};
struct HolderTimedOut {};
/// Nobody listens at the holder's address.
struct HolderConnectionRefused {};
/// A worker or the table has seen a later owner.
struct EpochRejected {
  Epoch epoch_seen = 0;
};
/// Planned stop.
struct ReleaseRequested {};
/// Look at the row at once.
struct ReadRequested {};
struct LeaseTimerFired {};

using LeaseEvent =
    std::variant<RowRead, RowReadFailed, RowWritten, RowWriteConflict,
                 RowWriteFailed, RowWriteUnknown, HolderAnswered,
                 HolderTimedOut, HolderConnectionRefused, EpochRejected,
                 ReleaseRequested, ReadRequested, LeaseTimerFired>;

// What is to be done for a lease.

/// Read the cell's row and its fence. Answer: RowRead or RowReadFailed.
struct ReadRow {};
/// Write `row` on condition that it has `row_version`; the fence too, in the
/// same transaction, when `take`.
struct WriteRow {
  HolderRow row;
  std::uint64_t row_version = 0;
  bool acquire = false;
};
struct QueryHolder {
  std::string endpoint;
  base::Incarnation holder;
};
/// The cell is ours under this epoch. Records are conditional on the fence.
struct LeaseGranted {
  Epoch epoch = 0;
  std::uint64_t fence_version = 0;
  AcquireReason reason = AcquireReason::kFree;
  /// Who held it before; empty when nobody did.
  base::Incarnation previous_holder;
};
/// The cell is ours no longer: drop everything, send nothing.
struct LeaseLost {
  std::string reason;
};
struct LeaseReleased {};

using LeaseCommand = std::variant<ReadRow, WriteRow, QueryHolder, LeaseGranted,
                                  LeaseLost, LeaseReleased>;

/// One process's view of the lease of one cell, as candidate and holder. Pure:
/// every call is given the time of this process's monotonic clock. A holder's
/// lease is counted from before its write was sent, a candidate's wait from
/// after its read was answered, so the two never overlap while clocks run at
/// rates closer than `margin` in `length`. A take on a hint gives that up: then
/// two may believe to hold the cell for as long as a lease, and only the fence
/// and the epochs at the workers decide.
class CellLease {
 public:
  CellLease(base::Incarnation self, std::string endpoint, LeaseTiming times);
  ~CellLease();
  CellLease(CellLease&&) noexcept;
  CellLease& operator=(CellLease&&) noexcept;

  /// Begins to follow the row.
  std::vector<LeaseCommand> Begin(base::TimePoint now);

  std::vector<LeaseCommand> Handle(const LeaseEvent& event,
                                   base::TimePoint now);

  /// When a LeaseTimerFired is due.
  base::TimePoint wake_at() const;

  /// Whether the holder may act at `now`: its lease runs, or the table has
  /// been failing under its eyes without a gap as long as a lease. To be asked
  /// after the work and before each send.
  bool MayAct(base::TimePoint now) const;

  /// Whether the lease is held and has gone unrenewed because the table is out.
  bool HoldsWithoutTable(base::TimePoint now) const;

  HolderState state(base::TimePoint now) const;
  Epoch epoch() const;
  /// The holder by the row last read or written.
  const base::Incarnation& holder() const;
  /// Why the cell was taken last by this process.
  AcquireReason acquire_reason() const;

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
template <>
struct EnumNames<lifecycle::HolderSuspicion> {
  static constexpr std::array<std::string_view, 3> kNames = {"none", "suspect",
                                                             "dead"};
};
template <>
struct EnumNames<lifecycle::AcquireReason> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "free", "lapsed", "refused", "not-holding", "silent"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_LIFECYCLE_CELL_LEASE_H_
