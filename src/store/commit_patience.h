#ifndef LAPISHATCH_STORE_COMMIT_PATIENCE_H_
#define LAPISHATCH_STORE_COMMIT_PATIENCE_H_

#include <algorithm>

#include "base/base.h"

namespace lapishatch::store {

struct CommitPatienceOptions {
  /// While the store is as fast as usual. What has no answer by then is looked
  /// up: an owner whose renewal was done and not answered would lose its lease
  /// by waiting longer.
  base::Duration least{1'000};
  /// A renewal that is given up after so long is just in time.
  base::Duration most{1'700};
  /// What a transaction takes, in reads; both become slower together.
  int reads_per_commit = 3;
  /// Room for one call that takes longer than the last.
  double margin = 1.3;
};

/// How long a transaction is waited for: longer when the calls answered last
/// show that the store is slow. In a store that takes longer than a fixed wait
/// no transaction would ever be answered, and nothing started, recorded or
/// taken over until it is fast again.
class CommitPatience {
 public:
  explicit CommitPatience(CommitPatienceOptions options) : options_(options) {}

  /// A read was answered after `took`.
  void OnRead(base::Duration took) {
    expected_ = took * options_.reads_per_commit;
  }

  /// A transaction was answered after `took`, in time or not.
  void OnCommit(base::Duration took) { expected_ = took; }

  base::Duration Timeout() const {
    const base::Duration wanted(static_cast<std::int64_t>(
        options_.margin * static_cast<double>(expected_.count())));
    return std::clamp(wanted, options_.least, options_.most);
  }

 private:
  const CommitPatienceOptions options_;
  /// What a transaction takes by the call that was answered last.
  base::Duration expected_{0};
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_COMMIT_PATIENCE_H_
