#ifndef LAPISHATCH_ROUTING_CLAIM_KEEPER_H_
#define LAPISHATCH_ROUTING_CLAIM_KEEPER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "routing/adaptive_window.h"
#include "routing/claim.h"
#include "store/store.h"

namespace lapishatch::routing {

struct ClaimKeeperOptions {
  AdaptiveWindowOptions window;
  /// Bodies up to this size stay in the row, larger ones go to the object
  /// store.
  std::size_t max_inline_bytes = 4 * 1024;
  /// What may wait to be written; with more, no new claim is taken.
  std::size_t max_pending = 4096;
  std::size_t max_pending_bytes = 32 * 1024 * 1024;
  /// How often waiting work looks for a place in the window.
  base::Duration tick{50};
};

/// Brings claims to their last state, however long the platform is out: each
/// write is tried, read back after a lost answer, and tried again until it is
/// certain. What waits is bounded; Full() then stops new claims at the door.
/// Used from the callbacks of one loop.
class ClaimKeeper : public std::enable_shared_from_this<ClaimKeeper> {
 public:
  using Done = std::function<void()>;

  ClaimKeeper(base::EventLoop& loop, store::Table& table,
              store::ObjectStore& objects, ClaimKeeperOptions options,
              std::uint64_t seed);
  ~ClaimKeeper();
  ClaimKeeper(const ClaimKeeper&) = delete;
  ClaimKeeper& operator=(const ClaimKeeper&) = delete;

  /// Writes the final state of `claim` (done or unknown) over the row's
  /// `version`, which is this attempt's claim. Calls `done` when it stands.
  void Record(Claim claim, store::RowVersion version, Done done);

  /// Makes certain that no claim of this attempt stands or can come to stand: a
  /// row of ours is released, and where a lost write of ours may still arrive,
  /// a released row is put in its way.
  void Release(Claim claim);

  /// What waits for the row of a key, or nothing. An outcome that waits to be
  /// recorded can be answered from here.
  const Claim* PendingOn(const std::string& row_key) const;

  /// Whether more must not be taken on.
  bool Full() const;

  std::size_t pending() const { return tasks_.size(); }

 private:
  struct Task;
  using TaskPtr = std::shared_ptr<Task>;

  void Add(TaskPtr task);
  void StartSome();
  void Begin(const TaskPtr& task);
  void StoreObject(const TaskPtr& task);
  void Commit(const TaskPtr& task);
  void OnCommit(const TaskPtr& task, const store::CommitResult& result);
  void ReadRow(const TaskPtr& task);
  void OnRow(const TaskPtr& task, const std::optional<store::Row>& row);
  void TryAgain(const TaskPtr& task);
  void Finish(const TaskPtr& task);
  void Leave(const TaskPtr& task, bool succeeded);
  void Tick();

  base::EventLoop& loop_;
  store::Table& table_;
  store::ObjectStore& objects_;
  ClaimKeeperOptions options_;
  base::Random random_;
  AdaptiveWindow window_;
  std::deque<TaskPtr> waiting_;
  std::unordered_map<std::string, TaskPtr> tasks_;
  std::size_t pending_bytes_ = 0;
  bool ticking_ = false;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_CLAIM_KEEPER_H_
