#include "config/log_compactor.h"

#include <utility>

#include "config/row_reader.h"

namespace lapishatch::config {

void LogCompactor::Compact(LoopTable& table, LogId log, Limits limits,
                           std::function<void(bool)> done) {
  const std::shared_ptr<LogCompactor> compactor(
      new LogCompactor(table, log, limits, std::move(done)));
  compactor->ReadHead();
}

LogCompactor::LogCompactor(LoopTable& table, LogId log, Limits limits,
                           std::function<void(bool)> done)
    : table_(table), log_(log), limits_(limits), done_(std::move(done)) {}

void LogCompactor::ReadHead() {
  table_.Scan(HeadKey(log_), "", 1,
              [self = shared_from_this()](const store::ScanResult& result) {
                self->TakeHead(result);
              });
}

void LogCompactor::TakeHead(const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  const auto head = page != nullptr && !page->rows.empty()
                        ? HeadOf(page->rows.front())
                        : std::nullopt;
  if (!head) {
    done_(page != nullptr && page->rows.empty());
    return;
  }
  head_ = *head;
  if (head_.version < head_.first_kept + limits_.keep) {
    done_(true);
    return;
  }
  table_.Scan(EntryPrefix(log_), "", limits_.rows,
              [self = shared_from_this()](const store::ScanResult& entries) {
                self->TakeRows(entries);
              });
}

void LogCompactor::TakeRows(const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  if (page == nullptr) {
    done_(false);
    return;
  }
  const auto last_wanted = head_.version - limits_.keep;
  std::vector<std::string> keys;
  LogVersion last = 0;
  for (const auto& row : page->rows) {
    const auto batch = BatchOf(row);
    if (!batch || batch->empty() || batch->back()->version > last_wanted) break;
    keys.push_back(row.key);
    last = batch->back()->version;
  }
  if (keys.empty()) {
    done_(true);
    return;
  }
  Remove(keys, last);
}

void LogCompactor::Remove(const std::vector<std::string>& keys,
                          LogVersion last) {
  store::Transaction transaction;
  transaction.conditions.push_back({HeadKey(log_), head_.row_version});
  auto head = head_;
  head.first_kept = last + 1;
  transaction.writes.push_back({HeadKey(log_), ToText(head)});
  for (const auto& key : keys) {
    transaction.writes.push_back({key, std::nullopt});
  }
  table_.Commit(std::move(transaction), [self = shared_from_this(), last](
                                            const store::CommitResult& result) {
    if (std::holds_alternative<store::Committed>(result)) {
      base::Log(base::events::kLogCompacted,
                {{"log", base::NameOf(self->log_)}, {"up_to", last}});
    }
    self->done_(false);
  });
}

}  // namespace lapishatch::config
