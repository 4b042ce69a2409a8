#ifndef LAPISHATCH_STORE_READ_BACK_H_
#define LAPISHATCH_STORE_READ_BACK_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "base/base.h"
#include "store/table.h"

namespace lapishatch::store {

/// The write took effect: the row carries its attempt id.
struct TookEffect {
  Row row;
};

/// Exactly one write has changed the row since, and it was another's: this one
/// did not take effect and, as its condition on the row no longer holds, never
/// will.
struct Overtaken {
  Row row;
};

/// The row is as it was when the write was made. The write may still be on its
/// way: to be certain that it never takes effect, first change the row under
/// the same condition.
struct Unchanged {
  std::optional<Row> row;
};

/// Nothing can be said: the row could not be read, or has changed so often that
/// this write may have been one of the changes.
struct StillUnknown {
  std::string detail;
};

using ReadBackResult =
    std::variant<TookEffect, Overtaken, Unchanged, StillUnknown>;

/// A write of which the outcome is unknown.
struct UnknownWrite {
  std::string key;
  /// The version that the transaction demanded of the row.
  RowVersion demanded = kAbsent;
  /// What the written value carries in its field `attempt`.
  base::AttemptId attempt;
};

struct ReadBackOptions {
  base::Duration first_delay{50};
  base::Duration longest_delay{2'000};
  /// Reading is repeated until the row says something certain, or for so long.
  base::Duration patience{10'000};
};

/// Whether the row value `value` (a JSON object) has the attempt id `attempt`
/// in its field `attempt`.
bool CarriesAttempt(const std::string& value, const base::AttemptId& attempt);

/// What one reading of the row says of the write. Pure.
ReadBackResult Interpret(const UnknownWrite& write, const ReadResult& reading);

/// Reads the row after an unknown outcome, at once and then with jittered
/// backoff, until it is certain whether the write took effect or patience ends.
/// `done` runs on `loop`. `table` and `loop` must outlive the call.
void ReadBack(Table& table, base::EventLoop& loop, UnknownWrite write,
              ReadBackOptions options,
              std::function<void(ReadBackResult)> done);

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_READ_BACK_H_
