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

JobRemoverOptions RemoverOptionsFor(const ServiceOwnerOptions& options) {
  JobRemoverOptions out;
  out.retention = options.ended_job_retention;
  return out;
}

}  // namespace

OwnedService::OwnedService(const ServiceOwnerDependencies& dependencies,
                           base::ServiceName service, Epoch epoch,
                           base::Duration former_leases,
                           const ServiceOwnerOptions& options,
                           OwnerPermissions permissions)
    : dependencies_(dependencies),
      service_(std::move(service)),
      epoch_(epoch),
      former_leases_(former_leases),
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
      indexer_(dependencies.loop, dependencies.store, service_),
      remover_(
          dependencies.loop, dependencies.store, service_, indexer_,
          dependencies.metrics, RemoverOptionsFor(options),
          {[this](const base::JobName& name) { return MayRemove(name); },
           [this](const base::JobName& name) {
             const auto* job = tracker_.Find(name);
             return job == nullptr ? store::kAbsent : job->row_version;
           },
           [this](const base::JobName& name) {
             return RecorderOf(name).fence_version();
           },
           [this](const base::JobName& name) { tracker_.Remove(name); },
           [this](const StoredRow& row) { OnRequestRow(row); },
           [this](const std::string& reason) { GiveUpOwnership(reason); }}) {}

OwnedService::~OwnedService() {
  SetGauge(stopping_gauge_, 0);
  SetGauge(held_gauge_, 0);
}

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
  remover_.OnSnapshot(rows);
  for (const auto& it : rows) OnRequestRow(it);
  if (!is_loaded_) {
    is_loaded_ = true;
    FindOrphanedProgress(rows);
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
    if (row.is_deleted) return remover_.OnCancellationDeleted(*cancelled, row);
    if (remover_.AddCancellation(*cancelled, row)) OnCancelRequest(*cancelled);
    return;
  }
  if (row.is_deleted) return remover_.OnRequestDeleted(row);
  if (!remover_.AddRequest(row)) return;
  const base::JobName name(row.address.key);
  const auto it = progress_rows_.find(name);
  const auto version =
      it == progress_rows_.end() ? store::kAbsent : it->second.version;
  // A job's progress is newer than its request; an older row is that of an
  // earlier job of the same name.
  const bool has_progress = version > row.version;
  auto stored = ReadStoredJob(row, has_progress ? &it->second : nullptr);
  if (const auto* invalid = std::get_if<InvalidJob>(&stored)) {
    AddInvalidJob(name, *invalid, version);
  } else {
    AddJob(std::get<UsableJob>(std::move(stored)), version);
  }
  if (remover_.TakeCancellation(name)) OnCancelRequest(name);
}

void OwnedService::AddJob(UsableJob stored,
                          store::RowVersion progress_version) {
  const auto name = stored.job.name;
  if (!stored.job.is_indexed) indexer_.AddUnindexed(name);
  // The clocks of two VMs may differ slightly, and one may have jumped, so the
  // age is limited to a plausible range.
  constexpr base::Duration kMaxAge{600'000};
  const auto age = std::clamp(
      base::Duration(dependencies_.unix_ms() - stored.job.accepted_ms),
      base::Duration(0), kMaxAge);
  const auto* entry =
      tracker_.Add(std::make_shared<const jobs::Job>(std::move(stored.job)),
                   stored.progress ? &*stored.progress : nullptr,
                   progress_version, age, dependencies_.loop.Now());
  // The owner that recorded the end has logged it, so it is not logged again.
  if (IsFinal(entry->state)) remover_.MarkEnded(name);
}

/// Fails a job that can never run. Any other is held: a later version of the
/// program may be able to run it, and its caller can cancel it.
void OwnedService::AddInvalidJob(const base::JobName& name,
                                 const InvalidJob& invalid,
                                 store::RowVersion progress_version) {
  auto* entry = tracker_.AddInvalid(name, invalid.final_state, progress_version,
                                    dependencies_.loop.Now());
  if (invalid.final_state) {
    remover_.MarkEnded(name);
    return;
  }
  const bool is_impossible = invalid.reason == InvalidJobReason::kLimits;
  base::Log(base::events::kJobUnusable,
            {{"request", name},
             {"service", service_.str()},
             {"reason", base::NameOf(invalid.reason)},
             {"detail", invalid.detail},
             {"held", !is_impossible}});
  if (is_impossible) tracker_.Reject(*entry);
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
    ReportStops();
    SetGauge(held_gauge_, tracker_.held_jobs());
    worker_health_.ReleaseExpired(dependencies_.loop.Now());
    indexer_.Update();
    remover_.Update();
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

void OwnedService::SetGauge(Gauge& gauge, int value) {
  if (dependencies_.metrics == nullptr || value == gauge.reported) return;
  gauge.reported = value;
  dependencies_.metrics->Set(gauge.name, {{"service", service_.str()}}, value);
}

bool OwnedService::MayRemove(const base::JobName& name) {
  const auto* job = tracker_.Find(name);
  // Nothing of a held job runs but strays, which are stopped anyway.
  if (job == nullptr || job->is_held) return true;
  if (!IsFinal(job->state)) return false;
  for (const auto& runs : job->runs) {
    for (const auto& run : runs) {
      for (const auto& it : run.units) {
        if (!it.members.empty()) return false;
      }
    }
  }
  return RecorderOf(name).IsRecorded(name);
}

const Recorder& OwnedService::RecorderOf(const base::JobName& name) const {
  const auto partition = jobs::ProgressPartitionIndex(name);
  return *recorders_[static_cast<std::size_t>(partition)];
}

/// Finds progress rows without a request. A job's request is written before its
/// progress, and the progress was read before the requests, so such a row is
/// left over from an incomplete removal.
void OwnedService::FindOrphanedProgress(
    const std::vector<StoredRow>& requests) {
  std::set<std::string> request_keys;
  for (const auto& it : requests) request_keys.insert(it.address.key);
  for (const auto& [name, row] : std::exchange(progress_rows_, {})) {
    if (!request_keys.contains(name.str())) remover_.AddOrphanedProgress(row);
  }
}

}  // namespace lapishatch::dispatch::internal
