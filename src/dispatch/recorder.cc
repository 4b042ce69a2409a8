#include "dispatch/internal/recorder.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "dispatch/owner_lease.h"

namespace lapishatch::dispatch::internal {
namespace {

using store::NotDone;
using store::RowsCommitted;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;
using store::UnknownOutcome;

/// Limit of jobs in one transaction: each job takes two entries, and the fence
/// takes one.
constexpr std::size_t kMaxJobs = (store::kMaxTransactionEntries - 1) / 2;

/// Values are sent in base64, which takes four bytes for three.
constexpr std::size_t kMaxValueBytes = store::kMaxTransactionBytes / 2;

}  // namespace

class Recorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, std::string partition,
       int partition_index, RowVersion fence_version, JobTracker& tracker,
       RecorderOptions options, std::function<void(const std::string&)> on_lost)
      : loop_(loop),
        store_(store),
        partition_(std::move(partition)),
        fence_version_(fence_version),
        tracker_(tracker),
        dirty_(tracker.dirty(partition_index)),
        options_(options),
        on_lost_(std::move(on_lost)),
        random_(fence_version),
        backoff_(options.initial_backoff, options.max_backoff) {}

  /// Arms a timer for the earliest time at which a job is due and a transaction
  /// may be sent.
  void ScheduleWrite() {
    if (!writing_.empty() || is_sending_ || is_backing_off_) return;
    if (dirty_.empty()) return;
    auto due = base::TimePoint::max();
    for (const auto& [job, time] : dirty_) due = std::min(due, time);
    const auto at =
        std::max({due, last_sent_ + options_.min_write_interval, loop_.Now()});
    if (armed_at_ && *armed_at_ <= at) return;
    armed_at_ = at;
    Arm(at - loop_.Now());
  }

  void WhenRecorded(const std::vector<base::JobName>& jobs,
                    std::function<void()> done) {
    Waiter waiter;
    for (const auto& name : jobs) {
      auto* job = tracker_.Find(name);
      if (job == nullptr) continue;
      if (dirty_.contains(job)) {
        waiter.batches[name] = batch_number_ + 1;
      } else if (writing_.contains(name)) {
        waiter.batches[name] = batch_number_;
      }
    }
    if (waiter.batches.empty()) return loop_.Post(std::move(done));
    waiter.done = std::move(done);
    waiters_.push_back(std::move(waiter));
    ScheduleWrite();
  }

  RowVersion fence_version() const { return fence_version_; }

  bool IsRecorded(const base::JobName& name) const {
    auto* job = tracker_.Find(name);
    const bool is_dirty = job != nullptr && dirty_.contains(job);
    return !is_dirty && !writing_.contains(name);
  }

 private:
  struct Waiter {
    /// For each job still to be recorded, the first batch that contains the
    /// state at the time of the request.
    std::map<base::JobName, std::uint64_t> batches;
    std::function<void()> done;
  };

  void Arm(base::Duration delay) {
    ++timer_number_;
    loop_.After(delay, [weak = weak_from_this(), timer_number = timer_number_] {
      const auto self = weak.lock();
      if (!self || self->timer_number_ != timer_number) return;
      self->armed_at_.reset();
      self->is_backing_off_ = false;
      self->Write();
    });
  }

  /// Writes the jobs that are due now or before the next transaction may be
  /// sent.
  void Write() {
    const auto latest = loop_.Now() + options_.min_write_interval;
    const std::string table(jobs::kProgressTable);
    store::RowTransaction out;
    out.part = partition_;
    out.conditions.push_back(
        {std::string(kOwnerTable), std::string(kFenceKey), fence_version_});
    std::size_t bytes = 0;
    for (auto it = dirty_.begin(); it != dirty_.end();) {
      if (writing_.size() >= kMaxJobs || bytes >= kMaxValueBytes) break;
      if (it->second > latest) {
        ++it;
        continue;
      }
      auto* job = it->first;
      it = dirty_.erase(it);
      const auto& key = job->job->name.str();
      auto value = EncodeProgress(tracker_.ProgressOf(*job));
      bytes += value.size();
      out.conditions.push_back({table, key, job->row_version});
      out.puts.push_back({table, key, std::move(value)});
      writing_.insert(job->job->name);
    }
    if (writing_.empty()) return ScheduleWrite();
    ++batch_number_;
    Send(std::move(out));
  }

  void Send(store::RowTransaction transaction) {
    is_sending_ = true;
    last_sent_ = loop_.Now();
    store_.Commit(std::move(transaction),
                  [weak = weak_from_this()](const RowsResult& result) {
                    if (const auto self = weak.lock()) self->OnResult(result);
                  });
  }

  void OnResult(const RowsResult& result) {
    is_sending_ = false;
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      return OnCommitted(committed->version);
    }
    if (const auto* conflict = std::get_if<RowsConflict>(&result)) {
      return OnConflict(conflict->present);
    }
    if (const auto* failed = std::get_if<NotDone>(&result)) {
      return RetryAfterFailure(failed->detail);
    }
    RetryAfterFailure(std::get<UnknownOutcome>(result).detail);
  }

  void OnCommitted(RowVersion version) {
    backoff_.Reset();
    for (const auto& name : writing_) {
      if (auto* job = tracker_.Find(name)) job->row_version = version;
    }
    const auto written = std::exchange(writing_, {});
    const auto weak = weak_from_this();
    NotifyWaiters(written);
    if (const auto self = weak.lock()) ScheduleWrite();
  }

  /// Calls the waiters whose jobs have all been written.
  void NotifyWaiters(const std::set<base::JobName>& written) {
    std::vector<std::function<void()>> due;
    std::vector<Waiter> later;
    for (auto& waiter : waiters_) {
      std::erase_if(waiter.batches, [&](const auto& it) {
        return it.second <= batch_number_ && written.contains(it.first);
      });
      if (waiter.batches.empty()) {
        due.push_back(std::move(waiter.done));
      } else {
        later.push_back(std::move(waiter));
      }
    }
    waiters_ = std::move(later);
    const auto weak = weak_from_this();
    for (const auto& it : due) {
      it();
      if (weak.expired()) return;
    }
  }

  /// Only the owner writes these rows. If the fence row is unchanged, an
  /// earlier transaction was committed although its answer was lost: its
  /// versions are adopted and the present values are written again.
  void OnConflict(const std::vector<store::StoredRow>& present) {
    RowVersion fence = store::kAbsent;
    std::map<std::string, RowVersion> versions;
    for (const auto& it : present) {
      if (it.address.table == kOwnerTable) fence = it.version;
      if (it.address.table == jobs::kProgressTable) {
        versions[it.address.key] = it.version;
      }
    }
    if (fence != fence_version_) {
      return on_lost_("the fence row in the store belongs to another owner");
    }
    for (const auto& name : writing_) {
      auto* job = tracker_.Find(name);
      if (job == nullptr) continue;
      const auto it = versions.find(name.str());
      job->row_version = it == versions.end() ? store::kAbsent : it->second;
    }
    RetryAfterFailure("rows were written before");
  }

  void RetryAfterFailure(const std::string& detail) {
    base::Log(base::events::kRecordDelayed,
              {{"part", partition_}, {"detail", detail}});
    for (const auto& name : writing_) {
      if (auto* job = tracker_.Find(name)) dirty_[job] = loop_.Now();
    }
    writing_.clear();
    is_backing_off_ = true;
    Arm(backoff_.Next(random_));
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const std::string partition_;
  const RowVersion fence_version_;
  JobTracker& tracker_;
  JobTracker::DirtyJobs& dirty_;
  const RecorderOptions options_;
  const std::function<void(const std::string&)> on_lost_;
  base::Random random_;
  base::Backoff backoff_;

  /// Jobs of the transaction in flight.
  std::set<base::JobName> writing_;
  bool is_sending_ = false;
  /// Set from a failure until the next attempt.
  bool is_backing_off_ = false;
  /// When the armed timer sends the next transaction, if one is armed.
  std::optional<base::TimePoint> armed_at_;
  /// Number of the current timer; earlier timers have no effect.
  std::uint64_t timer_number_ = 0;
  base::TimePoint last_sent_{};
  std::uint64_t batch_number_ = 0;
  std::vector<Waiter> waiters_;
};

Recorder::Recorder(base::EventLoop& loop, store::RowStore& store,
                   std::string partition, int partition_index,
                   store::RowVersion fence_version, JobTracker& tracker,
                   RecorderOptions options,
                   std::function<void(const std::string&)> on_lost)
    : impl_(std::make_shared<Impl>(loop, store, std::move(partition),
                                   partition_index, fence_version, tracker,
                                   options, std::move(on_lost))) {}

Recorder::~Recorder() = default;

void Recorder::ScheduleWrite() { impl_->ScheduleWrite(); }

void Recorder::WhenRecorded(const std::vector<base::JobName>& jobs,
                            std::function<void()> done) {
  impl_->WhenRecorded(jobs, std::move(done));
}

bool Recorder::IsRecorded(const base::JobName& job) const {
  return impl_->IsRecorded(job);
}

store::RowVersion Recorder::fence_version() const {
  return impl_->fence_version();
}

}  // namespace lapishatch::dispatch::internal
