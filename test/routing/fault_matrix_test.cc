#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_entries.h"

namespace lapishatch::routing {
namespace {

using fakes::RunnerFault;
using fakes::TableFault;

/// One run: which commit and which send go wrong and how, and when the entry
/// dies or the table goes down.
struct Faults {
  int commit = 0;
  TableFault table = TableFault::kNone;
  int send = 0;
  RunnerFault runner = RunnerFault::kNone;
  int kill_at_ms = -1;
  int down_at_ms = -1;
  int pause_at_ms = -1;

  std::string Text() const {
    return "commit " + std::to_string(commit) + " fault " +
           std::to_string(static_cast<int>(table)) + ", send " +
           std::to_string(send) + " fault " +
           std::to_string(static_cast<int>(runner)) + ", killed at " +
           std::to_string(kill_at_ms) + ", table down at " +
           std::to_string(down_at_ms) + ", paused at " +
           std::to_string(pause_at_ms);
  }
};

constexpr base::Duration kOutage{3'000};
/// Longer than the first caller's deadline.
constexpr base::Duration kPause{8'000};
constexpr base::Duration kRetryEvery{700};
constexpr int kRetries = 40;

/// Whether the sender is left without an answer.
bool Loses(RunnerFault fault) {
  return fault == RunnerFault::kLostBefore ||
         fault == RunnerFault::kLostAfter || fault == RunnerFault::kLate;
}

/// Plays one run: a caller at entry 0, then the same key at entry 1 until it
/// gets something final.
class Play {
 public:
  explicit Play(const Faults& faults) : faults_(faults), all_(2) {
    all_.table.SetCommitFault([this](const store::Transaction&) {
      return commits_++ == faults_.commit ? faults_.table : TableFault::kNone;
    });
    all_.runners.SetSendFault([this](const auto&, const auto&) {
      return sends_++ == faults_.send ? faults_.runner : RunnerFault::kNone;
    });
  }

  void Go() {
    auto request = FakeEntries::Keyed("k");
    request.deadline = base::Duration(5'000);
    first_ = all_.Send(0, request);
    if (faults_.kill_at_ms >= 0) {
      all_.time.After(base::Duration(faults_.kill_at_ms), [this] {
        all_.entries[0]->Kill();
        killed_ = true;
        all_.directory.gone.insert(all_.entries[0]->incarnation);
      });
    }
    if (faults_.down_at_ms >= 0) {
      all_.time.After(base::Duration(faults_.down_at_ms),
                      [this] { all_.table.SetDown(true); });
      all_.time.After(base::Duration(faults_.down_at_ms) + kOutage,
                      [this] { all_.table.SetDown(false); });
    }
    if (faults_.pause_at_ms >= 0) {
      auto& process = all_.entries[0]->process;
      all_.time.After(base::Duration(faults_.pause_at_ms),
                      [&process] { process.Pause(); });
      all_.time.After(base::Duration(faults_.pause_at_ms) + kPause,
                      [&process] { process.Resume(); });
    }
    all_.time.RunFor(base::Duration(6'000));
    runs_after_first_ = all_.runners.RunsOf("k");
    sends_of_first_ = sends_;
    for (int i = 0; i < kRetries && !IsFinal(); ++i) {
      last_ = all_.Ask(1, FakeEntries::Keyed("k"));
      all_.time.RunFor(kRetryEvery);
    }
    all_.time.RunFor(base::Duration(20'000));
  }

  void Check() {
    const int runs = all_.runners.RunsOf("k");
    REQUIRE(runs <= 1);
    if (!killed_) REQUIRE(first_->has_value());
    const bool has_first = first_->has_value();
    if (has_first && AnswerOf(**first_)) REQUIRE(runs == 1);
    if (has_first && RefusalOf(**first_) &&
        RefusalOf(**first_)->work == base::WorkDone::kNotRun) {
      REQUIRE(runs_after_first_ == 0);
      // Refused as not run by an entry that lives: the next tries must get
      // through, unless a runner loses one of them.
      const bool lost_later = faults_.send >= sends_of_first_;
      if (!killed_ && !(lost_later && Loses(faults_.runner))) {
        REQUIRE(AnswerOf(*last_));
      }
    }
    REQUIRE(IsFinal());
    if (AnswerOf(*last_)) {
      REQUIRE(runs == 1);
      if (has_first && AnswerOf(**first_)) {
        REQUIRE(*AnswerOf(*last_) == *AnswerOf(**first_));
      }
    }
  }

  /// What holds even of an entry that was paused beyond the deadline: its
  /// caller may have been told late, but nothing untrue.
  void CheckPaused() {
    const int runs = all_.runners.RunsOf("k");
    REQUIRE(runs <= 1);
    REQUIRE(first_->has_value());
    REQUIRE(IsFinal());
    if (AnswerOf(**first_) || AnswerOf(*last_)) REQUIRE(runs == 1);
  }

 private:
  bool IsFinal() const {
    if (!last_) return false;
    const auto* refusal = RefusalOf(*last_);
    return refusal == nullptr || refusal->retry_after == base::Duration(0);
  }

  Faults faults_;
  FakeEntries all_;
  FakeEntries::Caller first_;
  std::optional<RequestOutcome> last_;
  int commits_ = 0;
  int sends_ = 0;
  int runs_after_first_ = 0;
  int sends_of_first_ = 0;
  bool killed_ = false;
};

const std::vector<TableFault> kTableFaults{
    TableFault::kNone,       TableFault::kRefused, TableFault::kRequestLost,
    TableFault::kAnswerLost, TableFault::kSlow,    TableFault::kArrivesLate,
    TableFault::kDoubled};
const std::vector<RunnerFault> kRunnerFaults{
    RunnerFault::kNone,       RunnerFault::kNotReached, RunnerFault::kRefused,
    RunnerFault::kLostBefore, RunnerFault::kLostAfter,  RunnerFault::kLate,
    RunnerFault::kFailsFast};
constexpr int kCommits = 3;
constexpr int kSends = 2;

void PlayOne(const Faults& faults) {
  INFO(faults.Text());
  Play play(faults);
  play.Go();
  play.Check();
}

TEST_CASE("a key runs at most once whatever write and send go wrong") {
  int runs = 0;
  for (const auto table : kTableFaults) {
    for (int commit = 0; commit < kCommits; ++commit) {
      for (const auto runner : kRunnerFaults) {
        for (int send = 0; send < kSends; ++send) {
          PlayOne({commit, table, send, runner, -1, -1, -1});
          ++runs;
        }
      }
    }
  }
  CHECK(runs == 294);
}

TEST_CASE("a key runs at most once whenever the entry dies") {
  for (const auto table : kTableFaults) {
    for (int commit = 0; commit < kCommits; ++commit) {
      for (const auto runner : kRunnerFaults) {
        for (int kill = 0; kill <= 45; kill += 3) {
          PlayOne({commit, table, 0, runner, kill, -1, -1});
        }
      }
    }
  }
}

TEST_CASE("a key runs at most once whenever the table goes down") {
  for (const auto table : kTableFaults) {
    for (const auto runner : kRunnerFaults) {
      for (int down = 0; down <= 45; down += 3) {
        PlayOne({0, table, 0, runner, -1, down, -1});
        PlayOne({1, table, 0, runner, 20, down, -1});
      }
    }
  }
}

TEST_CASE("a key runs at most once whenever the entry is paused") {
  for (const auto table : kTableFaults) {
    for (const auto runner : kRunnerFaults) {
      for (int pause = 0; pause <= 45; pause += 3) {
        const Faults faults{0, table, 0, runner, -1, -1, pause};
        INFO(faults.Text());
        Play play(faults);
        play.Go();
        play.CheckPaused();
      }
    }
  }
}

}  // namespace
}  // namespace lapishatch::routing
