#include "lifecycle/cell_lease.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace lapishatch::lifecycle {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

// Internal events of the state machine, derived from rows and time.
struct LeaseExpired {};
struct HolderSuspected {};
struct HolderUnresponsive {};
struct HolderAlive {};
struct CellAvailable {};
struct Acquired {};
struct AcquireFailed {};
struct Lost {};
struct StopRequested {};
struct RowReleased {};

enum class LeasePhase : std::uint8_t {
  kWatching,
  kQuerying,
  kAcquiring,
  kHolding,
  kReleasing,
  kReleased,
};

/// Data that the state machine's actions use.
struct LeaseContext {
  base::Incarnation self;
  std::string endpoint;
  LeaseTiming times;
  base::TimePoint now;
  base::TimePoint last_handled;
  base::TimePoint next_step;
  LeasePhase phase = LeasePhase::kWatching;

  // The row as last read or written.
  HolderRow row;
  std::uint64_t row_version = 0;
  std::uint64_t fence_version = 0;

  // Calls in progress; each completes exactly once.
  bool reading = false;
  bool writing = false;
  base::TimePoint read_sent;
  HolderRow written;
  base::TimePoint write_sent;

  // As candidate: the row has not changed since this time, without a failed
  // read.
  std::optional<base::TimePoint> unchanged_since;
  base::TimePoint last_successful_read;
  /// Row version whose holder reported that it cannot reach the table.
  std::uint64_t table_outage_version = 0;
  Epoch highest_epoch_seen = 0;
  HolderSuspicion suspicion = HolderSuspicion::kNone;
  /// Whether the holder is queried before its lease has expired.
  bool queried_early = false;
  /// The row has changed since the query was sent, so the holder is alive.
  bool changed_during_query = false;
  /// Row version whose holder did not respond to this process, and the earliest
  /// time of the next query.
  std::uint64_t timed_out_version = 0;
  base::TimePoint next_query_at;
  /// Time of the last change of holder without a release.
  std::optional<base::TimePoint> holder_changed_at;
  base::Duration early_acquire_pause{0};
  AcquireReason acquire_reason = AcquireReason::kFree;
  base::Incarnation previous_holder;

  // As holder.
  Epoch epoch = 0;
  base::TimePoint valid_until;
  /// Time of the last failed call to the table.
  std::optional<base::TimePoint> table_failed_at;
  bool release_requested = false;
  std::string lost_reason;

  std::vector<LeaseCommand> out;

  void Read() {
    if (reading) return;
    reading = true;
    read_sent = now;
    out.push_back(ReadRow{});
  }

  void WriteOwnRow(const base::Incarnation& holder, Epoch of, bool acquire) {
    written.holder = holder;
    written.endpoint = endpoint;
    written.epoch = of;
    written.attempt = base::AttemptId(base::MakeUniqueText("lease-"));
    writing = true;
    write_sent = now;
    out.push_back(WriteRow{written, row_version, acquire});
  }

  bool IsOurs(const HolderRow& it) const {
    return it.holder == self && it.epoch == epoch;
  }

  void RecordHolderChange() {
    const bool again =
        holder_changed_at &&
        now - *holder_changed_at < times.early_acquire_pause_limit * 2;
    early_acquire_pause = again ? std::min(early_acquire_pause * 2,
                                           times.early_acquire_pause_limit)
                                : times.early_acquire_pause;
    holder_changed_at = now;
  }

  bool MayAcquireEarly() const {
    return !holder_changed_at ||
           now - *holder_changed_at >= early_acquire_pause;
  }

  base::Duration ReadDelay() const {
    const bool read_often =
        suspicion != HolderSuspicion::kNone && MayAcquireEarly();
    return read_often
               ? std::min(times.suspect_read_interval, times.read_interval)
               : times.read_interval;
  }
};

struct EmitQuery {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    context.changed_during_query = false;
    context.out.push_back(
        QueryHolder{context.row.endpoint, context.row.holder});
  }
};

struct EmitAcquire {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    const auto highest =
        std::max(context.row.epoch, context.highest_epoch_seen);
    context.WriteOwnRow(context.self, highest + 1, true);
  }
};

struct EmitGranted {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    context.out.push_back(LeaseGranted{context.epoch, context.fence_version,
                                       context.acquire_reason,
                                       context.previous_holder});
  }
};

struct EmitLost {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    context.out.push_back(LeaseLost{context.lost_reason});
  }
};

struct EmitReleased {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    fsm.context->out.push_back(LeaseReleased{});
  }
};

/// Restarts a candidate's watch and discards its earlier observations.
struct RestartWatch {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event&, Fsm& fsm, From&, To&) {
    auto& context = *fsm.context;
    context.unchanged_since.reset();
    context.next_step = context.now + context.times.read_interval;
  }
};

struct LoseAndRestartWatch {
  template <typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& event, Fsm& fsm, From& from, To& to) {
    EmitLost()(event, fsm, from, to);
    RestartWatch()(event, fsm, from, to);
  }
};

template <LeasePhase kPhase>
struct InPhase : msm::front::state<> {
  template <typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    fsm.context->phase = kPhase;
  }
};

struct LeaseDef : msm::front::state_machine_def<LeaseDef> {
  using Watching = InPhase<LeasePhase::kWatching>;
  using Querying = InPhase<LeasePhase::kQuerying>;
  using Acquiring = InPhase<LeasePhase::kAcquiring>;
  using Holding = InPhase<LeasePhase::kHolding>;
  using Releasing = InPhase<LeasePhase::kReleasing>;
  using Released = InPhase<LeasePhase::kReleased>;
  using initial_state = Watching;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    Row<Watching,  CellAvailable,         Acquiring,    EmitAcquire,     none>,
    Row<Watching,  LeaseExpired, Querying,    EmitQuery,      none>,
    Row<Watching,  HolderSuspected,      Querying,    EmitQuery,      none>,
    Row<Watching,  StopRequested,    Released,  EmitReleased, none>,
    Row<Querying,    HolderUnresponsive,  Watching,  none,         none>,
    Row<Querying,    HolderAlive,  Watching,  RestartWatch,    none>,
    Row<Querying,    CellAvailable,         Acquiring,    EmitAcquire,     none>,
    Row<Querying,    StopRequested,    Released,  EmitReleased, none>,
    Row<Acquiring,    Acquired,         Holding,   EmitGranted,  none>,
    Row<Acquiring,    AcquireFailed,   Watching,  RestartWatch,    none>,
    Row<Holding,   Lost,         Watching,  LoseAndRestartWatch, none>,
    Row<Holding,   StopRequested,    Releasing, none,         none>,
    Row<Releasing, Lost,         Released,  EmitReleased, none>,
    Row<Releasing, RowReleased,        Released,  EmitReleased, none>
  > {};
  // clang-format on

  template <typename Event, typename Fsm>
  void no_transition(const Event&, Fsm&, int) {}

  LeaseContext* context = nullptr;
};

using Machine = msm::back::state_machine<LeaseDef>;

}  // namespace

struct CellLease::Impl {
  Impl(base::Incarnation self, std::string endpoint, LeaseTiming times) {
    context.self = std::move(self);
    context.endpoint = std::move(endpoint);
    context.times = times;
    machine.context = &context;
    machine.start();
  }

  template <typename Event>
  void Process(const Event& event) {
    machine.process_event(event);
  }

  bool Is(LeasePhase phase) const { return context.phase == phase; }

  void Lose(std::string reason) {
    context.lost_reason = std::move(reason);
    Process(Lost{});
  }

  void RecordTableFailure() {
    context.table_failed_at = context.now;
    context.unchanged_since.reset();
    context.next_step = context.now + context.times.read_interval;
  }

  // Each Apply records one event in the context and processes the resulting
  // internal events.

  void Apply(const RowRead& event) {
    context.reading = false;
    switch (context.phase) {
      case LeasePhase::kWatching:
        return Observe(event);
      case LeasePhase::kAcquiring:
        return ResolveAcquire(event);
      case LeasePhase::kHolding:
        return ResolveRenewal(event);
      case LeasePhase::kReleasing:
        return ResolveRelease(event);
      case LeasePhase::kQuerying:
        return ObserveDuringQuery(event);
      case LeasePhase::kReleased:
        return;
    }
  }

  void Apply(const RowReadFailed&) {
    context.reading = false;
    RecordTableFailure();
    const bool expired =
        context.now - context.write_sent > context.times.duration;
    if (Is(LeasePhase::kAcquiring) && expired) Process(AcquireFailed{});
  }

  void Apply(const RowWritten& event) {
    context.writing = false;
    context.table_failed_at.reset();
    switch (context.phase) {
      case LeasePhase::kAcquiring:
        context.row_version = event.row_version;
        context.fence_version = event.fence_version;
        return Grant();
      case LeasePhase::kHolding:
        context.row = context.written;
        context.row_version = event.row_version;
        return Renewed();
      case LeasePhase::kReleasing:
        // The result may be that of a renewal sent before the release.
        context.row_version = event.row_version;
        if (!context.written.holder.empty()) return WriteRelease();
        return Process(RowReleased{});
      case LeasePhase::kWatching:
      case LeasePhase::kQuerying:
      case LeasePhase::kReleased:
        return;
    }
  }

  void Apply(const RowWriteConflict&) {
    context.writing = false;
    if (Is(LeasePhase::kAcquiring)) return Process(AcquireFailed{});
    if (Is(LeasePhase::kHolding) || Is(LeasePhase::kReleasing)) context.Read();
  }

  void Apply(const RowWriteFailed&) {
    context.writing = false;
    RecordTableFailure();
    if (Is(LeasePhase::kAcquiring)) Process(AcquireFailed{});
  }

  void Apply(const RowWriteUnknown&) {
    context.writing = false;
    RecordTableFailure();
    if (Is(LeasePhase::kWatching) || Is(LeasePhase::kQuerying)) return;
    context.Read();
  }

  void Apply(const HolderAnswered& event) {
    if (!Is(LeasePhase::kQuerying)) return;
    switch (event.state) {
      case HolderState::kHolding:
        return Process(HolderAlive{});
      case HolderState::kNotHolding:
        return AcquireAfterQuery(AcquireReason::kNotHolding);
      case HolderState::kHoldingWithoutTable:
        if (context.queried_early) return Process(HolderAlive{});
        // The holder renews first once the table is available again. If the row
        // is still unchanged after another lease duration, only the holder's
        // own connection to the table has failed.
        if (context.table_outage_version == context.row_version) {
          return AcquireAfterQuery(AcquireReason::kExpired);
        }
        context.table_outage_version = context.row_version;
        return Process(HolderAlive{});
    }
  }

  void Apply(const HolderTimedOut&) {
    if (!Is(LeasePhase::kQuerying)) return;
    if (context.changed_during_query) return Process(HolderAlive{});
    if (!context.queried_early) {
      return AcquireAfterQuery(AcquireReason::kExpired);
    }
    context.timed_out_version = context.row_version;
    context.next_query_at = context.now + context.times.read_interval;
    Process(HolderUnresponsive{});
    context.Read();
  }

  void Apply(const HolderConnectionRefused&) {
    if (Is(LeasePhase::kQuerying)) {
      AcquireAfterQuery(AcquireReason::kConnectionRefused);
    }
  }

  void Apply(const EpochRejected& event) {
    context.highest_epoch_seen =
        std::max(context.highest_epoch_seen, event.epoch_seen);
    if (Is(LeasePhase::kHolding)) Lose("a later owner has been seen");
  }

  void Apply(const ReleaseRequested&) {
    context.release_requested = true;
    Process(StopRequested{});
    if (Is(LeasePhase::kReleasing) && !context.writing) WriteRelease();
  }

  void Apply(const ReadRequested&) {
    if (Is(LeasePhase::kWatching)) context.Read();
  }

  void Apply(const LeaseTimerFired&) {
    if (context.now < context.next_step) return;
    context.next_step = context.now + context.ReadDelay();
    if (context.reading || context.writing) return;
    switch (context.phase) {
      case LeasePhase::kWatching:
      case LeasePhase::kQuerying:
      case LeasePhase::kAcquiring:
        return context.Read();
      case LeasePhase::kHolding:
        return context.WriteOwnRow(context.self, context.epoch, false);
      case LeasePhase::kReleasing:
        return WriteRelease();
      case LeasePhase::kReleased:
        return;
    }
  }

  /// Handles a row read by a candidate.
  void Observe(const RowRead& event) {
    if (event.row_version != context.row_version) {
      context.unchanged_since.reset();
    }
    RecordSuccessfulRead();
    const auto row = event.row.value_or(HolderRow());
    const bool holder_changed = !context.row.holder.empty() &&
                                !row.holder.empty() &&
                                context.row.holder != row.holder;
    if (holder_changed) context.RecordHolderChange();
    context.row = row;
    context.row_version = event.row_version;
    context.suspicion = event.suspicion;
    if (context.writing) return;
    const auto& holder = context.row.holder;
    if (holder.empty() || holder == context.self) {
      return Acquire(AcquireReason::kFree);
    }
    // The row was unchanged at least until the read was sent.
    const auto unchanged_for = context.read_sent - *context.unchanged_since;
    if (unchanged_for >=
        context.times.duration + context.times.clock_drift_margin) {
      context.queried_early = false;
      return Process(LeaseExpired{});
    }
    HandleSuspicion(unchanged_for);
  }

  /// Reads of the row continue during a query. An unresponsive holder takes up
  /// to 1.5 s to detect; without these reads each query left a gap in the
  /// watch, and with a lease of 2 s the wait restarted forever.
  void ObserveDuringQuery(const RowRead& event) {
    if (event.row_version != context.row_version) {
      context.changed_during_query = true;
      return;
    }
    RecordSuccessfulRead();
  }

  /// A candidate that has not read the row for half a lease duration restarts
  /// its watch.
  void RecordSuccessfulRead() {
    const bool gap =
        context.now - context.last_successful_read > context.times.duration / 2;
    if (gap || !context.unchanged_since) context.unchanged_since = context.now;
    context.last_successful_read = context.now;
  }

  /// A suspected holder is queried; its response, or the row if there is none,
  /// decides whether the cell is acquired.
  void HandleSuspicion(base::Duration unchanged_for) {
    if (context.suspicion == HolderSuspicion::kNone ||
        !context.MayAcquireEarly()) {
      return;
    }
    context.next_step =
        std::min(context.next_step, context.now + context.ReadDelay());
    const bool had_timed_out = context.timed_out_version == context.row_version;
    if (had_timed_out && context.suspicion == HolderSuspicion::kDead &&
        unchanged_for >= context.times.unresponsive_after) {
      return Acquire(AcquireReason::kHolderTimedOut);
    }
    if (had_timed_out && context.now < context.next_query_at) return;
    context.queried_early = true;
    Process(HolderSuspected{});
  }

  void Acquire(AcquireReason reason) {
    context.acquire_reason = reason;
    context.previous_holder = context.row.holder;
    Process(CellAvailable{});
  }

  /// Uses `reason` only if the lease had not expired before the query.
  void AcquireAfterQuery(AcquireReason reason) {
    if (context.changed_during_query) return Process(HolderAlive{});
    Acquire(context.queried_early ? reason : AcquireReason::kExpired);
  }

  void ResolveAcquire(const RowRead& event) {
    const bool is_ours =
        event.row && event.row->attempt == context.written.attempt;
    if (!is_ours) {
      Process(AcquireFailed{});
      return;
    }
    context.row_version = event.row_version;
    context.fence_version = event.fence_version;
    context.table_failed_at.reset();
    Grant();
  }

  void Grant() {
    if (!context.row.holder.empty() && context.row.holder != context.self) {
      context.RecordHolderChange();
    }
    context.row = context.written;
    context.epoch = context.written.epoch;
    context.valid_until = context.write_sent + context.times.duration;
    if (context.now >= context.valid_until) return Process(AcquireFailed{});
    context.next_step = context.write_sent + context.times.renew_interval;
    Process(Acquired{});
    if (!context.release_requested) return;
    Process(StopRequested{});
    WriteRelease();
  }

  void Renewed() {
    context.valid_until = context.write_sent + context.times.duration;
    context.table_failed_at.reset();
    context.next_step = context.write_sent + context.times.renew_interval;
  }

  void ResolveRenewal(const RowRead& event) {
    if (!event.row || !context.IsOurs(*event.row)) {
      return Lose("another process has taken the cell");
    }
    context.row_version = event.row_version;
    if (event.row->attempt == context.written.attempt) return Renewed();
    context.WriteOwnRow(context.self, context.epoch, false);
  }

  void ResolveRelease(const RowRead& event) {
    if (!event.row || !context.IsOurs(*event.row)) {
      return Process(RowReleased{});
    }
    context.row_version = event.row_version;
    WriteRelease();
  }

  void WriteRelease() {
    context.WriteOwnRow(base::Incarnation(), context.epoch, false);
  }

  bool MayAct(base::TimePoint now) const {
    if (!Is(LeasePhase::kHolding)) return false;
    if (now - context.last_handled > context.times.duration) return false;
    if (now < context.valid_until) return true;
    return context.table_failed_at &&
           now - *context.table_failed_at <= context.times.duration;
  }

  /// Runs before each event, so that a holder that was paused, or whose calls
  /// hang, detects the expiry first.
  void CheckExpiry() {
    const bool holding = Is(LeasePhase::kHolding);
    if (holding && !MayAct(context.now)) return Lose("the lease has lapsed");
    const bool releasing = Is(LeasePhase::kReleasing);
    if (releasing && context.now >= context.valid_until) Process(RowReleased{});
  }

  std::vector<LeaseCommand> Handle(const LeaseEvent& event,
                                   base::TimePoint now) {
    context.now = now;
    CheckExpiry();
    context.last_handled = now;
    std::visit([this](const auto& it) { Apply(it); }, event);
    return std::exchange(context.out, {});
  }

  LeaseContext context;
  Machine machine;
};

CellLease::CellLease(base::Incarnation self, std::string endpoint,
                     LeaseTiming times)
    : impl_(std::make_unique<Impl>(std::move(self), std::move(endpoint),
                                   times)) {}
CellLease::~CellLease() = default;
CellLease::CellLease(CellLease&&) noexcept = default;
CellLease& CellLease::operator=(CellLease&&) noexcept = default;

std::vector<LeaseCommand> CellLease::Begin(base::TimePoint now) {
  impl_->context.next_step = now;
  return impl_->Handle(LeaseTimerFired{}, now);
}

std::vector<LeaseCommand> CellLease::Handle(const LeaseEvent& event,
                                            base::TimePoint now) {
  return impl_->Handle(event, now);
}

base::TimePoint CellLease::wake_at() const { return impl_->context.next_step; }

bool CellLease::MayAct(base::TimePoint now) const { return impl_->MayAct(now); }

bool CellLease::HoldsWithoutTable(base::TimePoint now) const {
  return impl_->MayAct(now) && impl_->context.table_failed_at.has_value();
}

HolderState CellLease::state(base::TimePoint now) const {
  if (!impl_->MayAct(now)) return HolderState::kNotHolding;
  return HoldsWithoutTable(now) ? HolderState::kHoldingWithoutTable
                                : HolderState::kHolding;
}

Epoch CellLease::epoch() const { return impl_->context.epoch; }

const base::Incarnation& CellLease::holder() const {
  return impl_->context.row.holder;
}

AcquireReason CellLease::acquire_reason() const {
  return impl_->context.acquire_reason;
}

}  // namespace lapishatch::lifecycle
