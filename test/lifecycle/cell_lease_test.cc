#include <catch2/catch.hpp>

#include "lifecycle/lifecycle.h"

namespace lapishatch::lifecycle {
namespace {

using base::Duration;

const base::Incarnation kSelf("self");
const base::Incarnation kOther("other");

template <typename Command>
const Command* Find(const std::vector<LeaseCommand>& commands) {
  for (const auto& it : commands) {
    if (const auto* found = std::get_if<Command>(&it)) return found;
  }
  return nullptr;
}

/// A lease with a clock that the test advances.
struct Fixture {
  CellLease lease{kSelf, "10.0.0.1:1", LeaseTiming()};
  LeaseTiming timing;
  base::TimePoint now{Duration(100'000)};
  std::uint64_t version = 0;

  std::vector<LeaseCommand> Handle(const LeaseEvent& event) {
    return lease.Handle(event, now);
  }

  /// Advances the clock to the next timer and fires it.
  std::vector<LeaseCommand> FireNextTimer() {
    now = std::max(now, lease.wake_at());
    return Handle(LeaseTimerFired{});
  }

  RowRead RowHeldBy(const base::Incarnation& holder,
                    std::uint64_t row_version) const {
    RowRead read;
    read.row = HolderRow{holder, "10.0.0.2:1", 7, base::AttemptId("a")};
    read.row_version = row_version;
    return read;
  }

  /// Acquires a cell that has no row.
  void Acquire() {
    REQUIRE(Find<ReadRow>(lease.Begin(now)));
    const auto out = Handle(RowRead{});
    REQUIRE(Find<WriteRow>(out));
    REQUIRE(Find<WriteRow>(out)->acquire);
    version = 1;
    const auto granted = Handle(RowWritten{1, 1});
    REQUIRE(Find<LeaseGranted>(granted));
  }

  /// Reads the same row of another holder until the candidate emits commands,
  /// which are stored in `commands`. Returns the elapsed time.
  Duration PollUnchangedRow(std::vector<LeaseCommand>* commands) {
    const auto start = now;
    for (int i = 0; i < 100; ++i) {
      *commands = Handle(RowHeldBy(kOther, 5));
      if (!commands->empty()) break;
      REQUIRE(Find<ReadRow>(FireNextTimer()));
    }
    return std::chrono::duration_cast<Duration>(now - start);
  }
};

TEST_CASE("a free cell is acquired with the next epoch") {
  Fixture it;
  REQUIRE(Find<ReadRow>(it.lease.Begin(it.now)));
  auto row = it.RowHeldBy(base::Incarnation(), 4);
  const auto out = it.Handle(row);
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.epoch == 8);
  CHECK(Find<WriteRow>(out)->row_version == 4);
}

TEST_CASE("a candidate waits for a whole lease, then queries the holder") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  const auto waited = it.PollUnchangedRow(&out);
  CHECK(waited >= it.timing.duration + it.timing.clock_drift_margin);
  REQUIRE(Find<QueryHolder>(out));
  CHECK(Find<QueryHolder>(out)->holder == kOther);
  CHECK(Find<WriteRow>(it.Handle(HolderTimedOut{})));
}

TEST_CASE("a holder that responds keeps the cell") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  it.PollUnchangedRow(&out);
  REQUIRE(Find<QueryHolder>(out));
  CHECK(it.Handle(HolderAnswered{HolderState::kHolding}).empty());
  REQUIRE(Find<ReadRow>(it.FireNextTimer()));
  CHECK(it.PollUnchangedRow(&out) >= it.timing.duration);
}

TEST_CASE(
    "a holder that responds but cannot reach the table keeps the cell for one "
    "more lease") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  it.PollUnchangedRow(&out);
  CHECK(it.Handle(HolderAnswered{HolderState::kHoldingWithoutTable}).empty());
  REQUIRE(Find<ReadRow>(it.FireNextTimer()));
  it.PollUnchangedRow(&out);
  REQUIRE(Find<QueryHolder>(out));
  const auto second =
      it.Handle(HolderAnswered{HolderState::kHoldingWithoutTable});
  CHECK(Find<WriteRow>(second));
}

TEST_CASE("a failed read restarts the wait") {
  Fixture it;
  it.lease.Begin(it.now);
  for (int i = 0; i < 4; ++i) {
    it.Handle(it.RowHeldBy(kOther, 5));
    REQUIRE(Find<ReadRow>(it.FireNextTimer()));
  }
  it.Handle(RowReadFailed{});
  REQUIRE(Find<ReadRow>(it.FireNextTimer()));
  std::vector<LeaseCommand> out;
  CHECK(it.PollUnchangedRow(&out) >=
        it.timing.duration + it.timing.clock_drift_margin);
}

TEST_CASE("a candidate that was paused restarts the wait") {
  Fixture it;
  it.lease.Begin(it.now);
  it.Handle(it.RowHeldBy(kOther, 5));
  it.now += it.timing.duration * 3;
  REQUIRE(Find<ReadRow>(it.Handle(LeaseTimerFired{})));
  CHECK(it.Handle(it.RowHeldBy(kOther, 5)).empty());
}

TEST_CASE("a renewal between the query and the acquisition keeps the cell") {
  Fixture it;
  it.lease.Begin(it.now);
  auto row = it.RowHeldBy(kOther, 5);
  row.suspicion = HolderSuspicion::kSuspect;
  REQUIRE(Find<QueryHolder>(it.Handle(row)));
  const auto acquisition = it.Handle(HolderConnectionRefused{});
  REQUIRE(Find<WriteRow>(acquisition));
  CHECK(Find<WriteRow>(acquisition)->row_version == 5);
  CHECK(it.Handle(RowWriteConflict{}).empty());
  CHECK(it.lease.wake_at() - it.now == it.timing.read_interval);
  REQUIRE(Find<ReadRow>(it.FireNextTimer()));
}

TEST_CASE("an unresponsive suspect does not delay the expiry of the lease") {
  Fixture it;
  it.lease.Begin(it.now);
  const auto start = it.now;
  auto row = it.RowHeldBy(kOther, 5);
  row.suspicion = HolderSuspicion::kSuspect;
  auto out = it.Handle(row);
  while (!Find<WriteRow>(out)) {
    REQUIRE(it.now - start < it.timing.duration * 2);
    if (Find<QueryHolder>(out)) {
      it.now += Duration(500);
      out = it.Handle(HolderTimedOut{});
    } else if (Find<ReadRow>(out)) {
      out = it.Handle(row);
    } else {
      out = it.FireNextTimer();
    }
  }
  const auto expiry = it.timing.duration + it.timing.clock_drift_margin;
  CHECK(it.now - start >= expiry);
  CHECK(it.now - start <= expiry + it.timing.read_interval);
  const auto granted = it.Handle(RowWritten{6, 2});
  REQUIRE(Find<LeaseGranted>(granted));
  CHECK(Find<LeaseGranted>(granted)->reason == AcquireReason::kExpired);
}

/// A candidate with a short lease whose query of a holder that is considered
/// dead times out only after more than half the lease.
struct SlowQueryFixture : Fixture {
  static constexpr Duration kQueryDuration{1'500};

  SlowQueryFixture() {
    timing.duration = Duration(2'000);
    timing.clock_drift_margin = Duration(300);
    timing.read_interval = Duration(300);
    lease = CellLease(kSelf, "10.0.0.1:1", timing);
    lease.Begin(now);
  }

  RowRead RowOfDeadHolder(std::uint64_t row_version) const {
    auto row = RowHeldBy(kOther, row_version);
    row.suspicion = HolderSuspicion::kDead;
    return row;
  }

  /// Advances the clock until the query times out. Reads that are due before
  /// then return the row with version `row_version`.
  std::vector<LeaseCommand> TimeOutQuery(std::uint64_t row_version) {
    const auto end = now + kQueryDuration;
    while (lease.wake_at() < end) {
      if (Find<ReadRow>(FireNextTimer())) Handle(RowOfDeadHolder(row_version));
    }
    now = end;
    return Handle(HolderTimedOut{});
  }
};

TEST_CASE("a query that ends late does not delay the expiry of the lease") {
  SlowQueryFixture it;
  const auto start = it.now;
  auto out = it.Handle(it.RowOfDeadHolder(5));
  while (!Find<WriteRow>(out)) {
    REQUIRE(it.now - start < it.timing.duration * 3);
    if (Find<QueryHolder>(out)) {
      out = it.TimeOutQuery(5);
    } else if (Find<ReadRow>(out)) {
      out = it.Handle(it.RowOfDeadHolder(5));
    } else {
      out = it.FireNextTimer();
    }
  }
  CHECK(it.now - start >= it.timing.duration + it.timing.clock_drift_margin);
}

TEST_CASE("a renewal while the holder is queried keeps the cell") {
  SlowQueryFixture it;
  auto out = it.Handle(it.RowOfDeadHolder(5));
  const auto start = it.now;
  std::uint64_t version = 5;
  // The holder renews without responding, so the row changes during each query.
  while (it.now - start < it.timing.duration * 5) {
    REQUIRE_FALSE(Find<WriteRow>(out));
    if (Find<QueryHolder>(out)) {
      out = it.TimeOutQuery(++version);
    } else if (Find<ReadRow>(out)) {
      out = it.Handle(it.RowOfDeadHolder(version));
    } else {
      out = it.FireNextTimer();
    }
  }
}

TEST_CASE("a holder renews in time and may act") {
  Fixture it;
  it.Acquire();
  for (int i = 0; i < 10; ++i) {
    const auto out = it.FireNextTimer();
    REQUIRE(Find<WriteRow>(out));
    CHECK_FALSE(Find<WriteRow>(out)->acquire);
    CHECK(Find<WriteRow>(out)->row_version == it.version);
    it.Handle(RowWritten{++it.version, 0});
    CHECK(it.lease.MayAct(it.now));
  }
}

TEST_CASE("a holder that was paused past its lease may not act") {
  Fixture it;
  it.Acquire();
  it.now += it.timing.duration + Duration(1);
  CHECK_FALSE(it.lease.MayAct(it.now));
  // The loss is reported when the next event is handled.
  CHECK(Find<LeaseLost>(it.Handle(RowWriteUnknown{})));
  CHECK(it.lease.state(it.now) == HolderState::kNotHolding);
}

TEST_CASE("a holder may act while its calls to the table keep failing") {
  Fixture it;
  it.Acquire();
  for (int i = 0; i < 100; ++i) {
    REQUIRE(Find<WriteRow>(it.FireNextTimer()));
    CHECK(it.Handle(RowWriteFailed{}).empty());
    CHECK(it.lease.MayAct(it.now));
    CHECK(it.lease.state(it.now) == HolderState::kHoldingWithoutTable);
  }
  // A pause of the process longer than the lease ends the permission to act.
  it.now += it.timing.duration + Duration(1);
  CHECK_FALSE(it.lease.MayAct(it.now));
}

TEST_CASE("a renewal with unknown outcome is read back") {
  Fixture it;
  it.Acquire();
  const auto renewal = it.FireNextTimer();
  REQUIRE(Find<WriteRow>(renewal));
  REQUIRE(Find<ReadRow>(it.Handle(RowWriteUnknown{})));
  RowRead read;
  read.row = Find<WriteRow>(renewal)->row;
  read.row_version = 2;
  SECTION("it took effect") {
    CHECK(it.Handle(read).empty());
    CHECK(it.lease.state(it.now) == HolderState::kHolding);
  }
  SECTION("it had no effect and is written again") {
    read.row->attempt = base::AttemptId("earlier");
    const auto retry = it.Handle(read);
    REQUIRE(Find<WriteRow>(retry));
    CHECK(Find<WriteRow>(retry)->row_version == 2);
  }
  SECTION("another process has taken the cell") {
    read.row->holder = kOther;
    CHECK(Find<LeaseLost>(it.Handle(read)));
  }
}

TEST_CASE(
    "an acquisition with unknown outcome is read back and never assumed") {
  Fixture it;
  it.lease.Begin(it.now);
  const auto acquisition = it.Handle(RowRead{});
  REQUIRE(Find<WriteRow>(acquisition));
  REQUIRE(Find<ReadRow>(it.Handle(RowWriteUnknown{})));
  RowRead read;
  read.row = Find<WriteRow>(acquisition)->row;
  read.row_version = 1;
  read.fence_version = 3;
  SECTION("it took effect") {
    const auto out = it.Handle(read);
    REQUIRE(Find<LeaseGranted>(out));
    CHECK(Find<LeaseGranted>(out)->fence_version == 3);
  }
  SECTION("it had no effect") {
    read.row.reset();
    CHECK_FALSE(Find<LeaseGranted>(it.Handle(read)));
    CHECK_FALSE(it.lease.MayAct(it.now));
  }
}

TEST_CASE(
    "a rejected epoch ends the lease, and the next acquisition uses a higher "
    "epoch") {
  Fixture it;
  it.Acquire();
  CHECK(Find<LeaseLost>(it.Handle(EpochRejected{20})));
  REQUIRE(Find<ReadRow>(it.FireNextTimer()));
  const auto out = it.Handle(it.RowHeldBy(base::Incarnation(), 9));
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.epoch == 21);
}

TEST_CASE("a planned stop clears the holder in the row") {
  Fixture it;
  it.Acquire();
  const auto out = it.Handle(ReleaseRequested{});
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.holder.empty());
  CHECK_FALSE(it.lease.MayAct(it.now));
  CHECK(Find<LeaseReleased>(it.Handle(RowWritten{2, 0})));
}

TEST_CASE("a planned stop waits for the renewal in progress") {
  Fixture it;
  it.Acquire();
  REQUIRE(Find<WriteRow>(it.FireNextTimer()));
  CHECK(it.Handle(ReleaseRequested{}).empty());
  const auto out = it.Handle(RowWritten{2, 0});
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.holder.empty());
  CHECK(Find<WriteRow>(out)->row_version == 2);
}

}  // namespace
}  // namespace lapishatch::lifecycle
