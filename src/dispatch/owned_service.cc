#include "dispatch/internal/owned_service.h"

#include <algorithm>
#include <utility>

#include "dispatch/internal/derived_options.h"

namespace lapishatch::dispatch::internal {

using base::TimePoint;
using store::StoredRow;

namespace {

/// The job whose cancelling a row of the requests is; nothing for another row.
std::optional<base::JobName> CancelledJob(const std::string& key) {
  if (!key.ends_with(jobs::kCancelSuffix)) return std::nullopt;
  return base::JobName(key.substr(0, key.size() - jobs::kCancelSuffix.size()));
}

}  // namespace

OwnedService::OwnedService(const ServiceOwnerDependencies& ports,
                           base::ServiceName service, Epoch epoch,
                           bool former_is_gone,
                           const ServiceOwnerOptions& options,
                           OwnerRights rights)
    : ports_(ports),
      service_(std::move(service)),
      epoch_(epoch),
      former_is_gone_(former_is_gone),
      options_(options),
      rights_(std::move(rights)),
      taken_at_(ports.loop.Now()),
      book_(fleet_),
      planner_(book_, fleet_, PlannerOptionsFor(options.bounds)),
      session_options_(SessionOptionsFor(options.bounds)),
      loader_(
          ports.loop, ports.store, service_, epoch,
          [this](LoadedService loaded) { OnLoaded(std::move(loaded)); },
          [this](const std::string& reason) { Lose(reason); }) {}

void OwnedService::Start() {
  loader_.Start();
  Tick();
}

void OwnedService::Lose(const std::string& reason) {
  // The owner destroys this object; what is running now must end first.
  ports_.loop.Post([weak = weak_from_this(), reason] {
    if (const auto self = weak.lock()) self->rights_.on_lost(reason);
  });
}

// Loading.

void OwnedService::OnLoaded(LoadedService loaded) {
  progress_rows_ = std::move(loaded.progress_rows);
  const auto parts = jobs::ProgressPartitions(service_);
  for (int i = 0; i < jobs::kProgressPartitionCount; ++i) {
    const auto index = static_cast<std::size_t>(i);
    recorders_.push_back(std::make_unique<Recorder>(
        ports_.loop, ports_.store, parts[index], i,
        loaded.fence_versions[index], book_, RecorderOptions{},
        [this](const std::string& reason) { Lose(reason); }));
  }
  counter_.emplace(ports_.loop, ports_.store,
                   jobs::WaitingCountsPartition(service_),
                   loaded.fence_versions.front(), book_);
  FollowRequests();
}

void OwnedService::FollowRequests() {
  const auto weak = weak_from_this();
  requests_.emplace(
      ports_.loop, ports_.store, std::string(jobs::kRequestTable),
      jobs::RequestPartitions(service_), options_.lease.follow,
      store::FollowerEvents{
          [weak](const std::vector<StoredRow>& rows, store::RowVersion) {
            if (const auto self = weak.lock()) self->OnAllRequests(rows);
          },
          [weak](const std::vector<StoredRow>& rows, store::RowVersion) {
            const auto self = weak.lock();
            if (!self) return;
            for (const auto& it : rows) self->OnRequest(it);
            if (!rows.empty()) self->Pump();
          },
          nullptr});
  requests_->Start();
}

void OwnedService::OnAllRequests(const std::vector<StoredRow>& rows) {
  for (const auto& it : rows) OnRequest(it);
  if (!is_loaded_) {
    is_loaded_ = true;
    RemoveOrphans(rows);
    base::Log(base::events::kServiceLoaded,
              {{"service", service_.str()},
               {"epoch", epoch_},
               {"jobs", book_.jobs().size()},
               {"workers", workers_.size()},
               {"after_ms", (ports_.loop.Now() - taken_at_).count()}});
    counter_->Start();
    for (auto& [name, worker] : workers_) worker.session->Start();
  }
  Pump();
}

void OwnedService::OnRequest(const StoredRow& row) {
  if (const auto cancelled = CancelledJob(row.address.key)) {
    if (!row.is_deleted) OnCancel(*cancelled);
    return;
  }
  if (row.is_deleted) return;
  const base::JobName name(row.address.key);
  if (book_.Find(name) != nullptr) return;
  auto job = jobs::DecodeJob(row.value);
  if (!job) {
    base::Log(base::events::kRowUnreadable, {{"key", row.address.key}});
    return;
  }
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
  // Clocks of two VMs may differ a little, and one may have jumped.
  constexpr base::Duration kMostAge{600'000};
  const auto age =
      std::clamp(base::Duration(ports_.unix_ms() - job->accepted_ms),
                 base::Duration(0), kMostAge);
  const auto* entry = book_.Add(
      std::make_shared<const jobs::Job>(std::move(*job)),
      progress ? &*progress : nullptr, version, age, ports_.loop.Now());
  // Its end was logged by the owner that saw it.
  if (IsFinal(entry->state)) ended_at_.emplace(name, ports_.loop.Now());
}

void OwnedService::OnCancel(const base::JobName& name) {
  auto* job = book_.Find(name);
  if (job == nullptr || IsFinal(job->state)) return;
  base::Log(base::events::kJobCancelled,
            {{"request", name}, {"service", service_.str()}});
  book_.Cancel(*job);
}

// From time to time.

void OwnedService::Tick() {
  if (is_loaded_) {
    book_.BeginDue(ports_.unix_ms(), ports_.loop.Now());
    CheckLapsed();
    FindSilent();
    CheckStalled();
    NoteEvacuations();
    DrainWorkers();
    health_.Release(ports_.loop.Now());
    RemoveOld();
    Pump();
  }
  ports_.loop.After(options_.tick_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

/// Removes the rows of jobs that ended long ago.
void OwnedService::RemoveOld() {
  const auto now = ports_.loop.Now();
  std::vector<base::JobName> old;
  for (const auto& [name, at] : ended_at_) {
    if (now - at > options_.ended_job_retention) old.push_back(name);
  }
  for (const auto& name : old) {
    auto* job = book_.Find(name);
    const bool may_run =
        std::any_of(book_.active().begin(), book_.active().end(),
                    [job](const Unit* it) { return it->step->job == job; });
    const auto& recorder = *recorders_[static_cast<std::size_t>(job->part)];
    if (may_run || !recorder.IsRecorded(name)) continue;
    RemoveRows(name);
    ended_at_.erase(name);
    book_.Remove(name);
  }
}

/// Progress was read before the requests, which are written first and removed
/// first: what has none is left over from a removal that stopped halfway.
void OwnedService::RemoveOrphans(const std::vector<StoredRow>& requests) {
  std::set<std::string> present;
  for (const auto& it : requests) present.insert(it.address.key);
  for (const auto& [name, row] : std::exchange(progress_rows_, {})) {
    if (present.contains(name.str())) continue;
    RemoveProgress(name);
  }
}

void OwnedService::RemoveProgress(const base::JobName& name) {
  const auto part =
      static_cast<std::size_t>(jobs::ProgressPartitionIndex(name));
  ports_.store.Commit({jobs::ProgressPartition(service_, name),
                       {{std::string(kOwnerTable), std::string(kFenceKey),
                         recorders_[part]->fence_version()}},
                       {},
                       {{std::string(jobs::kProgressTable), name.str()}}},
                      [](const store::RowsResult&) {});
}

/// Removes a job's rows, its request first: a request without progress would
/// be taken for a new job. What a failure leaves behind, the next owner
/// removes.
void OwnedService::RemoveRows(const base::JobName& name) {
  const std::string requests(jobs::kRequestTable);
  ports_.store.Commit(
      {jobs::RequestPartition(service_, name),
       {},
       {},
       {{requests, name.str()},
        {requests, name.str() + std::string(jobs::kCancelSuffix)}}},
      [weak = weak_from_this(), name](const store::RowsResult& result) {
        const auto self = weak.lock();
        const bool is_done =
            std::holds_alternative<store::RowsCommitted>(result);
        if (self && is_done) self->RemoveProgress(name);
      });
}

}  // namespace lapishatch::dispatch::internal
