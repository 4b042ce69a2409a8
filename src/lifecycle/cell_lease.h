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

/// Response of a process to the query whether it holds a cell.
enum class HolderState : std::uint8_t {
  kNotHolding,
  kHolding,
  /// Holds the cell, but cannot reach the table to renew the lease.
  kHoldingWithoutTable,
};

/// Membership's opinion on the incarnation that holds a cell. It may be wrong,
/// so it never suffices by itself to acquire the cell.
enum class HolderSuspicion : std::uint8_t {
  kNone,
  /// It missed probes, or another incarnation answers at its address.
  kSuspect,
  /// No member of the group has received a message from it for a long time.
  kDead,
};

/// Why a candidate acquired a cell.
enum class AcquireReason : std::uint8_t {
  /// The cell had no holder.
  kFree,
  /// The row had not changed for a whole lease duration.
  kExpired,
  /// The holder was suspected, and its address refused the connection.
  kConnectionRefused,
  /// The holder was suspected, and the process at its address reported that it
  /// does not hold the cell.
  kNotHolding,
  /// The holder was considered dead, did not respond to this process over a
  /// fresh connection, and had missed a renewal.
  kHolderTimedOut,
};

/// Whether the cell was acquired before the lease of its holder expired.
constexpr bool IsEarlyAcquire(AcquireReason reason) {
  return reason != AcquireReason::kFree && reason != AcquireReason::kExpired;
}

struct LeaseTiming {
  /// The lease expires when its row has not changed for this long.
  base::Duration duration{10'000};
  /// Added to the duration by candidates, for clocks that run at different
  /// rates.
  base::Duration clock_drift_margin{500};
  /// Time between the holder's renewals.
  base::Duration renew_interval{3'000};
  /// Time between a candidate's reads, and between retries when the table
  /// fails.
  base::Duration read_interval{2'000};
  /// Time between a candidate's reads while the holder is suspected.
  base::Duration suspect_read_interval{250};
  /// An unresponsive holder that is considered dead loses the cell when its row
  /// has not changed for this long. It must exceed the renewal interval.
  base::Duration unresponsive_after{4'500};
  /// Time after a change of holder without a release in which the cell is not
  /// acquired before its lease expires. Each further change doubles it, up to
  /// the limit.
  base::Duration early_acquire_pause{30'000};
  base::Duration early_acquire_pause_limit{480'000};
};

/// Row of a cell in the table; names the holder.
struct HolderRow {
  /// Empty after a planned release.
  base::Incarnation holder;
  /// Address of the holder, as "address:port".
  std::string endpoint;
  Epoch epoch = 0;
  /// Identifies the write that produced this row.
  base::AttemptId attempt;
};

// Events of a lease.

/// The row was read. The fence, a row that changes only when the owner changes,
/// was read too when the row names this process.
struct RowRead {
  std::optional<HolderRow> row;
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;
  /// Current suspicion of the row's holder, from membership.
  HolderSuspicion suspicion = HolderSuspicion::kNone;
};
struct RowReadFailed {};
/// The last write took effect. `fence_version` is valid only if the write
/// acquired the cell.
struct RowWritten {
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;
};
/// The last write had no effect, since a row had another version.
struct RowWriteConflict {};
/// The last write certainly had no effect, since the table is unavailable.
struct RowWriteFailed {};
/// The last write may or may not have taken effect.
struct RowWriteUnknown {};
struct HolderAnswered {
  HolderState state = HolderState::kNotHolding;
};
struct HolderTimedOut {};
/// The holder's address refused the connection.
struct HolderConnectionRefused {};
/// A worker or the table has seen a higher epoch.
struct EpochRejected {
  Epoch epoch_seen = 0;
};
/// A planned stop was requested.
struct ReleaseRequested {};
/// Requests an immediate read of the row.
struct ReadRequested {};
struct LeaseTimerFired {};

using LeaseEvent =
    std::variant<RowRead, RowReadFailed, RowWritten, RowWriteConflict,
                 RowWriteFailed, RowWriteUnknown, HolderAnswered,
                 HolderTimedOut, HolderConnectionRefused, EpochRejected,
                 ReleaseRequested, ReadRequested, LeaseTimerFired>;

// Commands of a lease.

/// Reads the cell's row and its fence. The result is RowRead or RowReadFailed.
struct ReadRow {};
/// Writes `row` if its stored version is `row_version`. When `acquire` is set,
/// the same transaction writes the fence too.
struct WriteRow {
  HolderRow row;
  std::uint64_t row_version = 0;
  bool acquire = false;
};
struct QueryHolder {
  std::string endpoint;
  base::Incarnation holder;
};
/// This process holds the cell under this epoch. Writes of records are
/// conditional on the fence.
struct LeaseGranted {
  Epoch epoch = 0;
  std::uint64_t fence_version = 0;
  AcquireReason reason = AcquireReason::kFree;
  /// Empty if the cell had no previous holder.
  base::Incarnation previous_holder;
};
/// This process no longer holds the cell: it must discard the cell's state and
/// send nothing.
struct LeaseLost {
  std::string reason;
};
struct LeaseReleased {};

using LeaseCommand = std::variant<ReadRow, WriteRow, QueryHolder, LeaseGranted,
                                  LeaseLost, LeaseReleased>;

/// State machine for the lease of one cell in one process, as candidate and as
/// holder. It performs no I/O; each call passes the time of this process's
/// monotonic clock. A holder's lease starts before its write is sent and a
/// candidate's wait starts after its read completes, so two leases never
/// overlap while clock rates differ by less than `clock_drift_margin` per
/// `duration`. An early acquisition gives up this guarantee: two processes may
/// consider themselves holders for up to one lease duration, and only the fence
/// and the epochs at the workers exclude the old one.
class CellLease {
 public:
  CellLease(base::Incarnation self, std::string endpoint, LeaseTiming times);
  ~CellLease();
  CellLease(CellLease&&) noexcept;
  CellLease& operator=(CellLease&&) noexcept;

  /// Starts reading the row.
  std::vector<LeaseCommand> Begin(base::TimePoint now);

  std::vector<LeaseCommand> Handle(const LeaseEvent& event,
                                   base::TimePoint now);

  /// Time at which a LeaseTimerFired event is due.
  base::TimePoint wake_at() const;

  /// Whether the holder may act at `now`: its lease is valid, or each attempt
  /// to reach the table has failed, with less than a lease duration between
  /// failures. Check it after the work and before each send.
  bool MayAct(base::TimePoint now) const;

  /// Whether the lease is held without renewal because the table is
  /// unavailable.
  bool HoldsWithoutTable(base::TimePoint now) const;

  HolderState state(base::TimePoint now) const;
  Epoch epoch() const;
  /// The holder named in the row last read or written.
  const base::Incarnation& holder() const;
  /// Why this process last acquired the cell.
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
