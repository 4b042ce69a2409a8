#include "config/status_tap.h"

#include <set>
#include <utility>
#include <vector>

#include "config/change_batch.h"

namespace lapishatch::config {
namespace {

/// The status rows among a transaction's writes, with their place.
struct SeenWrite {
  std::size_t index = 0;
  std::string key;
  std::string value;
};

bool IsStatusKey(std::string_view key) {
  return key.starts_with(StatusKey(""));
}

std::vector<SeenWrite> StatusWrites(const store::Transaction& transaction) {
  std::vector<SeenWrite> out;
  for (std::size_t i = 0; i < transaction.writes.size(); ++i) {
    const auto& write = transaction.writes[i];
    if (!write.value || !IsStatusKey(write.key)) continue;
    out.push_back({i, write.key, *write.value});
  }
  return out;
}

}  // namespace

class StatusTap::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(StatusOptions options, base::EventLoop& loop, Mirror& mirror,
       ChangeWriter& writer, Decode decode)
      : options_(options),
        loop_(loop),
        mirror_(mirror),
        writer_(writer),
        decode_(std::move(decode)) {}

  /// Any thread.
  void See(store::Row row) {
    if (!IsStatusKey(row.key)) return;
    loop_.Post([weak = weak_from_this(), row = std::move(row)] {
      if (const auto self = weak.lock()) self->Take(row);
    });
  }

 private:
  struct Pending {
    JobStatus status;
    store::RowVersion row_version = 0;
  };
  using Group = std::map<std::string, Pending>;

  void Take(const store::Row& row) {
    auto status = decode_(row.value);
    if (!status) return;
    const auto job = row.key.substr(StatusKey("").size());
    auto& pending = pending_[job];
    if (pending.row_version >= row.version) return;
    pending = {std::move(*status), row.version};
    Arm(options_.window);
  }

  void Arm(base::Duration delay) {
    if (std::exchange(armed_, true)) return;
    loop_.After(delay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      self->armed_ = false;
      self->Publish();
    });
  }

  /// Each status is a set of its own, which the writer joins into common
  /// transactions, so that one whose row has moved on does not hold the others
  /// back. Those of one job go one after the other.
  void Publish() {
    auto group = std::exchange(pending_, {});
    for (auto& [job, it] : group) {
      if (in_flight_.contains(job)) {
        pending_[job] = std::move(it);
      } else if (IsNews(job, it)) {
        Submit(job, std::move(it));
      }
    }
  }

  void Submit(const std::string& job, Pending pending) {
    ChangeSet set;
    set.changes.push_back({{ResourceKind::kJob, job},
                           Anyway{},
                           PutStatus{pending.status, pending.row_version}});
    in_flight_.insert(job);
    writer_.Submit(std::move(set),
                   [weak = weak_from_this(), job, pending = std::move(pending)](
                       const ChangeOutcome& outcome) {
                     if (const auto self = weak.lock())
                       self->Settle(job, pending, outcome);
                   });
  }

  bool IsNews(const std::string& job, const Pending& pending) const {
    const auto resource = mirror_.Find({ResourceKind::kJob, job});
    return resource == nullptr || resource->status != pending.status;
  }

  /// A refused one is over: its row has moved on. One that could not be written
  /// is tried again.
  void Settle(const std::string& job, const Pending& tried,
              const ChangeOutcome& outcome) {
    in_flight_.erase(job);
    const bool settled = std::holds_alternative<ChangesAccepted>(outcome) ||
                         std::holds_alternative<ChangesRefused>(outcome);
    if (!settled) {
      auto& pending = pending_[job];
      if (pending.row_version < tried.row_version) pending = tried;
    }
    if (!pending_.empty()) Arm(settled ? options_.window : options_.retry);
  }

  StatusOptions options_;
  base::EventLoop& loop_;
  Mirror& mirror_;
  ChangeWriter& writer_;
  Decode decode_;
  Group pending_;
  std::set<std::string> in_flight_;
  bool armed_ = false;
};

StatusTap::StatusTap(StatusOptions options, base::EventLoop& loop,
                     store::Table& inner, Mirror& mirror, ChangeWriter& writer,
                     Decode decode)
    : impl_(std::make_shared<Impl>(options, loop, mirror, writer,
                                   std::move(decode))),
      inner_(inner) {}

StatusTap::~StatusTap() = default;

void StatusTap::Commit(store::Transaction transaction,
                       std::function<void(store::CommitResult)> done) {
  auto seen = StatusWrites(transaction);
  inner_.Commit(std::move(transaction), [impl = impl_, seen = std::move(seen),
                                         done = std::move(done)](
                                            store::CommitResult result) {
    if (const auto* it = std::get_if<store::Committed>(&result)) {
      for (const auto& write : seen) {
        impl->See({write.key, write.value, it->versions[write.index]});
      }
    }
    done(std::move(result));
  });
}

void StatusTap::Read(std::string key,
                     std::function<void(store::ReadResult)> done) {
  inner_.Read(std::move(key),
              [impl = impl_, done = std::move(done)](store::ReadResult result) {
                const auto* row =
                    std::get_if<std::optional<store::Row>>(&result);
                if (row != nullptr && row->has_value()) impl->See(**row);
                done(std::move(result));
              });
}

void StatusTap::Scan(std::string prefix, std::string after, std::size_t limit,
                     std::function<void(store::ScanResult)> done) {
  inner_.Scan(std::move(prefix), std::move(after), limit,
              [impl = impl_, done = std::move(done)](store::ScanResult result) {
                if (const auto* page = std::get_if<store::RowPage>(&result)) {
                  for (const auto& row : page->rows) impl->See(row);
                }
                done(std::move(result));
              });
}

Section Describe(StatusOptions& options) {
  Section section("statuses", "How job statuses reach the jobs log.");
  section.Millis("window_ms", options.window, 0, 10'000,
                 "Statuses that change within this time go together.");
  section.Millis("retry_ms", options.retry, 10, 600'000,
                 "Pause before a status that was not accepted is tried "
                 "again.");
  return section;
}

}  // namespace lapishatch::config
