#ifndef LAPISHATCH_STORE_TABLE_H_
#define LAPISHATCH_STORE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lapishatch::store {

/// Version of a row: the table counts it up at each write of that row; 0 is a
/// row that is not there.
using RowVersion = std::uint64_t;

inline constexpr RowVersion kAbsent = 0;

/// A row of the platform's table. `value` is JSON text.
struct Row {
  std::string key;
  std::string value;
  RowVersion version = kAbsent;
};

/// Demands that a row has exactly this version (kAbsent: is not there) when the
/// transaction commits.
struct Condition {
  std::string key;
  RowVersion version = kAbsent;
};

/// Writes `value` to a row, or deletes it when there is none.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

/// All conditions hold and all writes take effect, or nothing happens. Every
/// transaction that creates or replaces a row should carry an attempt id inside
/// the value, so that a reader can tell after an unknown outcome whether it was
/// this one that took effect.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The transaction took effect.
struct Committed {
  /// The new version of each written row, in the order of the writes.
  std::vector<RowVersion> versions;
};

/// A condition did not hold; nothing was written.
struct Conflict {
  std::string key;
  RowVersion present_version = kAbsent;
};

/// The transaction certainly had no effect: it never left this process, or the
/// table refused it unread.
struct NotDone {
  std::string detail;
};

/// The transaction may or may not have taken effect: read back before any
/// decision.
struct UnknownOutcome {
  std::string detail;
};

using CommitResult = std::variant<Committed, Conflict, NotDone, UnknownOutcome>;

/// The table could not be read.
struct ReadFailed {
  std::string detail;
  /// The service answered that it cannot serve the call at present, for a
  /// reason other than the caller's rate.
  bool is_unavailable = false;
};

/// The row, or nothing when there is none.
using ReadResult = std::variant<std::optional<Row>, ReadFailed>;

/// One page of rows in order of key.
struct RowPage {
  std::vector<Row> rows;
  /// Whether rows after the last may exist.
  bool more = false;
};

using ScanResult = std::variant<RowPage, ReadFailed>;

/// The platform's transactional table service. Every call ends in exactly one
/// callback, within the implementation's timeout. Reads are linearisable unless
/// the service lags (see the implementation).
class Table {
 public:
  virtual ~Table() = default;

  virtual void Commit(Transaction transaction,
                      std::function<void(CommitResult)> done) = 0;

  virtual void Read(std::string key, std::function<void(ReadResult)> done) = 0;

  /// Rows whose key begins with `prefix` and is greater than `after`, at most
  /// `limit`.
  virtual void Scan(std::string prefix, std::string after, std::size_t limit,
                    std::function<void(ScanResult)> done) = 0;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_TABLE_H_
