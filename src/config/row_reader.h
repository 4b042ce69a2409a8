#ifndef LAPISHATCH_CONFIG_ROW_READER_H_
#define LAPISHATCH_CONFIG_ROW_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/log_entry.h"

namespace lapishatch::config {

/// What a row says, or nothing and an event that names the row: one that makes
/// no sense must not take the process down, nor change what is in force.
std::optional<LogHead> HeadOf(const store::Row& row);
std::optional<std::vector<LogEntryPtr>> BatchOf(const store::Row& row);
std::optional<Resource> ResourceOf(const store::Row& row);

/// The same for what peers tell; `from` stands in the event.
std::optional<LogEntryPtr> EntryOf(std::string_view text,
                                   const std::string& from);
std::optional<LogSnapshot> SnapshotOf(std::string_view text,
                                      const std::string& from);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_ROW_READER_H_
