#ifndef LAPISHATCH_CONFIG_LOOP_TABLE_H_
#define LAPISHATCH_CONFIG_LOOP_TABLE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/base.h"
#include "store/store.h"

namespace lapishatch::config {

/// The table for one object that lives on one loop: answers come on that loop,
/// and none comes after this is destroyed. To be used on the loop only.
class LoopTable {
 public:
  LoopTable(base::EventLoop& loop, store::Table& table)
      : loop_(loop), table_(table) {}
  ~LoopTable() { *alive_ = false; }
  LoopTable(const LoopTable&) = delete;
  LoopTable& operator=(const LoopTable&) = delete;

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) {
    table_.Commit(std::move(transaction),
                  OnLoop<store::CommitResult>(std::move(done)));
  }

  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(store::ScanResult)> done) {
    table_.Scan(std::move(prefix), std::move(after), limit,
                OnLoop<store::ScanResult>(std::move(done)));
  }

  /// Runs `task` on the loop after `delay`, unless this is destroyed by then.
  base::TimerId After(base::Duration delay, std::function<void()> task) {
    return loop_.After(delay, [alive = alive_, task = std::move(task)] {
      if (*alive) task();
    });
  }

  void Cancel(base::TimerId timer) { loop_.Cancel(timer); }

  base::TimePoint Now() const { return loop_.Now(); }

 private:
  template <typename Result>
  std::function<void(Result)> OnLoop(std::function<void(Result)> done) {
    return [&loop = loop_, alive = alive_,
            done = std::move(done)](Result result) mutable {
      loop.Post([alive = std::move(alive), done = std::move(done),
                 result = std::move(result)]() mutable {
        if (*alive) done(std::move(result));
      });
    };
  }

  base::EventLoop& loop_;
  store::Table& table_;
  /// Read and written on the loop only.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_LOOP_TABLE_H_
