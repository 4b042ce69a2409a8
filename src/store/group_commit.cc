#include "store/group_commit.h"

#include <atomic>
#include <cmath>
#include <deque>
#include <utility>

#include "store/internal/batch.h"
#include "store/internal/circuit_breaker.h"

namespace lapishatch::store {
namespace {

using internal::Batch;
using internal::CircuitBreaker;
using internal::Pending;

constexpr std::string_view kDownDetail = "the table is down";

/// Writes that may go out together after a pause, as a share of a second's.
constexpr double kBurstSeconds = 0.1;

CircuitBreaker::Options BreakerOptions(const GroupCommitOptions& options) {
  return {options.failures_until_down, options.max_in_flight,
          options.first_probe, options.longest_probe};
}

/// Lets `rate` writes a second through, and small bursts. Pure.
class WriteRate {
 public:
  explicit WriteRate(double rate)
      : rate_(rate), burst_(std::max(1.0, rate * kBurstSeconds)) {}

  /// Takes one write if it may go now.
  bool TryTake(base::TimePoint now) {
    if (rate_ <= 0) return true;
    Refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  /// When the next write may go, after TryTake has failed.
  base::Duration UntilNext() const {
    const double seconds = (1 - tokens_) / rate_;
    return base::Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e3)));
  }

 private:
  void Refill(base::TimePoint now) {
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
  }

  double rate_;
  double burst_;
  double tokens_ = 1;
  base::TimePoint last_{};
};

/// Counters read from any thread.
struct AtomicCounts {
  std::atomic<std::uint64_t> transactions{0};
  std::atomic<std::uint64_t> writes{0};
  std::atomic<std::uint64_t> repeated{0};
  std::atomic<std::uint64_t> refused_full{0};
  std::atomic<std::uint64_t> refused_late{0};
  std::atomic<std::uint64_t> refused_down{0};
  std::atomic<std::uint64_t> outages{0};
};

}  // namespace

/// All but the counters is touched on the loop only.
class GroupCommitTable::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(Table& inner, base::EventLoop& loop, GroupCommitOptions options)
      : inner_(inner),
        loop_(loop),
        options_(std::move(options)),
        breaker_(BreakerOptions(options_)),
        rate_(options_.writes_per_s),
        random_(options_.random_seed) {}

  void Commit(Transaction transaction, std::function<void(CommitResult)> done) {
    ++counts_.transactions;
    if (is_down_) return RefuseDown(std::move(done));
    loop_.Post([self = shared_from_this(), transaction = std::move(transaction),
                done = std::move(done)]() mutable {
      self->Take(std::move(transaction), std::move(done));
    });
  }

  void Read(std::string key, std::function<void(ReadResult)> done) {
    if (is_down_) return PostFailed<ReadResult>(std::move(done));
    inner_.Read(std::move(key), std::move(done));
  }

  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(ScanResult)> done) {
    if (is_down_) return PostFailed<ScanResult>(std::move(done));
    inner_.Scan(std::move(prefix), std::move(after), limit, std::move(done));
  }

  void Close() {
    is_closed_ = true;
    loop_.Post([self = shared_from_this()] { self->waiting_.clear(); });
  }

  GroupCommitCounts counts() const {
    return {counts_.transactions, counts_.writes,       counts_.repeated,
            counts_.refused_full, counts_.refused_late, counts_.refused_down,
            counts_.outages};
  }

  bool is_down() const { return is_down_; }

 private:
  template <typename Result, typename Done>
  void PostFailed(Done done) {
    loop_.Post([done = std::move(done)] {
      done(Result(ReadFailed{std::string(kDownDetail)}));
    });
  }

  void RefuseDown(std::function<void(CommitResult)> done) {
    ++counts_.refused_down;
    loop_.Post(
        [done = std::move(done)] { done(NotDone{std::string(kDownDetail)}); });
  }

  void Take(Transaction transaction, std::function<void(CommitResult)> done) {
    if (is_closed_) return;
    if (breaker_.is_open()) return RefuseDown(std::move(done));
    if (waiting_.size() >= options_.max_waiting) {
      ++counts_.refused_full;
      return done(NotDone{"too many transactions wait for the table"});
    }
    waiting_.push_back({std::move(transaction), std::move(done),
                        loop_.Now() + options_.max_wait});
    Pump();
    ArmExpiry();
  }

  /// Sends what may be sent.
  void Pump() {
    while (!is_closed_ && !waiting_.empty() &&
           in_flight_ < breaker_.allowed()) {
      if (!rate_.TryTake(loop_.Now())) return PumpLater();
      SendBatch();
    }
  }

  void PumpLater() {
    if (std::exchange(pump_is_set_, true)) return;
    loop_.After(rate_.UntilNext(), [self = shared_from_this()] {
      self->pump_is_set_ = false;
      self->Pump();
    });
  }

  /// The longest run of independent transactions from the front. One that is
  /// not independent stays, and so do later ones that touch its rows.
  std::shared_ptr<Batch> TakeBatch() {
    auto out = std::make_shared<Batch>();
    Batch passed_over;
    std::deque<Pending> kept;
    while (!waiting_.empty() && out->size() < options_.max_batch &&
           kept.size() < options_.max_batch) {
      auto it = std::move(waiting_.front());
      waiting_.pop_front();
      if (Fits(*out, passed_over, it.transaction)) {
        out->Add(std::move(it));
        continue;
      }
      passed_over.Add({it.transaction, nullptr, {}});
      kept.push_back(std::move(it));
    }
    while (!kept.empty()) {
      waiting_.push_front(std::move(kept.back()));
      kept.pop_back();
    }
    return out;
  }

  bool Fits(const Batch& batch, const Batch& passed_over,
            const Transaction& transaction) const {
    if (batch.empty()) return true;
    const auto bytes = batch.bytes() + internal::BytesOf(transaction);
    return bytes <= options_.max_batch_bytes && batch.Accepts(transaction) &&
           passed_over.Accepts(transaction);
  }

  void SendBatch() {
    const auto batch = TakeBatch();
    ++in_flight_;
    ++counts_.writes;
    inner_.Commit(batch->Merged(),
                  [self = shared_from_this(), batch](CommitResult result) {
                    self->loop_.Post([self, batch, result = std::move(result)] {
                      self->OnResult(*batch, result);
                    });
                  });
  }

  void OnResult(Batch& batch, const CommitResult& result) {
    --in_flight_;
    if (is_closed_) return;
    if (const auto* committed = std::get_if<Committed>(&result)) {
      breaker_.OnAnswer();
      batch.AnswerCommitted(*committed);
    } else if (const auto* conflict = std::get_if<Conflict>(&result)) {
      breaker_.OnAnswer();
      SendAgain(batch.AnswerConflict(*conflict));
    } else {
      const bool opens = breaker_.OnFailure();
      batch.AnswerAll(result);
      if (opens) GoDown();
    }
    Pump();
  }

  void SendAgain(std::vector<Pending> others) {
    counts_.repeated += others.size();
    for (auto it = others.rbegin(); it != others.rend(); ++it) {
      waiting_.push_front(std::move(*it));
    }
    if (breaker_.is_open()) AnswerWaitingDown();
  }

  // Waiting too long.

  /// The front has waited longest, but for those sent again.
  void ArmExpiry() {
    if (waiting_.empty() || std::exchange(expiry_is_set_, true)) return;
    const auto delay = waiting_.front().latest_start - loop_.Now();
    loop_.After(std::max(delay, base::Duration(1)),
                [self = shared_from_this()] {
                  self->expiry_is_set_ = false;
                  self->ExpireWaiting();
                  self->ArmExpiry();
                });
  }

  void ExpireWaiting() {
    const auto now = loop_.Now();
    while (!waiting_.empty() && waiting_.front().latest_start <= now) {
      const auto it = std::move(waiting_.front());
      waiting_.pop_front();
      ++counts_.refused_late;
      it.done(NotDone{"waited too long for the table"});
    }
  }

  // Outages.

  void GoDown() {
    is_down_ = true;
    ++counts_.outages;
    base::Log(base::events::kTableDown);
    AnswerWaitingDown();
    ProbeLater();
  }

  void AnswerWaitingDown() {
    for (auto& it : std::exchange(waiting_, {})) {
      ++counts_.refused_down;
      it.done(NotDone{std::string(kDownDetail)});
    }
  }

  void ProbeLater() {
    loop_.After(breaker_.NextProbe(random_),
                [self = shared_from_this()] { self->Probe(); });
  }

  void Probe() {
    if (is_closed_) return;
    inner_.Read(options_.probe_key, [self = shared_from_this()](
                                        const ReadResult& result) {
      const bool is_answered = !std::holds_alternative<ReadFailed>(result);
      self->loop_.Post([self, is_answered] { self->OnProbe(is_answered); });
    });
  }

  void OnProbe(bool is_answered) {
    if (is_closed_) return;
    if (!is_answered) return ProbeLater();
    breaker_.OnProbeAnswered();
    is_down_ = false;
    base::Log(base::events::kTableBack);
    Pump();
  }

  Table& inner_;
  base::EventLoop& loop_;
  const GroupCommitOptions options_;
  CircuitBreaker breaker_;
  WriteRate rate_;
  base::Random random_;
  std::deque<Pending> waiting_;
  std::size_t in_flight_ = 0;
  bool pump_is_set_ = false;
  bool expiry_is_set_ = false;
  std::atomic<bool> is_closed_{false};
  std::atomic<bool> is_down_{false};
  AtomicCounts counts_;
};

GroupCommitTable::GroupCommitTable(Table& inner, base::EventLoop& loop,
                                   GroupCommitOptions options)
    : impl_(std::make_shared<Impl>(inner, loop, std::move(options))) {}

GroupCommitTable::~GroupCommitTable() { impl_->Close(); }

void GroupCommitTable::Commit(Transaction transaction,
                              std::function<void(CommitResult)> done) {
  impl_->Commit(std::move(transaction), std::move(done));
}

void GroupCommitTable::Read(std::string key,
                            std::function<void(ReadResult)> done) {
  impl_->Read(std::move(key), std::move(done));
}

void GroupCommitTable::Scan(std::string prefix, std::string after,
                            std::size_t limit,
                            std::function<void(ScanResult)> done) {
  impl_->Scan(std::move(prefix), std::move(after), limit, std::move(done));
}

GroupCommitCounts GroupCommitTable::counts() const { return impl_->counts(); }

bool GroupCommitTable::is_down() const { return impl_->is_down(); }

}  // namespace lapishatch::store
