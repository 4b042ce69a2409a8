#ifndef LAPISHATCH_TESTING_FAKES_FAKE_ROW_STORE_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_ROW_STORE_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "store/row_store.h"

namespace lapishatch::fakes {

/// Fault injected into the calls of one caller or of all callers.
enum class StoreFault {
  kNone,
  /// Requests are lost and never answered.
  kSilent,
  /// Calls fail as not executed.
  kBusy,
  /// Transactions are executed but their answers are lost; reads are never
  /// answered.
  kAnswersLost,
  /// Transactions are never answered and execute 3 s later, if their
  /// conditions hold then.
  kLate,
};

/// What becomes of the transactions that a caller has sent over a connection
/// when it becomes silent.
enum class SeveredWrites {
  kApplied,
  kLost,
  /// Applied 3 s later, if their conditions hold then.
  kLate,
};

/// Linearizable in-memory row store in virtual time, with change feeds and
/// fault injection for each caller.
class FakeRowStore {
 public:
  explicit FakeRowStore(base::EventLoop& time);
  ~FakeRowStore();
  FakeRowStore(const FakeRowStore&) = delete;
  FakeRowStore& operator=(const FakeRowStore&) = delete;

  /// Returns the store client of `caller`, valid as long as this object.
  store::RowStore& For(const std::string& caller);

  void SetFault(const std::string& caller, StoreFault fault);
  void SetFaultForAll(StoreFault fault);

  /// Limits the bandwidth of the link over which `caller` receives rows. An
  /// answer that takes longer than its caller allows is lost.
  void SetLinkBandwidth(const std::string& caller, std::size_t bytes_per_ms);

  /// Makes all connections of `caller` silent: its present calls get no answer.
  /// Later calls use new connections.
  void Sever(const std::string& caller, SeveredWrites writes);
  /// Applies to the transactions of all callers; reads and feeds work.
  void SetFaultForTransactions(StoreFault fault);
  /// Applies to the feeds of all callers; transactions and reads work.
  void SetFaultForFeeds(StoreFault fault);
  /// Applies to the reads and feeds of one table, of all callers.
  void SetFaultForTable(const std::string& table, StoreFault fault);

  /// Discards the change history: feeds from an earlier version fail with
  /// HistoryGone.
  void DropHistory() { oldest_ = version_; }

  /// Version of the last transaction that took effect.
  store::RowVersion version() const { return version_; }

  /// Writes a row directly, without a caller, delay or faults.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);

  void Remove(const std::string& table, const std::string& part,
              const std::string& key);

  /// Returns the value of a row, or an empty string if it does not exist.
  std::string ValueOf(const std::string& table, const std::string& part,
                      const std::string& key) const;

  std::size_t rows_in(const std::string& table) const;
  /// Number of transactions that were executed, including those that
  /// conflicted.
  int transactions() const { return transactions_; }
  /// Number of reads and feeds that were received.
  int reads() const { return reads_; }

  /// One-way network delay between a caller and the store.
  base::Duration delay{1};
  /// Execution time of a transaction.
  base::Duration commit_time{8};
  /// Time after which an unanswered transaction ends with UnknownOutcome.
  base::Duration commit_timeout{2'000};
  /// Maximum number of rows in one answer of a feed. Rows of one transaction
  /// must not be split between answers, so a test that reaches the limit must
  /// write each row in its own transaction.
  std::size_t feed_limit = 500;
  /// Age of the state that reads return. Transactions and feeds are not
  /// affected.
  base::Duration read_lag{0};
  /// Whether transactions on the same part execute one after another and are
  /// refused when the queue of their part exceeds 1 s.
  bool has_part_queues = false;

 private:
  static constexpr store::RowVersion kFirstVersion = 1;

  class Caller;
  friend class Caller;

  struct WaitingFeed {
    std::string table;
    store::RowVersion after = 0;
    std::function<void(store::RowsFeedResult)> done;
    bool is_answered = false;
  };

  std::optional<base::Duration> ReserveCommitTime(const std::string& part);
  store::RowsResult Apply(const store::RowTransaction& transaction);
  store::RowsRead Scan(const store::RowRange& range) const;
  store::RowsRead ScanPast(const store::RowRange& range) const;
  static store::RowsRead ScanRows(
      const std::map<store::RowAddress, store::StoredRow>& rows,
      const store::RowRange& range);
  store::RowsFeedResult ChangesOf(const std::string& table,
                                  store::RowVersion after) const;
  void AnswerFeeds(const std::string& table);

  base::EventLoop& time_;
  std::map<store::RowAddress, store::StoredRow> rows_;
  std::vector<store::StoredRow> history_;
  /// Time of each transaction that took effect.
  std::map<store::RowVersion, base::TimePoint> applied_at_;
  store::RowVersion version_ = kFirstVersion;
  store::RowVersion oldest_ = 0;
  int transactions_ = 0;
  int reads_ = 0;
  std::map<std::string, base::TimePoint> part_free_at_;
  StoreFault fault_for_transactions_ = StoreFault::kNone;
  StoreFault fault_for_feeds_ = StoreFault::kNone;
  StoreFault fault_for_all_ = StoreFault::kNone;
  std::map<std::string, StoreFault> faults_for_tables_;
  std::map<std::string, std::unique_ptr<Caller>> callers_;
  std::list<std::shared_ptr<WaitingFeed>> feeds_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_ROW_STORE_H_
