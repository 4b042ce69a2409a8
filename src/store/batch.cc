#include "store/internal/batch.h"

#include <utility>

namespace lapishatch::store::internal {
namespace {

bool Demands(const Transaction& transaction, const std::string& key) {
  for (const auto& it : transaction.conditions) {
    if (it.key == key) return true;
  }
  return false;
}

}  // namespace

std::size_t BytesOf(const Transaction& transaction) {
  std::size_t out = 0;
  for (const auto& it : transaction.conditions) out += it.key.size();
  for (const auto& it : transaction.writes) {
    out += it.key.size() + (it.value ? it.value->size() : 0);
  }
  return out;
}

bool Batch::Accepts(const Transaction& transaction) const {
  for (const auto& it : transaction.conditions) {
    if (written_.contains(it.key)) return false;
    const auto demanded = demanded_.find(it.key);
    if (demanded == demanded_.end()) continue;
    if (demanded->second != it.version) return false;
  }
  for (const auto& it : transaction.writes) {
    if (written_.contains(it.key) || demanded_.contains(it.key)) return false;
  }
  return true;
}

void Batch::Add(Pending pending) {
  for (const auto& it : pending.transaction.conditions) {
    demanded_.emplace(it.key, it.version);
  }
  for (const auto& it : pending.transaction.writes) written_.insert(it.key);
  bytes_ += BytesOf(pending.transaction);
  members_.push_back(std::move(pending));
}

Transaction Batch::Merged() const {
  if (members_.size() == 1) return members_.front().transaction;
  Transaction out;
  for (const auto& [key, version] : demanded_) {
    out.conditions.push_back({key, version});
  }
  for (const auto& it : members_) {
    const auto& writes = it.transaction.writes;
    out.writes.insert(out.writes.end(), writes.begin(), writes.end());
  }
  return out;
}

void Batch::AnswerCommitted(const Committed& committed) {
  auto next = committed.versions.begin();
  for (auto& it : std::exchange(members_, {})) {
    const auto end =
        next + static_cast<std::ptrdiff_t>(it.transaction.writes.size());
    Committed part;
    part.versions.assign(next, end);
    next = end;
    it.done(std::move(part));
  }
}

void Batch::AnswerAll(const CommitResult& result) {
  for (auto& it : std::exchange(members_, {})) it.done(result);
}

std::vector<Pending> Batch::AnswerConflict(const Conflict& conflict) {
  const bool is_ours = demanded_.contains(conflict.key);
  std::vector<Pending> others;
  for (auto& it : std::exchange(members_, {})) {
    if (is_ours && !Demands(it.transaction, conflict.key)) {
      others.push_back(std::move(it));
      continue;
    }
    it.done(conflict);
  }
  return others;
}

}  // namespace lapishatch::store::internal
