#include "fakes/fake_row_store.h"

#include <algorithm>
#include <utility>

namespace lapishatch::fakes {

using store::RowsChanged;
using store::RowsConflict;
using store::RowsFeedResult;
using store::RowsRead;
using store::RowsReadResult;
using store::RowsResult;
using store::RowVersion;

namespace {

constexpr base::Duration kLateCommitDelay{3'000};
constexpr base::Duration kMaxQueueTime{1'000};
/// Time after which an unanswered search for parts fails.
constexpr base::Duration kPartsTimeout{1'500};

/// Answer to a read or a feed of a caller that is refused.
const store::ReadFailed kBusy{"busy", true};

}  // namespace

class FakeRowStore::Caller final : public store::RowStore {
 public:
  explicit Caller(FakeRowStore& store) : store_(store) {}

  StoreFault fault = StoreFault::kNone;
  /// Bandwidth of the link over which answers to reads arrive; 0 if unlimited.
  std::size_t link_bytes_per_ms = 0;
  /// Number of times that the connections became silent, and what became of
  /// the writes at the last time.
  int severances = 0;
  SeveredWrites severed_writes = SeveredWrites::kApplied;

  void Commit(store::RowTransaction transaction,
              std::function<void(RowsResult)> done) override {
    const auto present = TransactionFault();
    switch (present) {
      case StoreFault::kSilent:
        return After(store_.commit_timeout, [done = std::move(done)] {
          done(store::UnknownOutcome{"silent"});
        });
      case StoreFault::kBusy:
        return After(2 * store_.delay, [done = std::move(done)] {
          done(store::NotDone{"busy"});
        });
      case StoreFault::kAnswersLost:
      case StoreFault::kLate: {
        const auto when = present == StoreFault::kLate
                              ? kLateCommitDelay
                              : store_.delay + store_.commit_time;
        After(when, [this, transaction] { store_.Apply(transaction); });
        return After(store_.commit_timeout, [done = std::move(done)] {
          done(store::UnknownOutcome{"no answer"});
        });
      }
      case StoreFault::kNone:
        break;
    }
    const auto wait = store_.ReserveCommitTime(transaction.part);
    if (!wait) {
      return After(2 * store_.delay, [done = std::move(done)] {
        done(store::NotDone{"too many calls on this part"});
      });
    }
    After(store_.delay + *wait, [this, transaction = std::move(transaction),
                                 done = std::move(done), sent = severances] {
      if (sent != severances) return LoseCommit(transaction, done);
      auto result = store_.Apply(transaction);
      After(store_.delay, [this, done, sent, result = std::move(result)] {
        if (sent == severances) return done(result);
        After(store_.commit_timeout,
              [done] { done(store::UnknownOutcome{"severed"}); });
      });
    });
  }

  void Read(store::RowRange range,
            std::function<void(RowsReadResult)> done) override {
    ++store_.reads_;
    const auto timeout = range.answer_timeout;
    const auto present = FaultOf(range.table);
    if (present == StoreFault::kBusy) {
      return After(store_.delay, [done = std::move(done)] { done(kBusy); });
    }
    if (present != StoreFault::kNone) {
      return FailAfter(timeout, std::move(done));
    }
    if (store_.delay >= timeout) return FailAfter(timeout, std::move(done));
    After(store_.delay,
          [this, range = std::move(range), done = std::move(done),
           sent = severances, deadline = store_.time_.Now() + timeout] {
            auto rows = store_.Scan(range);
            const auto arrives_after = store_.delay + LinkTime(rows.rows);
            const auto time_left = deadline - store_.time_.Now();
            if (arrives_after > time_left) return FailAfter(time_left, done);
            After(arrives_after,
                  [this, done, sent, deadline, rows = std::move(rows)] {
                    if (sent == severances) return done(rows);
                    FailAfter(deadline - store_.time_.Now(), done);
                  });
          });
  }

  void Parts(std::string table,
             std::function<void(store::PartsResult)> done) override {
    ++store_.reads_;
    const auto present = FaultOf(table);
    if (present == StoreFault::kBusy) {
      return After(store_.delay, [done = std::move(done)] { done(kBusy); });
    }
    if (present != StoreFault::kNone) {
      return FailAfter(kPartsTimeout, std::move(done));
    }
    After(2 * store_.delay,
          [this, table = std::move(table), done = std::move(done)] {
            store::PartsRead out;
            for (const auto& [address, row] : store_.rows_) {
              if (address.table != table) continue;
              if (out.parts.empty() || out.parts.back() != address.part) {
                out.parts.push_back(address.part);
              }
            }
            done(out);
          });
  }

  void Feed(store::FeedRequest request,
            std::function<void(RowsFeedResult)> done) override {
    ++store_.reads_;
    const auto timeout = request.answer_timeout;
    const auto wait = request.wait;
    const auto present = FeedFaultOf(request.table);
    if (present == StoreFault::kBusy) {
      return After(store_.delay, [done = std::move(done)] { done(kBusy); });
    }
    if (present != StoreFault::kNone) {
      return FailAfter(wait + timeout, std::move(done));
    }
    auto feed = std::make_shared<WaitingFeed>();
    feed->table = std::move(request.table);
    feed->after = request.after;
    // A feed that waits when a fault begins is not answered either.
    feed->done = [this, table = feed->table, done = std::move(done),
                  deadline = store_.time_.Now() + wait + timeout,
                  sent = severances](RowsFeedResult result) {
      const bool is_silent = FeedFaultOf(table) != StoreFault::kNone;
      const auto time_left = deadline - store_.time_.Now();
      if (is_silent || sent != severances) return FailAfter(time_left, done);
      auto arrives_after = store_.delay;
      if (const auto* changes = std::get_if<RowsChanged>(&result)) {
        arrives_after += LinkTime(changes->rows);
      }
      if (arrives_after > time_left) return FailAfter(time_left, done);
      After(arrives_after,
            [done, result = std::move(result)] { done(result); });
    };
    store_.feeds_.push_back(feed);
    store_.AnswerFeeds(feed->table);
    After(wait, [this, feed] {
      if (feed->is_answered) return;
      feed->is_answered = true;
      feed->done(RowsChanged{{}, store_.version_});
    });
  }

 private:
  template <typename Result>
  void FailAfter(base::Duration wait, std::function<void(Result)> done) {
    After(wait, [done = std::move(done)] {
      done(store::ReadFailed{"no answer in time"});
    });
  }

  /// Ends a transaction whose connection became silent before it arrived.
  void LoseCommit(const store::RowTransaction& transaction,
                  const std::function<void(RowsResult)>& done) {
    switch (severed_writes) {
      case SeveredWrites::kApplied:
        store_.Apply(transaction);
        break;
      case SeveredWrites::kLost:
        break;
      case SeveredWrites::kLate:
        After(kLateCommitDelay,
              [this, transaction] { store_.Apply(transaction); });
        break;
    }
    After(store_.commit_timeout,
          [done] { done(store::UnknownOutcome{"severed"}); });
  }

  /// Time that an answer with `rows` occupies the caller's link.
  base::Duration LinkTime(const std::vector<store::StoredRow>& rows) const {
    if (link_bytes_per_ms == 0) return base::Duration(0);
    std::size_t bytes = 0;
    for (const auto& it : rows) bytes += it.value.size();
    return base::Duration(static_cast<std::int64_t>(bytes / link_bytes_per_ms));
  }

  StoreFault Fault() const {
    return fault != StoreFault::kNone ? fault : store_.fault_for_all_;
  }

  StoreFault FaultOf(const std::string& table) const {
    const auto it = store_.faults_for_tables_.find(table);
    return it == store_.faults_for_tables_.end() ? Fault() : it->second;
  }

  StoreFault FeedFaultOf(const std::string& table) const {
    const auto feed_fault = store_.fault_for_feeds_;
    return feed_fault != StoreFault::kNone ? feed_fault : FaultOf(table);
  }

  StoreFault TransactionFault() const {
    const auto transaction_fault = store_.fault_for_transactions_;
    return transaction_fault != StoreFault::kNone ? transaction_fault : Fault();
  }

  void After(base::Duration wait, std::function<void()> task) {
    store_.time_.After(wait, std::move(task));
  }

  FakeRowStore& store_;
};

FakeRowStore::FakeRowStore(base::EventLoop& time) : time_(time) {}

FakeRowStore::~FakeRowStore() = default;

store::RowStore& FakeRowStore::For(const std::string& caller) {
  auto& out = callers_[caller];
  if (!out) out = std::make_unique<Caller>(*this);
  return *out;
}

void FakeRowStore::SetFault(const std::string& caller, StoreFault fault) {
  static_cast<Caller&>(For(caller)).fault = fault;
}

void FakeRowStore::SetLinkBandwidth(const std::string& caller,
                                    std::size_t bytes_per_ms) {
  static_cast<Caller&>(For(caller)).link_bytes_per_ms = bytes_per_ms;
}

void FakeRowStore::Sever(const std::string& caller, SeveredWrites writes) {
  For(caller);
  auto& it = *callers_.at(caller);
  it.severed_writes = writes;
  ++it.severances;
}

void FakeRowStore::SetFaultForAll(StoreFault fault) { fault_for_all_ = fault; }

void FakeRowStore::SetFaultForTransactions(StoreFault fault) {
  fault_for_transactions_ = fault;
}

void FakeRowStore::SetFaultForFeeds(StoreFault fault) {
  fault_for_feeds_ = fault;
}

void FakeRowStore::SetFaultForTable(const std::string& table,
                                    StoreFault fault) {
  faults_for_tables_[table] = fault;
}

void FakeRowStore::Put(const std::string& table, const std::string& part,
                       const std::string& key, const std::string& value) {
  Apply({part, {}, {{table, key, value}}, {}});
}

void FakeRowStore::Remove(const std::string& table, const std::string& part,
                          const std::string& key) {
  Apply({part, {}, {}, {{table, key}}});
}

std::string FakeRowStore::ValueOf(const std::string& table,
                                  const std::string& part,
                                  const std::string& key) const {
  const auto it = rows_.find({table, part, key});
  return it == rows_.end() ? std::string() : it->second.value;
}

std::size_t FakeRowStore::rows_in(const std::string& table) const {
  return static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(),
                    [&](const auto& it) { return it.first.table == table; }));
}

/// Reserves the execution of a transaction on `part` and returns the time until
/// it completes, or nullopt if the queue of the part is too long.
std::optional<base::Duration> FakeRowStore::ReserveCommitTime(
    const std::string& part) {
  if (!has_part_queues) return commit_time;
  const auto now = time_.Now();
  auto& free_at = part_free_at_[part];
  const auto begin = std::max(now, free_at);
  if (begin - now > kMaxQueueTime) return std::nullopt;
  free_at = begin + commit_time;
  return free_at - now;
}

RowsResult FakeRowStore::Apply(const store::RowTransaction& transaction) {
  ++transactions_;
  RowsConflict conflict;
  bool holds = true;
  for (const auto& it : transaction.conditions) {
    const auto row = rows_.find({it.table, transaction.part, it.key});
    const auto version =
        row == rows_.end() ? store::kAbsent : row->second.version;
    if (row != rows_.end()) conflict.present.push_back(row->second);
    holds = holds && version == it.version;
  }
  if (!holds) return conflict;
  ++version_;
  applied_at_[version_] = time_.Now();
  for (const auto& it : transaction.puts) {
    const store::RowAddress address{it.table, transaction.part, it.key};
    rows_[address] = {address, it.value, version_};
    history_.push_back(rows_[address]);
  }
  for (const auto& it : transaction.removals) {
    const store::RowAddress address{it.table, transaction.part, it.key};
    if (rows_.erase(address) == 0) continue;
    history_.push_back({address, "", version_, true});
  }
  for (const auto& it : transaction.puts) AnswerFeeds(it.table);
  for (const auto& it : transaction.removals) AnswerFeeds(it.table);
  return store::RowsCommitted{version_};
}

RowsRead FakeRowStore::Scan(const store::RowRange& range) const {
  if (read_lag > base::Duration(0)) return ScanPast(range);
  auto out = ScanRows(rows_, range);
  out.as_of = version_;
  return out;
}

/// Returns the rows as they were `read_lag` ago.
RowsRead FakeRowStore::ScanPast(const store::RowRange& range) const {
  RowVersion as_of = kFirstVersion;
  for (const auto& [version, time] : applied_at_) {
    if (time <= time_.Now() - read_lag) as_of = version;
  }
  std::map<store::RowAddress, store::StoredRow> rows;
  for (const auto& it : history_) {
    if (it.version > as_of) break;
    rows.erase(it.address);
    if (!it.is_deleted) rows[it.address] = it;
  }
  auto out = ScanRows(rows, range);
  out.as_of = as_of;
  return out;
}

RowsRead FakeRowStore::ScanRows(
    const std::map<store::RowAddress, store::StoredRow>& rows,
    const store::RowRange& range) {
  RowsRead out;
  for (auto it = rows.lower_bound({range.table, range.part, range.from});
       it != rows.end(); ++it) {
    const auto& address = it->first;
    if (address.table != range.table || address.part != range.part) break;
    if (!range.until.empty() && address.key >= range.until) break;
    if (out.rows.size() == range.limit) {
      out.has_more = true;
      break;
    }
    out.rows.push_back(it->second);
  }
  return out;
}

RowsFeedResult FakeRowStore::ChangesOf(const std::string& table,
                                       RowVersion after) const {
  if (after < oldest_) return store::HistoryGone{};
  RowsChanged out;
  out.as_of = version_;
  for (const auto& it : history_) {
    if (it.version <= after || it.address.table != table) continue;
    out.rows.push_back(it);
    if (out.rows.size() < feed_limit) continue;
    out.as_of = it.version;
    out.may_have_more = true;
    break;
  }
  return out;
}

void FakeRowStore::AnswerFeeds(const std::string& table) {
  feeds_.remove_if([](const auto& it) { return it->is_answered; });
  for (const auto& it : feeds_) {
    if (it->table != table) continue;
    auto changes = ChangesOf(table, it->after);
    const auto* rows = std::get_if<RowsChanged>(&changes);
    if (rows != nullptr && rows->rows.empty()) continue;
    it->is_answered = true;
    it->done(std::move(changes));
  }
}

}  // namespace lapishatch::fakes
