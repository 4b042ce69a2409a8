#include "scheduler_main/status_tap.h"

#include <optional>
#include <utility>
#include <vector>

namespace lapishatch::scheduler_main {
namespace {

/// The job whose status row has this key, if it is one.
std::optional<base::JobName> JobOf(const std::string& key) {
  static const std::string kPrefix = scheduler::StatusKey(base::JobName());
  if (!key.starts_with(kPrefix)) return std::nullopt;
  return base::JobName(key.substr(kPrefix.size()));
}

/// A status that a transaction writes.
struct StatusWrite {
  /// Which of the transaction's writes.
  std::size_t index = 0;
  base::JobName job;
  config::JobStatus status;
};

std::vector<StatusWrite> StatusWritesOf(const store::Transaction& transaction) {
  std::vector<StatusWrite> out;
  for (std::size_t i = 0; i < transaction.writes.size(); ++i) {
    const auto& write = transaction.writes[i];
    auto job = JobOf(write.key);
    if (!job || !write.value) continue;
    auto row = scheduler::DecodeStatusRow(*write.value);
    if (row) out.push_back({i, std::move(*job), std::move(row->status)});
  }
  return out;
}

}  // namespace

void StatusTap::Commit(store::Transaction transaction,
                       std::function<void(store::CommitResult)> done) {
  auto statuses = StatusWritesOf(transaction);
  if (statuses.empty()) {
    table_.Commit(std::move(transaction), std::move(done));
    return;
  }
  table_.Commit(std::move(transaction),
                [on_status = on_status_, statuses = std::move(statuses),
                 done = std::move(done)](store::CommitResult result) {
                  if (const auto* it = std::get_if<store::Committed>(&result)) {
                    for (const auto& status : statuses) {
                      on_status(status.job, status.status,
                                it->versions.at(status.index));
                    }
                  }
                  done(std::move(result));
                });
}

void StatusTap::Read(std::string key,
                     std::function<void(store::ReadResult)> done) {
  auto job = JobOf(key);
  if (!job) {
    table_.Read(std::move(key), std::move(done));
    return;
  }
  table_.Read(
      std::move(key), [on_status = on_status_, job = std::move(*job),
                       done = std::move(done)](store::ReadResult result) {
        const auto* row = std::get_if<std::optional<store::Row>>(&result);
        if (row != nullptr && row->has_value()) {
          auto status = scheduler::DecodeStatusRow((*row)->value);
          if (status) {
            on_status(job, std::move(status->status), (*row)->version);
          }
        }
        done(std::move(result));
      });
}

void StatusTap::Scan(std::string prefix, std::string after, std::size_t limit,
                     std::function<void(store::ScanResult)> done) {
  table_.Scan(std::move(prefix), std::move(after), limit, std::move(done));
}

}  // namespace lapishatch::scheduler_main
