#ifndef LAPISHATCH_TESTING_FAKES_FAKE_TABLE_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "fakes/fake_process.h"
#include "fakes/virtual_time.h"
#include "store/store.h"

namespace lapishatch::fakes {

/// What happens to one call to the table.
enum class TableFault : std::uint8_t {
  kNone,
  /// Refused unread: a commit is NotDone, a read fails.
  kRefused,
  /// The request is lost: a commit has no effect, its outcome is unknown.
  kRequestLost,
  /// The answer is lost: a commit takes effect, its outcome is unknown.
  kAnswerLost,
  /// Takes effect and is answered, but late.
  kSlow,
  /// Takes effect long after the caller was told that the outcome is unknown.
  kArrivesLate,
  /// Carried out twice, answered once.
  kDoubled,
};

/// The platform's table in memory and virtual time. Each process reaches it
/// through a FakeTableView.
class FakeTable {
 public:
  struct Options {
    base::Duration latency{5};
    base::Duration slow_latency{1'500};
    /// When a call without an answer ends.
    base::Duration timeout{2'000};
    /// When a late commit takes effect.
    base::Duration late{4'000};
  };

  /// Chooses the fault of a commit; sees it before it is carried out.
  using CommitFault = std::function<TableFault(const store::Transaction&)>;

  explicit FakeTable(VirtualTime& time) : FakeTable(time, Options()) {}
  FakeTable(VirtualTime& time, Options options)
      : time_(time), options_(options) {}

  /// While down, every call is refused.
  void SetDown(bool down) { down_ = down; }

  void SetCommitFault(CommitFault fault) { commit_fault_ = std::move(fault); }

  /// Breaks the table's rule on purpose: conditions are not checked.
  void IgnoreConditions() { ignores_conditions_ = true; }

  /// Carries a transaction out at once, as another client would.
  store::CommitResult Apply(const store::Transaction& transaction);

  std::optional<store::Row> Peek(const std::string& key) const;

  store::RowPage PeekPage(const std::string& prefix, const std::string& after,
                          std::size_t limit) const;

  /// Calls that reached the table.
  std::uint64_t commits() const { return commits_; }
  std::uint64_t reads() const { return reads_; }

 private:
  friend class FakeTableView;

  TableFault FaultOf(const store::Transaction& transaction);

  VirtualTime& time_;
  Options options_;
  bool down_ = false;
  bool ignores_conditions_ = false;
  CommitFault commit_fault_;
  std::map<std::string, store::Row> rows_;
  std::uint64_t commits_ = 0;
  std::uint64_t reads_ = 0;
};

/// The table as one process sees it: answers come on that process's loop (late
/// when it is paused, never when it was killed), and the way can be cut.
class FakeTableView final : public store::Table {
 public:
  FakeTableView(FakeTable& table, FakeProcess& process)
      : table_(table), process_(process) {}

  /// While cut, calls end after the timeout: a commit's outcome is unknown to
  /// this process (it had no effect), reads fail.
  void SetCut(bool cut) { cut_ = cut; }

  /// Chooses the fault of this process's commits; kNone leaves it to the table.
  void SetCommitFault(FakeTable::CommitFault fault) {
    commit_fault_ = std::move(fault);
  }

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) override;
  void Read(std::string key,
            std::function<void(store::ReadResult)> done) override;
  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(store::ScanResult)> done) override;

 private:
  template <typename Result>
  void Answer(base::Duration delay, std::function<void(Result)> done,
              Result result);

  TableFault FaultOf(const store::Transaction& transaction);

  FakeTable& table_;
  FakeProcess& process_;
  bool cut_ = false;
  FakeTable::CommitFault commit_fault_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_TABLE_H_
