#include "store/row_feed.h"

#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lapishatch::store {
namespace {

/// Returns a deletion for each of the `known_keys` that is not among `rows`.
std::vector<StoredRow> DeletionsOfMissingRows(
    std::set<std::string> known_keys, const std::vector<StoredRow>& rows,
    RowVersion as_of) {
  for (const auto& it : rows) known_keys.erase(it.address.key);
  std::vector<StoredRow> out;
  for (const auto& it : known_keys) {
    StoredRow deletion;
    deletion.address.key = it;
    deletion.is_deleted = true;
    deletion.version = as_of;
    out.push_back(std::move(deletion));
  }
  return out;
}

FollowerEvents FollowerEventsFor(RowFeedEvents events) {
  const auto known_keys = std::make_shared<std::set<std::string>>();
  const auto on_changes = [events = std::move(events), known_keys](
                              const std::vector<StoredRow>& rows,
                              RowVersion as_of) {
    for (const auto& it : rows) {
      if (!it.is_deleted) known_keys->insert(it.address.key);
      events.on_row(it);
    }
    events.on_version(as_of);
  };
  const auto on_snapshot = [on_changes, known_keys](std::vector<StoredRow> rows,
                                                    RowVersion as_of) {
    auto deletions =
        DeletionsOfMissingRows(std::exchange(*known_keys, {}), rows, as_of);
    rows.insert(rows.begin(), deletions.begin(), deletions.end());
    on_changes(rows, as_of);
  };
  return {on_snapshot, on_changes, nullptr};
}

}  // namespace

RowFeed::RowFeed(base::EventLoop& loop, RowStore& store, std::string table,
                 FollowerOptions options, RowFeedEvents events,
                 std::function<base::TimePoint()> clock)
    : follower_(loop, store, std::move(table), {""}, options,
                FollowerEventsFor(std::move(events)), std::move(clock)) {}

}  // namespace lapishatch::store
