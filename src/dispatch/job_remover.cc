#include "dispatch/internal/job_remover.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/owner_lease.h"

namespace lapishatch::dispatch::internal {
namespace {

using base::JobName;
using store::kAbsent;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;
using store::StoredRow;

constexpr base::Duration kLogInterval{10'000};

}  // namespace

class JobRemover::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, base::ServiceName service,
       JobIndexer& indexer, base::MetricRegistry* metrics,
       JobRemoverOptions options, Callbacks callbacks)
      : loop_(loop),
        store_(store),
        service_(std::move(service)),
        indexer_(indexer),
        metrics_(metrics),
        options_(options),
        callbacks_(std::move(callbacks)),
        random_(std::hash<std::string>()(base::MakeUniqueText("remover"))),
        backoff_(options.initial_backoff, options.max_backoff) {}

  bool AddRequest(const StoredRow& row) {
    const JobName name(row.address.key);
    const auto [it, is_new] = requests_.try_emplace(name);
    auto& request = it->second;
    if (is_new) {
      request.version = row.version;
      return true;
    }
    if (row.version <= request.version) return false;
    // The feed omits a deletion that a later write of the row follows.
    request.successor = row;
    MarkDeleted(name, request);
    return false;
  }

  bool AddCancellation(const JobName& name, const StoredRow& row) {
    const auto it = requests_.find(name);
    if (it != requests_.end() && !it->second.is_deleted) return true;
    auto& cancellation = cancellations_[name];
    if (row.version > cancellation.version) {
      cancellation = {row.version, loop_.Now()};
    }
    return false;
  }

  void OnCancellationDeleted(const JobName& name, const StoredRow& row) {
    const auto it = cancellations_.find(name);
    if (it == cancellations_.end() || row.version <= it->second.version) return;
    cancellations_.erase(it);
  }

  bool TakeCancellation(const JobName& name) {
    return cancellations_.erase(name) > 0;
  }

  void OnRequestDeleted(const StoredRow& row) {
    const JobName name(row.address.key);
    const auto it = requests_.find(name);
    if (it == requests_.end() || row.version <= it->second.version) return;
    auto& request = it->second;
    request.successor.reset();
    MarkDeleted(name, request);
  }

  void OnSnapshot(const std::vector<StoredRow>& rows) {
    std::set<std::string_view> present;
    for (const auto& it : rows) present.insert(it.address.key);
    for (auto& [name, request] : requests_) {
      if (present.contains(name.str())) continue;
      request.successor.reset();
      MarkDeleted(name, request);
    }
    std::erase_if(cancellations_, [&present](const auto& it) {
      return !present.contains(jobs::CancelKey(it.first));
    });
  }

  bool MarkEnded(const JobName& name) {
    const auto it = requests_.find(name);
    if (it == requests_.end() || it->second.ended_at) return false;
    it->second.ended_at = loop_.Now();
    ended_.emplace_back(loop_.Now(), name);
    return true;
  }

  void AddOrphanedProgress(const StoredRow& row) {
    orphans_[JobName(row.address.key)] = row.version;
  }

  void Update() {
    if (!indexer_.is_ready()) return;
    const auto now = loop_.Now();
    while (!ended_.empty() && now - ended_.front().first > options_.retention) {
      const auto [ended_at, name] = std::move(ended_.front());
      ended_.pop_front();
      const auto it = requests_.find(name);
      const bool is_due = it != requests_.end() && !it->second.is_deleted &&
                          it->second.ended_at == ended_at;
      if (is_due) due_.insert(name);
    }
    if (now >= paused_until_) Send();
    ReportWaiting(waiting());
  }

  void ReportWaiting(std::size_t n) {
    if (metrics_ == nullptr || n == reported_waiting_) return;
    reported_waiting_ = n;
    metrics_->Set("lapishatch_job_removals_waiting",
                  {{"service", service_.str()}}, static_cast<double>(n));
  }

 private:
  /// What is known of the request row of a job.
  struct Request {
    RowVersion version = kAbsent;
    std::optional<base::TimePoint> ended_at;
    bool is_deleted = false;
    /// The request of a later job of the same name.
    std::optional<StoredRow> successor;
  };

  /// A cancellation without a request.
  struct Cancellation {
    RowVersion version = kAbsent;
    base::TimePoint first_seen{};
  };

  /// Number of jobs with rows to remove.
  std::size_t waiting() const {
    return due_.size() + deleted_.size() + orphans_.size();
  }

  void MarkDeleted(const JobName& name, Request& request) {
    if (std::exchange(request.is_deleted, true)) return;
    due_.erase(name);
    deleted_.insert(name);
    if (request.ended_at || callbacks_.may_remove(name)) return;
    base::Log(base::events::kRequestDeletedEarly,
              {{"request", name}, {"service", service_.str()}});
  }

  void Send() {
    for (const auto& it : due_) {
      if (MaySend(it)) RemoveEntry(it);
    }
    std::vector<JobName> complete;
    for (const auto& it : deleted_) {
      // A job whose request was deleted early is kept until it has ended.
      if (!MaySend(it)) continue;
      const auto version = callbacks_.progress_version(it);
      if (version != kAbsent) {
        RemoveProgress(it, version);
      } else {
        complete.push_back(it);
      }
    }
    for (const auto& [name, version] : orphans_) {
      if (MaySend(name)) RemoveProgress(name, version);
    }
    for (const auto& it : complete) Forget(it);
    for (const auto& [name, it] : cancellations_) {
      const bool is_due = loop_.Now() - it.first_seen > options_.retention;
      if (is_due && !requests_.contains(name) && MaySend(name)) {
        RemoveCancellation(name, it.version);
      }
    }
  }

  bool MaySend(const JobName& name) const {
    return in_flight_.size() < options_.max_in_flight &&
           !in_flight_.contains(name) && callbacks_.may_remove(name);
  }

  void RemoveEntry(const JobName& name) {
    in_flight_.insert(name);
    // The answer may arrive within this call, which iterates over `due_`.
    const auto on_answer = [weak = weak_from_this(), name](bool is_removed) {
      const auto self = weak.lock();
      if (!self) return;
      if (is_removed && self->due_.contains(name)) {
        return self->RemoveRequest(name);
      }
      self->in_flight_.erase(name);
      if (!is_removed) self->OnFailed("the index entry was not removed");
    };
    indexer_.Remove(name, on_answer);
  }

  void RemoveRequest(const JobName& name) {
    const std::string table(jobs::kRequestTable);
    const auto version = requests_.at(name).version;
    store_.Commit({jobs::RequestPartition(service_, name),
                   {{table, name.str(), version}},
                   {},
                   {{table, name.str()}, {table, jobs::CancelKey(name)}}},
                  [weak = weak_from_this(), name](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (!self) return;
                    self->in_flight_.erase(name);
                    // After a conflict, an earlier attempt was committed
                    // although its answer was lost.
                    if (self->IsConfirmed(result)) self->due_.erase(name);
                  });
  }

  /// The feed shows the deletion.
  void RemoveCancellation(const JobName& name, RowVersion version) {
    in_flight_.insert(name);
    const std::string table(jobs::kRequestTable);
    store_.Commit({jobs::RequestPartition(service_, name),
                   {{table, name.str(), kAbsent},
                    {table, jobs::CancelKey(name), version}},
                   {},
                   {{table, jobs::CancelKey(name)}}},
                  [weak = weak_from_this(), name](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (!self) return;
                    self->in_flight_.erase(name);
                    self->IsConfirmed(result);
                  });
  }

  void RemoveProgress(const JobName& name, RowVersion version) {
    in_flight_.insert(name);
    const std::string table(jobs::kProgressTable);
    store_.Commit({jobs::ProgressPartition(service_, name),
                   {{std::string(kOwnerTable), std::string(kFenceKey),
                     callbacks_.fence_version(name)},
                    {table, name.str(), version}},
                   {},
                   {{table, name.str()}}},
                  [weak = weak_from_this(), name](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (self) self->OnProgressResult(name, result);
                  });
  }

  void OnProgressResult(const JobName& name, const RowsResult& result) {
    in_flight_.erase(name);
    if (!IsConfirmed(result)) return;
    if (const auto* conflict = std::get_if<RowsConflict>(&result)) {
      const auto fence = store::VersionIn(*conflict, kOwnerTable, kFenceKey);
      if (fence != callbacks_.fence_version(name)) {
        return callbacks_.on_lost("a later owner has fenced a partition");
      }
    }
    if (orphans_.erase(name) == 0) Forget(name);
  }

  /// Whether the store has answered with certainty. Pauses removals otherwise.
  bool IsConfirmed(const RowsResult& result) {
    if (const auto* failed = std::get_if<store::NotDone>(&result)) {
      OnFailed(failed->detail);
      return false;
    }
    if (const auto* it = std::get_if<store::UnknownOutcome>(&result)) {
      OnFailed(it->detail);
      return false;
    }
    backoff_.Reset();
    return true;
  }

  void Forget(const JobName& name) {
    if (deleted_.erase(name) == 0) return;
    const auto node = requests_.extract(name);
    callbacks_.on_removed(name);
    if (const auto& row = node.mapped().successor) callbacks_.on_request(*row);
  }

  void OnFailed(const std::string& detail) {
    const auto now = loop_.Now();
    // The calls in flight fail at about the same time.
    if (now < paused_until_) return;
    paused_until_ = now + backoff_.Next(random_);
    if (now < next_log_at_) return;
    next_log_at_ = now + kLogInterval;
    base::Log(base::events::kRemovalsDelayed, {{"service", service_.str()},
                                               {"waiting", waiting()},
                                               {"detail", detail}});
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const base::ServiceName service_;
  JobIndexer& indexer_;
  base::MetricRegistry* const metrics_;
  const JobRemoverOptions options_;
  const Callbacks callbacks_;
  base::Random random_;
  base::Backoff backoff_;

  std::map<JobName, Request> requests_;
  std::map<JobName, Cancellation> cancellations_;
  /// Jobs in the order of their ends, until their retention is over.
  std::deque<std::pair<base::TimePoint, JobName>> ended_;
  /// Jobs whose retention is over and whose requests are to be removed.
  std::set<JobName> due_;
  /// Jobs whose requests are deleted and whose progress is to be removed.
  std::set<JobName> deleted_;
  /// Versions of progress rows without a request.
  std::map<JobName, RowVersion> orphans_;
  /// Jobs with an outstanding call to the store.
  std::set<JobName> in_flight_;
  base::TimePoint paused_until_{};
  base::TimePoint next_log_at_{};
  std::size_t reported_waiting_ = 0;
};

JobRemover::JobRemover(base::EventLoop& loop, store::RowStore& store,
                       base::ServiceName service, JobIndexer& indexer,
                       base::MetricRegistry* metrics, JobRemoverOptions options,
                       Callbacks callbacks)
    : impl_(std::make_shared<Impl>(loop, store, std::move(service), indexer,
                                   metrics, options, std::move(callbacks))) {}

JobRemover::~JobRemover() { impl_->ReportWaiting(0); }

bool JobRemover::AddRequest(const store::StoredRow& row) {
  return impl_->AddRequest(row);
}

bool JobRemover::AddCancellation(const base::JobName& name,
                                 const store::StoredRow& row) {
  return impl_->AddCancellation(name, row);
}

void JobRemover::OnCancellationDeleted(const base::JobName& name,
                                       const store::StoredRow& row) {
  impl_->OnCancellationDeleted(name, row);
}

bool JobRemover::TakeCancellation(const base::JobName& name) {
  return impl_->TakeCancellation(name);
}

void JobRemover::OnRequestDeleted(const store::StoredRow& row) {
  impl_->OnRequestDeleted(row);
}

void JobRemover::OnSnapshot(const std::vector<store::StoredRow>& rows) {
  impl_->OnSnapshot(rows);
}

bool JobRemover::MarkEnded(const base::JobName& name) {
  return impl_->MarkEnded(name);
}

void JobRemover::AddOrphanedProgress(const store::StoredRow& row) {
  impl_->AddOrphanedProgress(row);
}

void JobRemover::Update() { impl_->Update(); }

}  // namespace lapishatch::dispatch::internal
