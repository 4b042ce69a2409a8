#ifndef LAPISHATCH_CONFIG_LOG_COMPACTOR_H_
#define LAPISHATCH_CONFIG_LOG_COMPACTOR_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "config/log_entry.h"
#include "config/loop_table.h"

namespace lapishatch::config {

/// Removes the oldest entries of a log, so that the table does not grow for
/// ever: one transaction that demands the head as it was read, raises its first
/// kept version and deletes rows. A change or another compaction in between
/// makes it fail without effect.
class LogCompactor : public std::enable_shared_from_this<LogCompactor> {
 public:
  struct Limits {
    /// Newest entries that stay.
    std::size_t keep = 0;
    /// Rows removed at once.
    std::size_t rows = 0;
  };

  /// Calls `done` once on the loop, with whether nothing is left to remove.
  static void Compact(LoopTable& table, LogId log, Limits limits,
                      std::function<void(bool)> done);

 private:
  LogCompactor(LoopTable& table, LogId log, Limits limits,
               std::function<void(bool)> done);

  void ReadHead();
  void TakeHead(const store::ScanResult& result);
  void TakeRows(const store::ScanResult& result);
  void Remove(const std::vector<std::string>& keys, LogVersion last);

  LoopTable& table_;
  LogId log_;
  Limits limits_;
  std::function<void(bool)> done_;
  LogHead head_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_LOG_COMPACTOR_H_
