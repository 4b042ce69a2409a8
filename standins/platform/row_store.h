#ifndef LAPISHATCH_STANDINS_PLATFORM_ROW_STORE_H_
#define LAPISHATCH_STANDINS_PLATFORM_ROW_STORE_H_

#include <array>
#include <bitset>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "store/store.h"

namespace lapishatch::standins {

/// The rows of the stand-in's table, in shards by key, each under its own lock.
/// A transaction locks the shards of its keys in order, so it is atomic and two
/// cannot wait for each other. Like the weakest real table, it forgets the
/// version of a deleted row.
class RowStore {
 public:
  using Outcome = std::variant<store::Committed, store::Conflict>;

  Outcome Apply(const store::Transaction& transaction);

  std::optional<store::Row> Find(const std::string& key) const;

  /// A snapshot: all shards are locked.
  store::RowPage Page(const std::string& prefix, const std::string& after,
                      std::size_t limit) const;

  std::size_t size() const;

 private:
  static constexpr std::size_t kShards = 16;

  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, store::Row> rows;
  };

  using ShardSet = std::bitset<kShards>;
  using Locks = std::vector<std::unique_lock<std::mutex>>;

  static std::size_t IndexOf(const std::string& key);
  Locks Lock(const ShardSet& shards) const;
  std::optional<store::Conflict> FindConflict(
      const std::vector<store::Condition>& conditions) const;
  store::RowVersion Put(const store::Write& write);

  std::array<Shard, kShards> shards_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_PLATFORM_ROW_STORE_H_
