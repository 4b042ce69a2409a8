#include "routing/claim_keeper.h"

#include <utility>
#include <variant>

namespace lapishatch::routing {

struct ClaimKeeper::Task {
  std::string row_key;
  /// The row as it shall be.
  Claim claim;
  /// The version that the next write replaces.
  store::RowVersion version = store::kAbsent;
  /// Whether the row must be read before the next write.
  bool read_first = false;
  bool object_stored = false;
  std::size_t bytes = 0;
  base::TimePoint started{};
  Done done;
};

ClaimKeeper::ClaimKeeper(base::EventLoop& loop, store::Table& table,
                         store::ObjectStore& objects,
                         ClaimKeeperOptions options, std::uint64_t seed)
    : loop_(loop),
      table_(table),
      objects_(objects),
      options_(options),
      random_(seed),
      window_(options.window) {}

ClaimKeeper::~ClaimKeeper() = default;

void ClaimKeeper::Record(Claim claim, store::RowVersion version, Done done) {
  auto task = std::make_shared<Task>();
  task->row_key = ClaimRowKey(claim.organisation, claim.key);
  task->bytes = claim.outcome.body.size();
  task->claim = std::move(claim);
  task->version = version;
  task->object_stored = task->bytes <= options_.max_inline_bytes;
  task->done = std::move(done);
  Add(std::move(task));
}

void ClaimKeeper::Release(Claim claim) {
  auto task = std::make_shared<Task>();
  task->row_key = ClaimRowKey(claim.organisation, claim.key);
  task->claim = std::move(claim);
  task->claim.state = ClaimState::kReleased;
  task->read_first = true;
  task->object_stored = true;
  Add(std::move(task));
}

const Claim* ClaimKeeper::PendingOn(const std::string& row_key) const {
  const auto it = tasks_.find(row_key);
  return it == tasks_.end() ? nullptr : &it->second->claim;
}

bool ClaimKeeper::Full() const {
  return tasks_.size() >= options_.max_pending ||
         pending_bytes_ >= options_.max_pending_bytes;
}

void ClaimKeeper::Add(TaskPtr task) {
  pending_bytes_ += task->bytes;
  tasks_[task->row_key] = task;
  waiting_.push_back(std::move(task));
  StartSome();
}

void ClaimKeeper::StartSome() {
  while (!waiting_.empty() && window_.TryStart(loop_.Now())) {
    const auto task = std::move(waiting_.front());
    waiting_.pop_front();
    Begin(task);
  }
  if (waiting_.empty() || ticking_) return;
  ticking_ = true;
  loop_.After(options_.tick, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

void ClaimKeeper::Tick() {
  ticking_ = false;
  StartSome();
}

void ClaimKeeper::Begin(const TaskPtr& task) {
  task->started = loop_.Now();
  if (!task->object_stored) {
    StoreObject(task);
  } else if (task->read_first) {
    ReadRow(task);
  } else {
    Commit(task);
  }
}

void ClaimKeeper::StoreObject(const TaskPtr& task) {
  const auto name = "outcomes/" + task->claim.attempt.str();
  objects_.Put(
      name, task->claim.outcome.body,
      [weak = weak_from_this(), task, name](const store::PutResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        self->loop_.Post(
            [weak, task, name,
             stored = std::holds_alternative<store::Stored>(result)] {
              const auto keeper = weak.lock();
              if (!keeper) return;
              if (!stored) return keeper->TryAgain(task);
              task->object_stored = true;
              task->claim.outcome_object = name;
              keeper->Commit(task);
            });
      });
}

void ClaimKeeper::Commit(const TaskPtr& task) {
  store::Transaction transaction;
  transaction.conditions.push_back({task->row_key, task->version});
  transaction.writes.push_back({task->row_key, EncodeClaim(task->claim)});
  table_.Commit(std::move(transaction), [weak = weak_from_this(), task](
                                            const store::CommitResult& result) {
    const auto self = weak.lock();
    if (!self) return;
    self->loop_.Post([weak, task, result] {
      if (const auto keeper = weak.lock()) keeper->OnCommit(task, result);
    });
  });
}

void ClaimKeeper::OnCommit(const TaskPtr& task,
                           const store::CommitResult& result) {
  if (std::holds_alternative<store::Committed>(result)) return Finish(task);
  if (std::holds_alternative<store::Conflict>(result)) return ReadRow(task);
  if (std::holds_alternative<store::UnknownOutcome>(result)) {
    task->read_first = true;
  }
  TryAgain(task);
}

void ClaimKeeper::ReadRow(const TaskPtr& task) {
  table_.Read(task->row_key, [weak = weak_from_this(),
                              task](const store::ReadResult& result) {
    const auto self = weak.lock();
    if (!self) return;
    self->loop_.Post([weak, task, result] {
      const auto keeper = weak.lock();
      if (!keeper) return;
      const auto* row = std::get_if<std::optional<store::Row>>(&result);
      if (row == nullptr) return keeper->TryAgain(task);
      keeper->OnRow(task, *row);
    });
  });
}

void ClaimKeeper::OnRow(const TaskPtr& task,
                        const std::optional<store::Row>& row) {
  task->read_first = false;
  task->version = row ? row->version : store::kAbsent;
  const auto claim = row ? DecodeClaim(row->value) : std::nullopt;
  const bool ours = claim && claim->attempt == task->claim.attempt;
  if (ours && claim->state != ClaimState::kClaimed) return Finish(task);
  if (ours) return Commit(task);
  // Somebody else's: ours does not stand, and cannot come to stand, since the
  // version that it demands is past. Only a free row must be moved on.
  const bool free = !row || (claim && claim->state == ClaimState::kReleased);
  if (free && task->claim.state == ClaimState::kReleased) return Commit(task);
  Finish(task);
}

void ClaimKeeper::TryAgain(const TaskPtr& task) {
  Leave(task, false);
  waiting_.push_back(task);
  StartSome();
}

void ClaimKeeper::Finish(const TaskPtr& task) {
  Leave(task, true);
  pending_bytes_ -= task->bytes;
  const auto it = tasks_.find(task->row_key);
  if (it != tasks_.end() && it->second == task) tasks_.erase(it);
  if (task->done) task->done();
  StartSome();
}

void ClaimKeeper::Leave(const TaskPtr& task, bool succeeded) {
  const auto now = loop_.Now();
  window_.Finish(succeeded, now - task->started, now, random_);
}

}  // namespace lapishatch::routing
