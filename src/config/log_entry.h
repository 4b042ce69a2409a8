#ifndef LAPISHATCH_CONFIG_LOG_ENTRY_H_
#define LAPISHATCH_CONFIG_LOG_ENTRY_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/resource.h"
#include "config/resource_codec.h"
#include "store/store.h"

namespace lapishatch::config {

enum class EntryType : std::uint8_t { kPut, kDelete };

/// One change of one resource at one version of a log. Says everything by
/// itself, so that it can be told again to whoever missed it.
struct LogEntry {
  LogVersion version = 0;
  EntryType type = EntryType::kPut;
  /// After the change; before it, when it was a deletion.
  ResourcePtr resource;
  /// Of the transaction that wrote it.
  base::AttemptId attempt;
  /// The next version belongs to the same apply: the two are in force together
  /// or not at all.
  bool more = false;
};

using LogEntryPtr = std::shared_ptr<const LogEntry>;

/// An entry as text, in rows and in the inner protocol.
std::string ToText(const LogEntry& entry);

/// Fails with Problems.
boost::leaf::result<LogEntryPtr> ParseEntry(std::string_view text);

/// The head row of a log: the newest version, and which entries are kept.
struct LogHead {
  LogVersion version = 0;
  /// Entries below this version were compacted away.
  LogVersion first_kept = 1;
  /// Of the transaction that wrote the row.
  base::AttemptId attempt;
  /// Version of the row itself; not part of its value.
  store::RowVersion row_version = store::kAbsent;
};

inline constexpr std::string_view kHeadPrefix = "log/head/";

/// Keys of the rows. Entries of one transaction stand in one row, named after
/// the last of them, so that a scan after the row of version V gives what
/// follows V.
std::string HeadKey(LogId log);
std::string EntryPrefix(LogId log);
std::string EntryKey(LogId log, LogVersion last);
std::string ResourcePrefix(ResourceKind kind);
std::string ResourceKey(const ResourceRef& ref);

std::string ToText(const LogHead& head);

/// Fails with Problems.
boost::leaf::result<LogHead> ParseHead(const store::Row& row);

/// The value of an entry row.
std::string BatchText(const std::vector<LogEntryPtr>& entries);

/// Fails with Problems.
boost::leaf::result<std::vector<LogEntryPtr>> ParseBatch(std::string_view text);

/// Everything a log says at one version, for a process that starts while the
/// table is out.
struct LogSnapshot {
  LogId log = LogId::kConfig;
  LogVersion version = 0;
  std::vector<ResourcePtr> resources;
  /// The last entries up to `version`, so that watches can resume.
  std::vector<LogEntryPtr> recent;
  /// Entries after `version` of an apply that has not come as a whole.
  std::vector<LogEntryPtr> pending;
};

std::string ToText(const LogSnapshot& snapshot);

/// Fails with Problems.
boost::leaf::result<LogSnapshot> ParseSnapshot(std::string_view text);

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::EntryType> {
  static constexpr std::array<std::string_view, 2> kNames = {"put", "delete"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_CONFIG_LOG_ENTRY_H_
