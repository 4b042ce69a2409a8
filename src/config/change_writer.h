#ifndef LAPISHATCH_CONFIG_CHANGE_WRITER_H_
#define LAPISHATCH_CONFIG_CHANGE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/base.h"
#include "config/capacity.h"
#include "config/change.h"
#include "config/mirror.h"
#include "config/settings.h"
#include "store/store.h"

namespace lapishatch::config {

/// Settings of the writer of changes.
struct WriterOptions {
  /// Most log entries in one transaction.
  std::size_t group = 64;
  /// Most sets that wait; a further one is refused at once.
  std::size_t max_waiting = 2'048;
  /// How long a set may be tried before it is given up.
  base::Duration patience{3'000};
  /// How long the outcome of a transaction is asked for before the operator is
  /// told that it is unknown.
  base::Duration unknown_patience{6'000};
  /// Pause after a lost race or a refusal of the table: first and longest.
  base::Duration retry_first{4};
  base::Duration retry_limit{60};
  /// How long a writer gives way to others after a commit: a reading and a
  /// writing of the table, and some.
  base::Duration give_way{20};
  /// The same at most, while races are lost.
  base::Duration contention_window{120};
  /// Entries of a log that stay in the table.
  std::size_t keep_entries = 20'000;
  std::uint64_t seed = 1;
};

/// The section [changes].
Section Describe(WriterOptions& options);

/// What a writer works with. All must outlive it.
struct WriterPorts {
  base::EventLoop& loop;
  store::Table& table;
  /// On the same loop.
  Mirror& mirror;
  /// May be null.
  const Capacity* capacity = nullptr;
  /// May be null.
  base::MetricRegistry* metrics = nullptr;
  /// Now, in ms since 1970. Empty: the machine's clock.
  std::function<std::int64_t()> wall_clock_ms = nullptr;
};

/// Writes changes into the logs. One transaction holds all sets that wait in
/// this process (group commit): it demands the log heads that the sets were
/// judged against, and writes the resources, the entries and the new heads. Of
/// racing writers exactly one wins; the others judge their sets again against
/// what won.
class ChangeWriter {
 public:
  using Done = std::function<void(ChangeOutcome)>;

  ChangeWriter(WriterOptions options, WriterPorts ports);
  ~ChangeWriter();
  ChangeWriter(const ChangeWriter&) = delete;
  ChangeWriter& operator=(const ChangeWriter&) = delete;

  /// Calls `done` once, on the loop. Safe from any thread.
  void Submit(ChangeSet set, Done done);

  /// Removes entries beyond those to be kept. Several processes may do so at
  /// once. On the loop; `done` gets whether nothing is left to remove.
  void Compact(LogId log, std::function<void(bool)> done);

  /// Transactions that took effect and that lost a race, for measurements. On
  /// the loop.
  std::uint64_t committed() const;
  std::uint64_t conflicts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_CHANGE_WRITER_H_
