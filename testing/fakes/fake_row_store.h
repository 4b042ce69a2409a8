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

/// What happens to one caller's calls to the store.
enum class StoreFault {
  kNone,
  /// Nothing arrives, nothing is answered.
  kSilent,
  /// Refused as not done.
  kBusy,
  /// Transactions are done and their answers lost; reads have no answer.
  kAnswersLost,
  /// Transactions have no answer and are done seconds later, if their
  /// conditions hold then.
  kLate,
};

/// A store of rows in virtual time, linearizable, with a feed, and with faults
/// for each caller by itself.
class FakeRowStore {
 public:
  explicit FakeRowStore(base::EventLoop& time);
  ~FakeRowStore();
  FakeRowStore(const FakeRowStore&) = delete;
  FakeRowStore& operator=(const FakeRowStore&) = delete;

  /// The store as `caller` sees it. Valid as long as this object.
  store::RowStore& For(const std::string& caller);

  void SetFault(const std::string& caller, StoreFault fault);
  void SetFaultForAll(StoreFault fault);
  /// For all callers' transactions; reads and feeds work.
  void SetFaultForTransactions(StoreFault fault);

  /// Feeds from before now have no history.
  void DropHistory() { oldest_ = version_; }

  /// Of the last transaction that took effect.
  store::RowVersion version() const { return version_; }

  /// Writes a row as an outside party does.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);

  void Remove(const std::string& table, const std::string& part,
              const std::string& key);

  /// The value of a row, or an empty text.
  std::string ValueOf(const std::string& table, const std::string& part,
                      const std::string& key) const;

  std::size_t rows_in(const std::string& table) const;
  int transactions() const { return transactions_; }

  /// One way between a caller and the store.
  base::Duration delay{1};
  /// What a transaction takes.
  base::Duration commit_time{8};
  /// After so long a transaction that has no answer is given up.
  base::Duration commit_timeout{2'000};
  /// Most rows of one feed's answer; they must be of different transactions.
  std::size_t feed_limit = 500;
  /// Whether the transactions of one part are done one after another, and
  /// refused when a second of them waits.
  bool has_part_queues = false;

 private:
  class Caller;
  friend class Caller;

  struct WaitingFeed {
    std::string table;
    store::RowVersion after = 0;
    std::function<void(store::RowsFeedResult)> done;
    bool is_answered = false;
  };

  std::optional<base::Duration> QueueOn(const std::string& part);
  store::RowsResult Apply(const store::RowTransaction& transaction);
  store::RowsRead Scan(const store::RowRange& range) const;
  store::RowsFeedResult ChangesOf(const std::string& table,
                                  store::RowVersion after) const;
  void Wake(const std::string& table);

  base::EventLoop& time_;
  std::map<store::RowAddress, store::StoredRow> rows_;
  std::vector<store::StoredRow> history_;
  store::RowVersion version_ = 1;
  store::RowVersion oldest_ = 0;
  int transactions_ = 0;
  std::map<std::string, base::TimePoint> part_free_at_;
  StoreFault fault_for_transactions_ = StoreFault::kNone;
  StoreFault fault_for_all_ = StoreFault::kNone;
  std::map<std::string, std::unique_ptr<Caller>> callers_;
  std::list<std::shared_ptr<WaitingFeed>> feeds_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_ROW_STORE_H_
