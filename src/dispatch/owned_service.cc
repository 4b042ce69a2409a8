#include "dispatch/internal/owned_service.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/derived_options.h"

namespace lapishatch::dispatch::internal {

using base::TimePoint;
using store::StoredRow;

namespace {

/// The job that a row of the request table cancels; nothing for other rows.
std::optional<base::JobName> CancelledJob(const std::string& key) {
  if (!key.ends_with(jobs::kCancelSuffix)) return std::nullopt;
  return base::JobName(key.substr(0, key.size() - jobs::kCancelSuffix.size()));
}

}  // namespace

OwnedService::OwnedService(const ServiceOwnerDependencies& dependencies,
                           base::ServiceName service, Epoch epoch,
                           bool is_former_owner_gone,
                           const ServiceOwnerOptions& options,
                           OwnerPermissions permissions)
    : dependencies_(dependencies),
      service_(std::move(service)),
      epoch_(epoch),
      is_former_owner_gone_(is_former_owner_gone),
      options_(options),
      permissions_(std::move(permissions)),
      acquired_at_(dependencies.loop.Now()),
      tracker_(fleet_),
      planner_(tracker_, fleet_, PlannerOptionsFor(options.bounds)),
      session_options_(SessionOptionsFor(options.bounds)),
      drain_options_(DrainOptionsFor(options.bounds)),
      loader_(
          dependencies.loop, dependencies.store, service_, epoch,
          [this](LoadedService loaded) { OnLoaded(std::move(loaded)); },
          [this](const std::string& reason) { GiveUpOwnership(reason); }),
      indexer_(dependencies.loop, dependencies.store, service_) {}

void OwnedService::Start() {
  loader_.Start();
  Tick();
}

void OwnedService::GiveUpOwnership(const std::string& reason) {
  // `on_lost` destroys this object, so it is called only after the present
  // callback has returned.
  dependencies_.loop.Post([weak = weak_from_this(), reason] {
    if (const auto self = weak.lock()) self->permissions_.on_lost(reason);
  });
}

// Loading.

void OwnedService::OnLoaded(LoadedService loaded) {
  progress_rows_ = std::move(loaded.progress_rows);
  const auto partitions = jobs::ProgressPartitions(service_);
  for (int i = 0; i < jobs::kProgressPartitionCount; ++i) {
    const auto index = static_cast<std::size_t>(i);
    recorders_.push_back(std::make_unique<Recorder>(
        dependencies_.loop, dependencies_.store, partitions[index], i,
        loaded.fence_versions[index], tracker_, RecorderOptions{},
        [this](const std::string& reason) { GiveUpOwnership(reason); }));
  }
  waiting_counter_.emplace(dependencies_.loop, dependencies_.store,
                           jobs::WaitingCountsPartition(service_),
                           loaded.fence_versions.front(), tracker_);
  FollowRequests();
}

void OwnedService::FollowRequests() {
  const auto weak = weak_from_this();
  request_follower_.emplace(
      dependencies_.loop, dependencies_.store, std::string(jobs::kRequestTable),
      jobs::RequestPartitions(service_), options_.lease.follow,
      store::FollowerEvents{
          [weak](const std::vector<StoredRow>& rows, store::RowVersion) {
            if (const auto self = weak.lock()) self->OnRequestSnapshot(rows);
          },
          [weak](const std::vector<StoredRow>& rows, store::RowVersion) {
            const auto self = weak.lock();
            if (!self) return;
            for (const auto& it : rows) self->OnRequestRow(it);
            if (!rows.empty()) self->ScheduleDecisionRound();
          },
          nullptr});
  request_follower_->Start();
}

void OwnedService::OnRequestSnapshot(const std::vector<StoredRow>& rows) {
  for (const auto& it : rows) OnRequestRow(it);
  if (!is_loaded_) {
    is_loaded_ = true;
    RemoveOrphanedProgress(rows);
    base::Log(
        base::events::kServiceLoaded,
        {{"service", service_.str()},
         {"epoch", epoch_},
         {"jobs", tracker_.jobs().size()},
         {"workers", workers_.size()},
         {"after_ms", (dependencies_.loop.Now() - acquired_at_).count()}});
    waiting_counter_->Start();
    for (auto& [name, worker] : workers_) worker.session->Start();
  }
  ScheduleDecisionRound();
}

void OwnedService::OnRequestRow(const StoredRow& row) {
  if (const auto cancelled = CancelledJob(row.address.key)) {
    if (!row.is_deleted) OnCancelRequest(*cancelled);
    return;
  }
  if (row.is_deleted) return;
  const base::JobName name(row.address.key);
  if (tracker_.Find(name) != nullptr) return;
  auto job = jobs::DecodeJob(row.value);
  if (!job) {
    base::Log(base::events::kRowUnreadable, {{"key", row.address.key}});
    return;
  }
  if (!job->is_indexed) indexer_.AddUnindexed(name);
  std::optional<jobs::JobProgress> progress;
  store::RowVersion version = store::kAbsent;
  const auto it = progress_rows_.find(name);
  if (it != progress_rows_.end()) {
    progress = jobs::DecodeProgress(it->second.value);
    version = it->second.version;
    if (!progress) {
      base::Log(base::events::kRowUnreadable, {{"key", row.address.key}});
      return;
    }
  }
  // The clocks of two VMs may differ slightly, and one may have jumped, so the
  // age is limited to a plausible range.
  constexpr base::Duration kMaxAge{600'000};
  const auto age =
      std::clamp(base::Duration(dependencies_.unix_ms() - job->accepted_ms),
                 base::Duration(0), kMaxAge);
  const auto* entry = tracker_.Add(
      std::make_shared<const jobs::Job>(std::move(*job)),
      progress ? &*progress : nullptr, version, age, dependencies_.loop.Now());
  // The owner that recorded the end has logged it, so it is not logged again.
  if (IsFinal(entry->state)) ended_at_.emplace(name, dependencies_.loop.Now());
}

void OwnedService::OnCancelRequest(const base::JobName& name) {
  auto* job = tracker_.Find(name);
  if (job == nullptr || IsFinal(job->state)) return;
  base::Log(base::events::kJobCancelled,
            {{"request", name}, {"service", service_.str()}});
  tracker_.Cancel(*job);
}

// Periodic work.

void OwnedService::Tick() {
  if (is_loaded_) {
    tracker_.ActivateDueOccurrences(dependencies_.unix_ms(),
                                    dependencies_.loop.Now());
    HandleExpiredLeases();
    ResolveByRegistrations();
    DropUnverifiedStarts();
    UpdateSilentDomains();
    StopStalledUnits();
    HandleEvacuationChanges();
    StopUnitsOnDrainingWorkers();
    worker_health_.ReleaseExpired(dependencies_.loop.Now());
    indexer_.Update();
    RemoveExpiredJobs();
    ScheduleDecisionRound();
  }
  dependencies_.loop.After(options_.tick_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
  if (!is_loaded_) return;
  // `on_state` may destroy this object, so it is called after this callback.
  dependencies_.loop.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->permissions_.on_state(self->Obstacle(), self->HasWaitingWork());
    }
  });
}

/// Removes jobs that ended more than `keep_ended` ago, and their rows, unless a
/// task of theirs may still run or their progress is not recorded.
void OwnedService::RemoveExpiredJobs() {
  if (!indexer_.is_ready()) return;
  const auto now = dependencies_.loop.Now();
  std::vector<base::JobName> expired;
  for (const auto& [name, at] : ended_at_) {
    if (now - at > options_.ended_job_retention) expired.push_back(name);
  }
  for (const auto& name : expired) {
    auto* job = tracker_.Find(name);
    const bool is_active =
        std::any_of(tracker_.active().begin(), tracker_.active().end(),
                    [job](const Unit* it) { return it->step_run->job == job; });
    const auto& recorder =
        *recorders_[static_cast<std::size_t>(job->partition)];
    if (is_active || !recorder.IsRecorded(name)) continue;
    RemoveJobRows(name);
    ended_at_.erase(name);
    tracker_.Remove(name);
  }
}

/// Removes progress rows without a request. A job's request is written before
/// its progress and removed before it, and the progress was read before the
/// requests, so such a row is left over from an incomplete removal.
void OwnedService::RemoveOrphanedProgress(
    const std::vector<StoredRow>& requests) {
  std::set<std::string> request_keys;
  for (const auto& it : requests) request_keys.insert(it.address.key);
  for (const auto& [name, row] : std::exchange(progress_rows_, {})) {
    if (request_keys.contains(name.str())) continue;
    RemoveProgressRow(name);
  }
}

void OwnedService::RemoveProgressRow(const base::JobName& name) {
  const auto partition =
      static_cast<std::size_t>(jobs::ProgressPartitionIndex(name));
  dependencies_.store.Commit(
      {jobs::ProgressPartition(service_, name),
       {{std::string(kOwnerTable), std::string(kFenceKey),
         recorders_[partition]->fence_version()}},
       {},
       {{std::string(jobs::kProgressTable), name.str()}}},
      [](const store::RowsResult&) {});
}

/// Removes a job's rows. Its request goes before its progress, because a
/// request without progress would be treated as a new job; if a failure leaves
/// the progress row behind, the next owner removes it. The entry in the index
/// goes first, because a later job of the same name would be sent after it.
void OwnedService::RemoveJobRows(const base::JobName& name) {
  indexer_.Remove(name, [weak = weak_from_this(), name] {
    if (const auto self = weak.lock()) self->RemoveRequest(name);
  });
}

void OwnedService::RemoveRequest(const base::JobName& name) {
  const std::string requests(jobs::kRequestTable);
  dependencies_.store.Commit(
      {jobs::RequestPartition(service_, name),
       {},
       {},
       {{requests, name.str()},
        {requests, name.str() + std::string(jobs::kCancelSuffix)}}},
      [weak = weak_from_this(), name](const store::RowsResult& result) {
        const auto self = weak.lock();
        const bool is_committed =
            std::holds_alternative<store::RowsCommitted>(result);
        if (self && is_committed) self->RemoveProgressRow(name);
      });
}

}  // namespace lapishatch::dispatch::internal
