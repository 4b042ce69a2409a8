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

/// A lease with a test clock.
struct Fixture {
  CellLease lease{kSelf, "10.0.0.1:1", LeaseTiming()};
  LeaseTiming times;
  base::TimePoint now{Duration(100'000)};
  std::uint64_t version = 0;

  std::vector<LeaseCommand> Tell(const LeaseEvent& event) {
    return lease.Handle(event, now);
  }

  /// Advances the clock to the next timer and fires it.
  std::vector<LeaseCommand> Wake() {
    now = std::max(now, lease.wake_at());
    return Tell(LeaseTimerFired{});
  }

  RowRead RowOf(const base::Incarnation& holder, std::uint64_t at) const {
    RowRead read;
    read.row = HolderRow{holder, "10.0.0.2:1", 7, base::AttemptId("a")};
    read.row_version = at;
    return read;
  }

  /// Acquires a cell that has no row.
  void Take() {
    REQUIRE(Find<ReadRow>(lease.Begin(now)));
    const auto out = Tell(RowRead{});
    REQUIRE(Find<WriteRow>(out));
    REQUIRE(Find<WriteRow>(out)->acquire);
    version = 1;
    const auto granted = Tell(RowWritten{1, 1});
    REQUIRE(Find<LeaseGranted>(granted));
  }

  /// Reads the same row of another holder until the candidate emits a command;
  /// returns the time until then.
  Duration WatchUnchanged(std::vector<LeaseCommand>* last) {
    const auto from = now;
    for (int i = 0; i < 100; ++i) {
      *last = Tell(RowOf(kOther, 5));
      if (!last->empty()) break;
      REQUIRE(Find<ReadRow>(Wake()));
    }
    return std::chrono::duration_cast<Duration>(now - from);
  }
};

TEST_CASE("a free cell is acquired with the next epoch") {
  Fixture it;
  REQUIRE(Find<ReadRow>(it.lease.Begin(it.now)));
  auto row = it.RowOf(base::Incarnation(), 4);
  const auto out = it.Tell(row);
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.epoch == 8);
  CHECK(Find<WriteRow>(out)->row_version == 4);
}

TEST_CASE("a candidate waits for a whole lease, then queries the holder") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  const auto waited = it.WatchUnchanged(&out);
  CHECK(waited >= it.times.duration + it.times.clock_drift_margin);
  REQUIRE(Find<QueryHolder>(out));
  CHECK(Find<QueryHolder>(out)->holder == kOther);
  CHECK(Find<WriteRow>(it.Tell(HolderTimedOut{})));
}

TEST_CASE("a holder that responds keeps the cell") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  it.WatchUnchanged(&out);
  REQUIRE(Find<QueryHolder>(out));
  CHECK(it.Tell(HolderAnswered{HolderState::kHolding}).empty());
  REQUIRE(Find<ReadRow>(it.Wake()));
  CHECK(it.WatchUnchanged(&out) >= it.times.duration);
}

TEST_CASE(
    "a holder that only lost the table keeps the cell for one more lease") {
  Fixture it;
  it.lease.Begin(it.now);
  std::vector<LeaseCommand> out;
  it.WatchUnchanged(&out);
  CHECK(it.Tell(HolderAnswered{HolderState::kHoldingWithoutTable}).empty());
  REQUIRE(Find<ReadRow>(it.Wake()));
  it.WatchUnchanged(&out);
  REQUIRE(Find<QueryHolder>(out));
  const auto second =
      it.Tell(HolderAnswered{HolderState::kHoldingWithoutTable});
  CHECK(Find<WriteRow>(second));
}

TEST_CASE("a failed read restarts the wait") {
  Fixture it;
  it.lease.Begin(it.now);
  for (int i = 0; i < 4; ++i) {
    it.Tell(it.RowOf(kOther, 5));
    REQUIRE(Find<ReadRow>(it.Wake()));
  }
  it.Tell(RowReadFailed{});
  REQUIRE(Find<ReadRow>(it.Wake()));
  std::vector<LeaseCommand> out;
  CHECK(it.WatchUnchanged(&out) >=
        it.times.duration + it.times.clock_drift_margin);
}

TEST_CASE("a candidate that was paused restarts the wait") {
  Fixture it;
  it.lease.Begin(it.now);
  it.Tell(it.RowOf(kOther, 5));
  it.now += it.times.duration * 3;
  REQUIRE(Find<ReadRow>(it.Tell(LeaseTimerFired{})));
  CHECK(it.Tell(it.RowOf(kOther, 5)).empty());
}

TEST_CASE("a renewal between the query and the acquisition keeps the cell") {
  Fixture it;
  it.lease.Begin(it.now);
  auto row = it.RowOf(kOther, 5);
  row.suspicion = HolderSuspicion::kSuspect;
  REQUIRE(Find<QueryHolder>(it.Tell(row)));
  const auto take = it.Tell(HolderConnectionRefused{});
  REQUIRE(Find<WriteRow>(take));
  CHECK(Find<WriteRow>(take)->row_version == 5);
  CHECK(it.Tell(RowWriteConflict{}).empty());
  CHECK(it.lease.wake_at() - it.now == it.times.read_interval);
  REQUIRE(Find<ReadRow>(it.Wake()));
}

TEST_CASE("an unresponsive suspect does not delay the expiry of the lease") {
  Fixture it;
  it.lease.Begin(it.now);
  const auto from = it.now;
  auto row = it.RowOf(kOther, 5);
  row.suspicion = HolderSuspicion::kSuspect;
  auto out = it.Tell(row);
  while (!Find<WriteRow>(out)) {
    REQUIRE(it.now - from < it.times.duration * 2);
    if (Find<QueryHolder>(out)) {
      it.now += Duration(500);
      out = it.Tell(HolderTimedOut{});
    } else if (Find<ReadRow>(out)) {
      out = it.Tell(row);
    } else {
      out = it.Wake();
    }
  }
  const auto lapse = it.times.duration + it.times.clock_drift_margin;
  CHECK(it.now - from >= lapse);
  CHECK(it.now - from <= lapse + it.times.read_interval);
  const auto granted = it.Tell(RowWritten{6, 2});
  REQUIRE(Find<LeaseGranted>(granted));
  CHECK(Find<LeaseGranted>(granted)->reason == AcquireReason::kExpired);
}

/// A candidate with a short lease that queries a suspected holder; the query
/// takes more than half the lease to time out.
struct SlowAskFixture : Fixture {
  static constexpr Duration kSilence{1'500};

  SlowAskFixture() {
    times.duration = Duration(2'000);
    times.clock_drift_margin = Duration(300);
    times.read_interval = Duration(300);
    lease = CellLease(kSelf, "10.0.0.1:1", times);
    lease.Begin(now);
  }

  RowRead Doubted(std::uint64_t at) const {
    auto row = RowOf(kOther, at);
    row.suspicion = HolderSuspicion::kDead;
    return row;
  }

  /// Lets the query time out while the row is read on schedule; `at` is the
  /// row's version.
  std::vector<LeaseCommand> StaySilent(std::uint64_t at) {
    const auto end = now + kSilence;
    while (lease.wake_at() < end) {
      if (Find<ReadRow>(Wake())) Tell(Doubted(at));
    }
    now = end;
    return Tell(HolderTimedOut{});
  }
};

TEST_CASE("a query that ends late does not delay the expiry of the lease") {
  SlowAskFixture it;
  const auto from = it.now;
  auto out = it.Tell(it.Doubted(5));
  while (!Find<WriteRow>(out)) {
    REQUIRE(it.now - from < it.times.duration * 3);
    if (Find<QueryHolder>(out)) {
      out = it.StaySilent(5);
    } else if (Find<ReadRow>(out)) {
      out = it.Tell(it.Doubted(5));
    } else {
      out = it.Wake();
    }
  }
  CHECK(it.now - from >= it.times.duration + it.times.clock_drift_margin);
}

TEST_CASE("a renewal while the holder is queried keeps the cell") {
  SlowAskFixture it;
  auto out = it.Tell(it.Doubted(5));
  const auto from = it.now;
  std::uint64_t version = 5;
  // The holder renews without responding, so each query sees a new version.
  while (it.now - from < it.times.duration * 5) {
    REQUIRE_FALSE(Find<WriteRow>(out));
    if (Find<QueryHolder>(out)) {
      out = it.StaySilent(++version);
    } else if (Find<ReadRow>(out)) {
      out = it.Tell(it.Doubted(version));
    } else {
      out = it.Wake();
    }
  }
}

TEST_CASE("a holder renews in time and may act") {
  Fixture it;
  it.Take();
  for (int i = 0; i < 10; ++i) {
    const auto out = it.Wake();
    REQUIRE(Find<WriteRow>(out));
    CHECK_FALSE(Find<WriteRow>(out)->acquire);
    CHECK(Find<WriteRow>(out)->row_version == it.version);
    it.Tell(RowWritten{++it.version, 0});
    CHECK(it.lease.MayAct(it.now));
  }
}

TEST_CASE("a holder that was paused past its lease may not act") {
  Fixture it;
  it.Take();
  it.now += it.times.duration + Duration(1);
  CHECK_FALSE(it.lease.MayAct(it.now));
  // Any event reports the loss.
  CHECK(Find<LeaseLost>(it.Tell(RowWriteUnknown{})));
  CHECK(it.lease.state(it.now) == HolderState::kNotHolding);
}

TEST_CASE("a holder may act while its calls to the table keep failing") {
  Fixture it;
  it.Take();
  for (int i = 0; i < 100; ++i) {
    REQUIRE(Find<WriteRow>(it.Wake()));
    CHECK(it.Tell(RowWriteFailed{}).empty());
    CHECK(it.lease.MayAct(it.now));
    CHECK(it.lease.state(it.now) == HolderState::kHoldingWithoutTable);
  }
  // A pause longer than the lease ends this.
  it.now += it.times.duration + Duration(1);
  CHECK_FALSE(it.lease.MayAct(it.now));
}

TEST_CASE("a renewal with unknown outcome is read back") {
  Fixture it;
  it.Take();
  const auto renewal = it.Wake();
  REQUIRE(Find<WriteRow>(renewal));
  REQUIRE(Find<ReadRow>(it.Tell(RowWriteUnknown{})));
  RowRead read;
  read.row = Find<WriteRow>(renewal)->row;
  read.row_version = 2;
  SECTION("it took effect") {
    CHECK(it.Tell(read).empty());
    CHECK(it.lease.state(it.now) == HolderState::kHolding);
  }
  SECTION("it did not: it is written again") {
    read.row->attempt = base::AttemptId("earlier");
    const auto again = it.Tell(read);
    REQUIRE(Find<WriteRow>(again));
    CHECK(Find<WriteRow>(again)->row_version == 2);
  }
  SECTION("another process has taken the cell") {
    read.row->holder = kOther;
    CHECK(Find<LeaseLost>(it.Tell(read)));
  }
}

TEST_CASE("an acquisition with unknown outcome is read back") {
  Fixture it;
  it.lease.Begin(it.now);
  const auto take = it.Tell(RowRead{});
  REQUIRE(Find<WriteRow>(take));
  REQUIRE(Find<ReadRow>(it.Tell(RowWriteUnknown{})));
  RowRead read;
  read.row = Find<WriteRow>(take)->row;
  read.row_version = 1;
  read.fence_version = 3;
  SECTION("it took effect") {
    const auto out = it.Tell(read);
    REQUIRE(Find<LeaseGranted>(out));
    CHECK(Find<LeaseGranted>(out)->fence_version == 3);
  }
  SECTION("it had no effect") {
    read.row.reset();
    CHECK_FALSE(Find<LeaseGranted>(it.Tell(read)));
    CHECK_FALSE(it.lease.MayAct(it.now));
  }
}

TEST_CASE(
    "a rejected epoch ends the lease, and the next acquisition exceeds it") {
  Fixture it;
  it.Take();
  CHECK(Find<LeaseLost>(it.Tell(EpochRejected{20})));
  REQUIRE(Find<ReadRow>(it.Wake()));
  const auto out = it.Tell(it.RowOf(base::Incarnation(), 9));
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.epoch == 21);
}

TEST_CASE("a planned stop clears the holder in the row") {
  Fixture it;
  it.Take();
  const auto out = it.Tell(ReleaseRequested{});
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.holder.empty());
  CHECK_FALSE(it.lease.MayAct(it.now));
  CHECK(Find<LeaseReleased>(it.Tell(RowWritten{2, 0})));
}

TEST_CASE("a planned stop waits for the renewal in progress") {
  Fixture it;
  it.Take();
  REQUIRE(Find<WriteRow>(it.Wake()));
  CHECK(it.Tell(ReleaseRequested{}).empty());
  const auto out = it.Tell(RowWritten{2, 0});
  REQUIRE(Find<WriteRow>(out));
  CHECK(Find<WriteRow>(out)->row.holder.empty());
  CHECK(Find<WriteRow>(out)->row_version == 2);
}

}  // namespace
}  // namespace lapishatch::lifecycle
