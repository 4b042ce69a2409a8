#include "platform/row_store.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lapishatch::standins {

using store::Committed;
using store::Condition;
using store::Conflict;
using store::Row;
using store::RowPage;
using store::RowVersion;
using store::Transaction;
using store::Write;

RowStore::Outcome RowStore::Apply(const Transaction& transaction) {
  ShardSet shards;
  for (const auto& it : transaction.conditions) shards.set(IndexOf(it.key));
  for (const auto& it : transaction.writes) shards.set(IndexOf(it.key));
  const auto locks = Lock(shards);
  if (auto conflict = FindConflict(transaction.conditions)) return *conflict;
  Committed out;
  for (const auto& it : transaction.writes) out.versions.push_back(Put(it));
  return out;
}

std::optional<Row> RowStore::Find(const std::string& key) const {
  const auto& shard = shards_[IndexOf(key)];
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.rows.find(key);
  if (it == shard.rows.end()) return std::nullopt;
  return it->second;
}

RowPage RowStore::Page(const std::string& prefix, const std::string& after,
                       std::size_t limit) const {
  const auto locks = Lock(ShardSet().set());
  RowPage out;
  const auto first = std::max(prefix, after);
  for (const auto& shard : shards_) {
    std::size_t taken = 0;
    for (auto it = shard.rows.lower_bound(first); it != shard.rows.end();
         ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      if (it->first == after) continue;
      // One more than the limit tells whether there are more.
      if (taken++ > limit) break;
      out.rows.push_back(it->second);
    }
  }
  std::sort(out.rows.begin(), out.rows.end(),
            [](const Row& a, const Row& b) { return a.key < b.key; });
  out.more = out.rows.size() > limit;
  if (out.more) out.rows.resize(limit);
  return out;
}

std::size_t RowStore::size() const {
  const auto locks = Lock(ShardSet().set());
  std::size_t out = 0;
  for (const auto& it : shards_) out += it.rows.size();
  return out;
}

std::size_t RowStore::IndexOf(const std::string& key) {
  return std::hash<std::string>()(key) % kShards;
}

RowStore::Locks RowStore::Lock(const ShardSet& shards) const {
  Locks out;
  for (std::size_t i = 0; i < kShards; ++i) {
    if (shards.test(i)) out.emplace_back(shards_[i].mutex);
  }
  return out;
}

std::optional<Conflict> RowStore::FindConflict(
    const std::vector<Condition>& conditions) const {
  for (const auto& it : conditions) {
    const auto& rows = shards_[IndexOf(it.key)].rows;
    const auto row = rows.find(it.key);
    const auto present =
        row == rows.end() ? store::kAbsent : row->second.version;
    if (present != it.version) return Conflict{it.key, present};
  }
  return std::nullopt;
}

RowVersion RowStore::Put(const Write& write) {
  auto& rows = shards_[IndexOf(write.key)].rows;
  if (!write.value) {
    rows.erase(write.key);
    return store::kAbsent;
  }
  auto& row = rows[write.key];
  row = {write.key, *write.value, row.version + 1};
  return row.version;
}

}  // namespace lapishatch::standins
