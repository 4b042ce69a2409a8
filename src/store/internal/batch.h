#ifndef LAPISHATCH_STORE_INTERNAL_BATCH_H_
#define LAPISHATCH_STORE_INTERNAL_BATCH_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/base.h"
#include "store/table.h"

namespace lapishatch::store::internal {

/// A transaction that waits to be sent, or is under way.
struct Pending {
  Transaction transaction;
  std::function<void(CommitResult)> done;
  base::TimePoint latest_start;
};

/// Transactions that can take effect together as one. Pure.
class Batch {
 public:
  /// Whether `transaction` is independent of all in the batch.
  bool Accepts(const Transaction& transaction) const;

  void Add(Pending pending);

  bool empty() const { return members_.empty(); }
  std::size_t size() const { return members_.size(); }
  std::size_t bytes() const { return bytes_; }

  /// All members as one transaction: each condition once, the writes in order
  /// of the members.
  Transaction Merged() const;

  /// Answers every member with its part of `committed`.
  void AnswerCommitted(const Committed& committed);

  /// Answers every member with `result`, which is NotDone or UnknownOutcome.
  void AnswerAll(const CommitResult& result);

  /// Answers the members that demand what `conflict` says does not hold and
  /// returns the others. All are answered when none demands it (the service
  /// contradicts itself).
  std::vector<Pending> AnswerConflict(const Conflict& conflict);

 private:
  std::vector<Pending> members_;
  std::unordered_set<std::string> written_;
  std::unordered_map<std::string, RowVersion> demanded_;
  std::size_t bytes_ = 0;
};

/// Bytes of the keys and values of `transaction`.
std::size_t BytesOf(const Transaction& transaction);

}  // namespace lapishatch::store::internal

#endif  // LAPISHATCH_STORE_INTERNAL_BATCH_H_
