#ifndef LAPISHATCH_CONFIG_CHANGE_BATCH_H_
#define LAPISHATCH_CONFIG_CHANGE_BATCH_H_

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/draft.h"
#include "store/store.h"

namespace lapishatch::config {

/// A set that waits for its outcome.
struct WaitingSet {
  ChangeSet set;
  std::function<void(ChangeOutcome)> done;
  base::TimePoint submitted;
};

/// One transaction for several sets, and what each set gets when it has taken
/// effect.
struct ChangeBatch {
  base::AttemptId attempt;
  /// One per set, in order.
  std::vector<ChangeOutcome> outcomes;
  std::array<std::vector<LogEntryPtr>, base::kEnumSize<LogId>> entries;
  store::Transaction transaction;
  /// The head rows as the transaction would leave them, without row versions.
  LogHeads heads;
  /// Where each head stands among the writes; none when it is not written.
  std::array<std::optional<std::size_t>, base::kEnumSize<LogId>> head_writes;

  bool writes() const { return !transaction.writes.empty(); }
};

/// Judges the sets, one after the other, against the mirror, which must be at
/// the versions of `heads`, and puts those that can be accepted into one
/// transaction.
ChangeBatch MakeBatch(const std::vector<WaitingSet>& sets, const Mirror& mirror,
                      const LogHeads& heads, const Judge& judge);

/// The key of the row in which the owner of a cell keeps a job's status.
std::string StatusKey(const std::string& job);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_CHANGE_BATCH_H_
