#ifndef LAPISHATCH_STORE_STORE_HEALTH_H_
#define LAPISHATCH_STORE_STORE_HEALTH_H_

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "store/commit_patience.h"
#include "store/row_store.h"

namespace lapishatch::store {

struct StoreHealthOptions {
  /// Without an answer for so long, the store is probed.
  base::Duration probe_after{400};
  base::Duration probe_every{300};
  /// Without an answer for so long it counts as out. Above what a call takes
  /// when the store is slow, so that slowness is no outage.
  base::Duration out_after{1'200};
  /// The same when calls are refused or broken off rather than unanswered.
  base::Duration refused_after{300};
  CommitPatienceOptions patience;
};

/// A store that keeps count of whether it answers, and how fast. While nothing
/// else is asked of it, it is probed by a read of one row, so that who must
/// refuse without it knows so before a caller waits. A transaction without an
/// answer is given up, as of unknown outcome, when it takes longer than the
/// store's present pace explains; the store below must wait at least so long.
class MonitoredStore final : public RowStore {
 public:
  MonitoredStore(base::EventLoop& loop, RowStore& store,
                 StoreHealthOptions options);
  ~MonitoredStore() override;

  void Start();

  /// Whether the store is known not to answer this process now.
  bool IsOut() const;

  void Commit(RowTransaction transaction,
              std::function<void(RowsResult)> done) override;
  void Read(RowRange range, std::function<void(RowsReadResult)> done) override;
  void Parts(std::string table, std::function<void(PartsResult)> done) override;
  void Feed(FeedRequest request,
            std::function<void(RowsFeedResult)> done) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_STORE_HEALTH_H_
