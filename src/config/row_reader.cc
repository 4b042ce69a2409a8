#include "config/row_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lapishatch::config {
namespace {

namespace leaf = boost::leaf;

template <typename Value, typename Parse>
std::optional<Value> Try(const std::string& key, Parse parse) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, parse());
        return std::optional<Value>(std::move(value));
      },
      [&key](const Problems& problems) {
        base::Log(base::events::kRowUnreadable,
                  {{"key", key}, {"detail", TextOf(problems)}});
        return std::optional<Value>();
      },
      [] { return std::optional<Value>(); });
}

}  // namespace

std::optional<LogHead> HeadOf(const store::Row& row) {
  return Try<LogHead>(row.key, [&row] { return ParseHead(row); });
}

std::optional<std::vector<LogEntryPtr>> BatchOf(const store::Row& row) {
  return Try<std::vector<LogEntryPtr>>(
      row.key, [&row] { return ParseBatch(row.value); });
}

std::optional<Resource> ResourceOf(const store::Row& row) {
  return Try<Resource>(row.key, [&row] { return ParseStored(row.value); });
}

std::optional<LogEntryPtr> EntryOf(std::string_view text,
                                   const std::string& from) {
  return Try<LogEntryPtr>(from, [text] { return ParseEntry(text); });
}

std::optional<LogSnapshot> SnapshotOf(std::string_view text,
                                      const std::string& from) {
  return Try<LogSnapshot>(from, [text] { return ParseSnapshot(text); });
}

}  // namespace lapishatch::config
