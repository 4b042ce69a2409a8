#ifndef LAPISHATCH_CONFIG_LOG_LOADER_H_
#define LAPISHATCH_CONFIG_LOG_LOADER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/log_entry.h"
#include "config/loop_table.h"

namespace lapishatch::config {

/// Reads a whole log from the table while others write it: the head, then the
/// resource rows, then the entries up to the newest, which bring rows that were
/// read early up to the state of those read late.
class LogLoader : public std::enable_shared_from_this<LogLoader> {
 public:
  using Done = std::function<void(std::optional<LogSnapshot>)>;

  struct Limits {
    /// Rows per read.
    std::size_t page = 128;
    /// Last entries to bring along.
    std::size_t recent = 0;
  };

  /// Calls `done` once on the loop, with nothing when the table could not be
  /// read or what was read makes no sense. `table` must outlive the loading.
  static void Load(LoopTable& table, LogId log, Limits limits, Done done);

 private:
  LogLoader(LoopTable& table, LogId log, Limits limits, Done done);

  void ReadHead();
  void TakeHead(const store::ScanResult& result);
  void ReadKind(std::size_t kind_index, std::string after);
  void TakeKind(std::size_t kind_index, const store::ScanResult& result);
  void ReadEntries(std::string after);
  void TakeEntries(const store::ScanResult& result);
  void Replay();
  bool IsConsecutive() const;
  void Finish();
  void Fail(const std::string& detail);

  LoopTable& table_;
  LogId log_;
  Limits limits_;
  Done done_;
  std::vector<ResourceKind> kinds_;
  LogHead head_;
  std::map<ResourceRef, ResourcePtr> resources_;
  std::vector<LogEntryPtr> entries_;
};

/// The version of the last change of a resource, spec or status.
LogVersion LastChange(const Resource& resource);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_LOG_LOADER_H_
