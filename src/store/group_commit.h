#ifndef LAPISHATCH_STORE_GROUP_COMMIT_H_
#define LAPISHATCH_STORE_GROUP_COMMIT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/base.h"
#include "store/table.h"

namespace lapishatch::store {

struct GroupCommitOptions {
  /// Transactions that may wait; one more is NotDone at once.
  std::size_t max_waiting = 4096;
  /// A transaction that has waited for so long without being sent is NotDone.
  base::Duration max_wait{1'000};
  /// Transactions merged into one write to the service.
  std::size_t max_batch = 64;
  /// Bytes of keys and values merged into one write; a larger transaction goes
  /// alone.
  std::size_t max_batch_bytes = 256 * 1024;
  /// Writes to the service under way at once.
  std::size_t max_in_flight = 4;
  /// This process's share of the service's writes a second; 0 is unlimited.
  /// Above it transactions wait and so merge more.
  double writes_per_s = 0;
  /// So many writes in a row without an answer take the service to be down.
  int failures_until_down = 3;
  /// While it is down, one read probes it after each of these delays, jittered
  /// so that many processes do not probe together.
  base::Duration first_probe{200};
  base::Duration longest_probe{5'000};
  /// The row that a probe reads; it need not exist.
  std::string probe_key = "probe";
  std::uint64_t random_seed = 1;
};

/// What a GroupCommitTable has done since it was made.
struct GroupCommitCounts {
  /// Transactions taken, refused ones included.
  std::uint64_t transactions = 0;
  /// Writes sent to the service.
  std::uint64_t writes = 0;
  /// Transactions that a conflict of another one in the same write sent again.
  std::uint64_t repeated = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_late = 0;
  std::uint64_t refused_down = 0;
  /// Times that the service was taken to be down.
  std::uint64_t outages = 0;
};

/// Merges independent transactions that wait together into one write to the
/// service, and keeps callers from waiting for a service that is down.
///
/// A transaction is sent at once while fewer than `max_in_flight` writes are
/// under way and the rate allows, so that merging costs no time at low load.
/// Transactions merge when no row that one writes is touched by another, and
/// rows that only conditions name are demanded at the same version. When a
/// merged write meets a conflict, those whose condition failed are answered
/// and the others are sent again: each repetition settles one transaction at
/// least, so that merging never costs more writes than sending them singly.
///
/// While the service is down, commits are NotDone and reads fail at once. After
/// a probe has been answered, one write at a time goes out, and each answered
/// one allows one more, up to `max_in_flight`.
///
/// Callbacks run on `loop`. `inner` and `loop` must outlive the table; calls
/// still open when it is destroyed are dropped.
class GroupCommitTable final : public Table {
 public:
  GroupCommitTable(Table& inner, base::EventLoop& loop,
                   GroupCommitOptions options);
  ~GroupCommitTable() override;
  GroupCommitTable(const GroupCommitTable&) = delete;
  GroupCommitTable& operator=(const GroupCommitTable&) = delete;

  void Commit(Transaction transaction,
              std::function<void(CommitResult)> done) override;
  void Read(std::string key, std::function<void(ReadResult)> done) override;
  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(ScanResult)> done) override;

  /// Safe from any thread.
  GroupCommitCounts counts() const;

  /// Whether the service is taken to be down. Safe from any thread.
  bool is_down() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_GROUP_COMMIT_H_
