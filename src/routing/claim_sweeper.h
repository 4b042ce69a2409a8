#ifndef LAPISHATCH_ROUTING_CLAIM_SWEEPER_H_
#define LAPISHATCH_ROUTING_CLAIM_SWEEPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "routing/claim.h"
#include "store/store.h"

namespace lapishatch::routing {

struct ClaimSweeperOptions {
  /// How long an outcome can be had again by its key. After that the key is
  /// free, so callers must not repeat a request later than this.
  base::Duration keep_done{24L * 3600 * 1000};
  /// The same for a claim without an outcome; longer, since a second run of it
  /// is what a caller would be hurt by.
  base::Duration keep_unfinished{7L * 24 * 3600 * 1000};
  /// Released rows; longer than any write can be on its way.
  base::Duration keep_released{3600L * 1000};
  /// One page is read so often, plus up to as much again.
  base::Duration every{5'000};
  std::size_t page = 500;
};

/// Deletes old claims, so that the table stays bounded: reads a page of claims
/// now and then, beginning at a random place, and deletes the old ones in one
/// transaction that demands their versions. Every entry does so, without
/// agreement; two that meet cost one conflict. Age is counted to the newest
/// claim of the page or to the own clock, whichever is earlier, so that one
/// clock that runs ahead frees no key. Used from the callbacks of one loop.
class ClaimSweeper : public std::enable_shared_from_this<ClaimSweeper> {
 public:
  ClaimSweeper(base::EventLoop& loop, store::Table& table,
               std::function<std::int64_t()> unix_ms,
               ClaimSweeperOptions options, std::uint64_t seed);

  void Start();

 private:
  void Arm();
  void ReadPage();
  void OnPage(const store::RowPage& page);
  bool IsOld(const Claim& claim, std::int64_t now_unix_ms) const;
  std::string RandomPlace();

  base::EventLoop& loop_;
  store::Table& table_;
  std::function<std::int64_t()> unix_ms_;
  ClaimSweeperOptions options_;
  base::Random random_;
  /// Last key read; empty begins anew.
  std::string after_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_CLAIM_SWEEPER_H_
