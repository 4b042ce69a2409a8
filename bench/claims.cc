// Non-idempotent requests against a table of 300 writes a second, in virtual
// time: how many pass, and what those above are told. Once with a table that
// counts each transaction as a write, once with one that counts each row. Eight
// entries, each before a GroupCommitTable.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace lapishatch::bench {
namespace {

constexpr int kEntries = 8;
constexpr double kWritesPerSecond = 300;
constexpr base::Duration kWarmUp{10'000};
constexpr base::Duration kMeasured{20'000};
constexpr base::Duration kDeadline{3'000};

enum class Counting : std::uint8_t { kTransactions, kRows };

/// A table that takes so many writes a second, keeps a second's worth waiting,
/// and refuses the rest unread.
class LimitedTable final : public store::Table {
 public:
  LimitedTable(fakes::VirtualTime& time, Counting counting)
      : time_(time), counting_(counting), table_(time) {}

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) override {
    const double cost = counting_ == Counting::kRows
                            ? static_cast<double>(transaction.writes.size())
                            : 1;
    const auto now =
        static_cast<double>(time_.Now().time_since_epoch().count());
    free_at_ms_ = std::max(free_at_ms_, now);
    if (free_at_ms_ - now > kLongestWaitMs) {
      time_.After(kLatency,
                  [done = std::move(done)] { done(store::NotDone{"busy"}); });
      return;
    }
    writes_ += cost;
    free_at_ms_ += cost * 1000 / kWritesPerSecond;
    const auto wait =
        base::Duration(static_cast<std::int64_t>(free_at_ms_ - now));
    time_.After(wait + kLatency,
                [this, transaction = std::move(transaction),
                 done = std::move(done)] { done(table_.Apply(transaction)); });
  }

  void Read(std::string key,
            std::function<void(store::ReadResult)> done) override {
    time_.After(kLatency, [this, key = std::move(key), done = std::move(done)] {
      done(table_.Peek(key));
    });
  }

  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(store::ScanResult)> done) override {
    time_.After(kLatency,
                [this, prefix = std::move(prefix), after = std::move(after),
                 limit, done = std::move(done)] {
                  done(table_.PeekPage(prefix, after, limit));
                });
  }

  double TakeWrites() { return std::exchange(writes_, 0); }

 private:
  static constexpr double kLongestWaitMs = 1'000;
  static constexpr base::Duration kLatency{5};

  fakes::VirtualTime& time_;
  Counting counting_;
  fakes::FakeTable table_;
  double free_at_ms_ = 0;
  double writes_ = 0;
};

struct Result {
  CallerStatistics callers;
  double writes_per_s = 0;
};

class Run {
 public:
  Run(double per_s, Counting counting, bool grouped, std::uint64_t seed)
      : per_ms_(per_s / 1000),
        random_(seed),
        cluster_(time_, seed + 1),
        table_(time_, counting) {
    for (int i = 0; i < kEntries; ++i) {
      store::Table* table = &table_;
      if (grouped) {
        store::GroupCommitOptions options;
        options.random_seed = seed + i;
        loops_.push_back(std::make_unique<fakes::FakeProcess>(time_));
        groups_.push_back(std::make_unique<store::GroupCommitTable>(
            table_, *loops_.back(), options));
        table = groups_.back().get();
      }
      entries_.push_back(std::make_unique<PathEntry>(
          i, time_, cluster_, table, directory_, seed + 100UL * i,
          routing::RequestPathOptions{}));
    }
  }

  Result Go() {
    Arrive();
    time_.RunFor(kWarmUp);
    measuring_ = true;
    table_.TakeWrites();
    time_.RunFor(kMeasured);
    result_.writes_per_s =
        table_.TakeWrites() * 1000 / static_cast<double>(kMeasured.count());
    measuring_ = false;
    stopped_ = true;
    time_.RunFor(base::Duration(10'000));
    return std::move(result_);
  }

 private:
  void Arrive() {
    std::exponential_distribution<double> gap(per_ms_);
    next_ms_ += gap(random_);
    const auto whole = static_cast<std::int64_t>(next_ms_);
    next_ms_ -= static_cast<double>(whole);
    time_.After(base::Duration(whole), [this] {
      if (stopped_) return;
      Ask();
      Arrive();
    });
  }

  void Ask() {
    std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
    routing::RoutedRequest request;
    request.id = base::RequestId(std::to_string(++number_));
    request.organisation = base::OrganisationName("fianza");
    request.service = base::ServiceName("claims");
    request.deadline = kDeadline;
    request.key = base::IdempotencyKey(request.id.str());
    const bool counted = measuring_;
    const auto asked_at = time_.Now();
    entries_[entry(random_)]->path->Handle(
        std::move(request),
        [this, counted, asked_at](const routing::RequestOutcome& it) {
          if (counted) Note(it, time_.Now() - asked_at);
        });
  }

  void Note(const routing::RequestOutcome& outcome, base::Duration time) {
    if (std::holds_alternative<routing::RequestAnswered>(outcome)) {
      result_.callers.Answered(time, true);
    } else if (std::get<routing::RequestRefused>(outcome).work ==
               base::WorkDone::kNotRun) {
      result_.callers.Refused(time);
    } else {
      result_.callers.Lost();
    }
  }

  double per_ms_;
  base::Random random_;
  fakes::VirtualTime time_;
  FakeCluster cluster_;
  LimitedTable table_;
  OpenDirectory directory_{kEntries};
  std::vector<std::unique_ptr<fakes::FakeProcess>> loops_;
  std::vector<std::unique_ptr<store::GroupCommitTable>> groups_;
  std::vector<std::unique_ptr<PathEntry>> entries_;
  Result result_;
  double next_ms_ = 0;
  int number_ = 0;
  bool measuring_ = false;
  bool stopped_ = false;
};

void Measure(double per_s, Counting counting, bool grouped) {
  const std::string name =
      std::string(counting == Counting::kRows ? "rows" : "transactions") +
      (grouped ? ".grouped" : ".single") + ".asked_" +
      std::to_string(static_cast<int>(per_s)) + "_per_s";
  Spread answered;
  Spread p50;
  Spread p99;
  Spread refusal_p99;
  Spread lost;
  Spread writes;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto result = Run(per_s, counting, grouped, seed).Go();
    auto& callers = result.callers;
    const double seconds = static_cast<double>(kMeasured.count()) / 1000;
    answered.Add(callers.good() / seconds);
    p50.Add(callers.TimeAt(0.5));
    p99.Add(callers.TimeAt(0.99));
    refusal_p99.Add(callers.RefusalAt(0.99));
    lost.Add(100 * callers.lost() / std::max(callers.asked(), 1.0));
    writes.Add(result.writes_per_s);
  }
  answered.Print(name + ".answered", "per_s");
  p50.Print(name + ".completion_p50", "ms");
  p99.Print(name + ".completion_p99", "ms");
  refusal_p99.Print(name + ".refusal_p99", "ms");
  lost.Print(name + ".unknown", "%");
  writes.Print(name + ".table_writes", "per_s");
}

}  // namespace
}  // namespace lapishatch::bench

int main() {
  using lapishatch::bench::Counting;
  for (const auto counting : {Counting::kTransactions, Counting::kRows}) {
    for (const bool grouped : {false, true}) {
      for (const double per_s : {100.0, 140.0, 300.0, 1000.0, 1800.0}) {
        lapishatch::bench::Measure(per_s, counting, grouped);
      }
    }
  }
  return 0;
}
