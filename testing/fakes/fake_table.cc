#include "fakes/fake_table.h"

#include <utility>

namespace lapishatch::fakes {

store::CommitResult FakeTable::Apply(const store::Transaction& transaction) {
  ++commits_;
  for (const auto& condition : transaction.conditions) {
    const auto it = rows_.find(condition.key);
    const auto present =
        it == rows_.end() ? store::kAbsent : it->second.version;
    if (present != condition.version && !ignores_conditions_) {
      return store::Conflict{condition.key, present};
    }
  }
  store::Committed committed;
  for (const auto& write : transaction.writes) {
    if (!write.value) {
      rows_.erase(write.key);
      committed.versions.push_back(store::kAbsent);
      continue;
    }
    auto& row = rows_[write.key];
    row.key = write.key;
    row.value = *write.value;
    ++row.version;
    committed.versions.push_back(row.version);
  }
  return committed;
}

std::optional<store::Row> FakeTable::Peek(const std::string& key) const {
  const auto it = rows_.find(key);
  if (it == rows_.end()) return std::nullopt;
  return it->second;
}

store::RowPage FakeTable::PeekPage(const std::string& prefix,
                                   const std::string& after,
                                   std::size_t limit) const {
  store::RowPage page;
  auto it =
      after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; it != rows_.end() && it->first.starts_with(prefix); ++it) {
    if (page.rows.size() == limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(it->second);
  }
  return page;
}

TableFault FakeTable::FaultOf(const store::Transaction& transaction) {
  if (down_) return TableFault::kRefused;
  if (!commit_fault_) return TableFault::kNone;
  return commit_fault_(transaction);
}

TableFault FakeTableView::FaultOf(const store::Transaction& transaction) {
  const auto fault =
      commit_fault_ ? commit_fault_(transaction) : TableFault::kNone;
  return fault == TableFault::kNone ? table_.FaultOf(transaction) : fault;
}

template <typename Result>
void FakeTableView::Answer(base::Duration delay,
                           std::function<void(Result)> done, Result result) {
  process_.After(
      delay, [done = std::move(done), result = std::move(result)]() mutable {
        done(std::move(result));
      });
}

void FakeTableView::Commit(store::Transaction transaction,
                           std::function<void(store::CommitResult)> done) {
  using Result = store::CommitResult;
  if (process_.killed()) return;
  const auto& options = table_.options_;
  if (cut_) {
    Answer<Result>(options.timeout, std::move(done),
                   store::UnknownOutcome{"no answer"});
    return;
  }
  switch (FaultOf(transaction)) {
    case TableFault::kRefused:
      Answer<Result>(options.latency, std::move(done),
                     store::NotDone{"refused"});
      return;
    case TableFault::kRequestLost:
      Answer<Result>(options.timeout, std::move(done),
                     store::UnknownOutcome{"no answer"});
      return;
    case TableFault::kAnswerLost:
      table_.Apply(transaction);
      Answer<Result>(options.timeout, std::move(done),
                     store::UnknownOutcome{"no answer"});
      return;
    case TableFault::kArrivesLate:
      Answer<Result>(options.timeout, std::move(done),
                     store::UnknownOutcome{"no answer"});
      table_.time_.After(options.late, [&table = table_, transaction] {
        table.Apply(transaction);
      });
      return;
    case TableFault::kDoubled:
      Answer<Result>(options.latency, std::move(done),
                     table_.Apply(transaction));
      table_.Apply(transaction);
      return;
    case TableFault::kSlow:
      Answer<Result>(options.slow_latency, std::move(done),
                     table_.Apply(transaction));
      return;
    case TableFault::kNone:
      Answer<Result>(options.latency, std::move(done),
                     table_.Apply(transaction));
      return;
  }
}

void FakeTableView::Read(std::string key,
                         std::function<void(store::ReadResult)> done) {
  using Result = store::ReadResult;
  if (cut_) {
    Answer<Result>(table_.options_.timeout, std::move(done),
                   store::ReadFailed{"no answer"});
    return;
  }
  if (table_.down_) {
    Answer<Result>(table_.options_.latency, std::move(done),
                   store::ReadFailed{"refused"});
    return;
  }
  ++table_.reads_;
  Answer<Result>(table_.options_.latency, std::move(done), table_.Peek(key));
}

void FakeTableView::Scan(std::string prefix, std::string after,
                         std::size_t limit,
                         std::function<void(store::ScanResult)> done) {
  using Result = store::ScanResult;
  if (cut_) {
    Answer<Result>(table_.options_.timeout, std::move(done),
                   store::ReadFailed{"no answer"});
    return;
  }
  if (table_.down_) {
    Answer<Result>(table_.options_.latency, std::move(done),
                   store::ReadFailed{"refused"});
    return;
  }
  ++table_.reads_;
  Answer<Result>(table_.options_.latency, std::move(done),
                 table_.PeekPage(prefix, after, limit));
}

}  // namespace lapishatch::fakes
