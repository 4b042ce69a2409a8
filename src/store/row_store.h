#ifndef LAPISHATCH_STORE_ROW_STORE_H_
#define LAPISHATCH_STORE_ROW_STORE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "store/table.h"

namespace lapishatch::store {

/// Where a row lies. Rows of one part can be changed together; the table only
/// groups rows for reading and following.
struct RowAddress {
  std::string table;
  std::string part;
  std::string key;

  friend auto operator<=>(const RowAddress&, const RowAddress&) = default;
};

/// A row as of some moment. Versions come from one counter of the whole store,
/// which every transaction raises: a later write of any row has a higher one.
struct StoredRow {
  RowAddress address;
  std::string value;
  RowVersion version = kAbsent;
  /// Only in a feed: the row is gone since `version`.
  bool is_deleted = false;
};

/// Demands that a row has exactly this version, kAbsent for none.
struct RowCondition {
  std::string table;
  std::string key;
  RowVersion version = kAbsent;
};

struct RowPut {
  std::string table;
  std::string key;
  std::string value;
};

struct RowRemoval {
  std::string table;
  std::string key;
};

/// All conditions hold and all writes take effect, or nothing happens. Every
/// row lies in `part`.
struct RowTransaction {
  std::string part;
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<RowRemoval> removals;
};

/// Entries and bytes that one transaction may hold.
inline constexpr std::size_t kMaxTransactionEntries = 100;
inline constexpr std::size_t kMaxTransactionBytes = 1'000'000;

/// The transaction took effect; every row that it wrote has this version.
struct RowsCommitted {
  RowVersion version = kAbsent;
};

/// A condition did not hold, nothing was written. `present` holds the rows of
/// the conditions as they are; one that is missing there does not exist.
struct RowsConflict {
  std::vector<StoredRow> present;
};

/// Version that a conflict shows of row `key` of `table`; kAbsent if the row
/// does not exist or is not in a condition.
inline RowVersion VersionIn(const RowsConflict& conflict,
                            std::string_view table, std::string_view key) {
  for (const auto& it : conflict.present) {
    if (it.address.table == table && it.address.key == key) return it.version;
  }
  return kAbsent;
}

/// NotDone and UnknownOutcome mean what they mean for a Table.
using RowsResult =
    std::variant<RowsCommitted, RowsConflict, NotDone, UnknownOutcome>;

/// Rows of one part of a table with keys in [from, until), in order of key; an
/// empty `until` has no end.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string until;
  std::size_t limit = 500;
  /// The call fails without an answer after this time.
  base::Duration answer_timeout{1'500};
};

/// A call for the changes of `table`, in any part, after version `after`.
struct FeedRequest {
  std::string table;
  RowVersion after = kAbsent;
  /// How long the store waits for a change.
  base::Duration wait{0};
  /// The call fails without an answer after `wait` and this time.
  base::Duration answer_timeout{700};
};

/// The least key after `key`: keys are printable and hold no blank.
inline std::string KeyAfter(const std::string& key) { return key + ' '; }

/// The range that holds row `key` alone.
inline RowRange OneRow(std::string_view table, const std::string& part,
                       const std::string& key) {
  return {std::string(table), part, key, KeyAfter(key), 1};
}

struct RowsRead {
  std::vector<StoredRow> rows;
  /// Rows of the range after the last one exist.
  bool has_more = false;
  /// The store's newest version at the moment of reading.
  RowVersion as_of = kAbsent;
};

using RowsReadResult = std::variant<RowsRead, ReadFailed>;

/// Changed rows in order of version; `as_of` is where to go on.
struct RowsChanged {
  std::vector<StoredRow> rows;
  RowVersion as_of = kAbsent;
  /// Whether there may be further changes after `as_of` already, because the
  /// answer is as large as the store permits.
  bool may_have_more = false;
};

/// The history after the version asked for is gone: read the table whole.
struct HistoryGone {};

using RowsFeedResult = std::variant<RowsChanged, HistoryGone, ReadFailed>;

struct PartsRead {
  std::vector<std::string> parts;
};

using PartsResult = std::variant<PartsRead, ReadFailed>;

/// A store of rows with one counter of versions and a feed of changes. Reads
/// are linearisable. Every call ends in exactly one callback, on the caller's
/// event loop.
class RowStore {
 public:
  virtual ~RowStore() = default;

  virtual void Commit(RowTransaction transaction,
                      std::function<void(RowsResult)> done) = 0;

  virtual void Read(RowRange range,
                    std::function<void(RowsReadResult)> done) = 0;

  /// All parts of `table` that hold rows.
  virtual void Parts(std::string table,
                     std::function<void(PartsResult)> done) = 0;

  /// Answers as soon as there is a change, or at the end of the wait.
  virtual void Feed(FeedRequest request,
                    std::function<void(RowsFeedResult)> done) = 0;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_ROW_STORE_H_
