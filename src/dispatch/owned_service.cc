#include "dispatch/internal/owned_service.h"

#include <algorithm>
#include <utility>

namespace lapishatch::dispatch::internal {

using base::TimePoint;
using store::RowsRead;
using store::StoredRow;

namespace {

std::string TextOf(const jobs::TaskName& task) {
  return task.job.str() + '/' + std::to_string(task.occurrence) + '/' +
         std::to_string(task.step) + '/' + std::to_string(task.index);
}

/// The job whose cancelling a row of the requests is; nothing for another row.
std::optional<base::JobName> CancelledJob(const std::string& key) {
  if (!key.ends_with(jobs::kCancelSuffix)) return std::nullopt;
  return base::JobName(key.substr(0, key.size() - jobs::kCancelSuffix.size()));
}

}  // namespace

OwnedService::OwnedService(const ServiceOwnerPorts& ports,
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
      planner_(book_, fleet_, {}),
      counter_(ports.loop, ports.store, service_, epoch, book_),
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
  progress_rows_ = std::move(loaded.progress);
  const auto parts = jobs::PartsOf(service_);
  for (int i = 0; i < jobs::kParts; ++i) {
    const auto index = static_cast<std::size_t>(i);
    recorders_.push_back(std::make_unique<Recorder>(
        ports_.loop, ports_.store, parts[index], i, loaded.fences[index], book_,
        RecorderOptions{},
        [this](const std::string& reason) { Lose(reason); }));
  }
  FollowRequests();
}

void OwnedService::FollowRequests() {
  const auto weak = weak_from_this();
  requests_.emplace(
      ports_.loop, ports_.store, std::string(jobs::kRequestTable),
      jobs::PartsOf(service_), options_.lease.follow,
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
    progress_rows_.clear();
    base::Log(base::events::kServiceLoaded,
              {{"service", service_.str()},
               {"epoch", epoch_},
               {"jobs", book_.jobs().size()},
               {"workers", workers_.size()},
               {"after_ms", (ports_.loop.Now() - taken_at_).count()}});
    counter_.Start();
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
  book_.Add(std::make_shared<const jobs::Job>(std::move(*job)),
            progress ? &*progress : nullptr, version, age, ports_.loop.Now());
}

void OwnedService::OnCancel(const base::JobName& name) {
  auto* job = book_.Find(name);
  if (job == nullptr || IsFinal(job->state)) return;
  base::Log(base::events::kJobCancelled,
            {{"request", name}, {"service", service_.str()}});
  book_.Cancel(*job);
}

// Workers.

OwnedService::Worker* OwnedService::FindWorker(const base::WorkerName& name) {
  const auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : &it->second;
}

void OwnedService::PutWorker(const WorkerEntry& entry) {
  if (entry.service != service_) return;
  fleet_.Put(entry);
  auto& worker = workers_[entry.name];
  worker.is_listed = true;
  if (!worker.session) return OpenSession(entry);
  worker.session->SetEntry(entry);
  Pump();
}

void OwnedService::OpenSession(const WorkerEntry& entry) {
  const auto weak = weak_from_this();
  const auto name = entry.name;
  WorkerSession::Events events;
  events.on_news = [weak, name](WorkerNews news, TimePoint sent) {
    if (const auto self = weak.lock()) self->OnNews(name, news, sent);
  };
  events.on_superseded = [weak] {
    if (const auto self = weak.lock()) {
      self->Lose("a worker has seen a higher epoch");
    }
  };
  events.on_other_life = [weak, name] {
    const auto self = weak.lock();
    if (!self) return;
    self->EndAllOn(name, "another life is at its address");
    self->fleet_.Remove(name);
    self->ports_.loop.Post([weak, name] {
      if (const auto held = weak.lock()) held->workers_.erase(name);
    });
  };
  events.may_renew = rights_.may_renew;
  auto& worker = workers_[name];
  worker.session = std::make_unique<WorkerSession>(
      ports_.loop, ports_.workers, entry, epoch_, SessionOptions{}, events);
  if (is_loaded_) worker.session->Start();
}

void OwnedService::RemoveWorker(const base::WorkerName& name) {
  if (auto* worker = FindWorker(name)) worker->is_listed = false;
  UpdateOpen();
}

/// Whether each worker may get new tasks: it is registered, does not leave, has
/// answered lately and refused nothing.
void OwnedService::UpdateOpen() {
  const auto now = ports_.loop.Now();
  for (const auto& [name, worker] : workers_) {
    auto* place = fleet_.Find(name);
    if (place == nullptr) continue;
    place->is_open = worker.is_listed && worker.session->is_heard() &&
                     worker.session->IsReached() &&
                     !worker.session->entry().is_draining &&
                     worker.closed_until <= now;
  }
}

std::vector<std::pair<Unit*, int>> OwnedService::MembersOn(
    const base::WorkerName& name) {
  std::vector<std::pair<Unit*, int>> out;
  for (auto* unit : book_.active()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      const auto& it = unit->members[i];
      if (it.worker != name || it.state == MemberState::kOver) continue;
      out.emplace_back(unit, unit->first_index + static_cast<int>(i));
    }
  }
  return out;
}

void OwnedService::OnNews(const base::WorkerName& name, const WorkerNews& news,
                          TimePoint sent) {
  auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  jobs::Room strays;
  for (const auto& it : news.running) {
    auto* unit = FindRun(it.task, it.run);
    if (unit != nullptr) {
      OnRunning(name, it, sent);
      continue;
    }
    if (auto* former = book_.FindUnit(it.task)) {
      strays += CountedNeeds(*former->step->step);
    }
    SendStop(it.task, it.run, name);
  }
  if (auto* place = fleet_.Find(name)) place->strays = strays;
  for (const auto& it : news.ended) OnEnded(name, it);
  ResolveUnlisted(name, news, sent);
  const auto told = worker->session->ends_told();
  if (!news.ended.empty()) {
    FlushAll([weak = weak_from_this(), name, told] {
      const auto self = weak.lock();
      if (!self) return;
      if (auto* it = self->FindWorker(name)) it->session->EndsRecorded(told);
    });
  }
  Pump();
}

Unit* OwnedService::FindRun(const jobs::TaskName& task, int run) {
  auto* unit = book_.FindUnit(task);
  if (unit == nullptr || unit->members.empty() || unit->last_run != run) {
    return nullptr;
  }
  const auto& member = JobBook::MemberOf(*unit, task.index);
  return member.state == MemberState::kOver ? nullptr : unit;
}

void OwnedService::OnRunning(const base::WorkerName& name,
                             const RunningTask& task, TimePoint sent) {
  auto* unit = FindRun(task.task, task.run);
  auto& member = JobBook::MemberOf(*unit, task.task.index);
  if (member.worker != name) return;
  JobBook::OnCheckpoint(*unit, task.checkpoint, sent);
  if (member.state == MemberState::kRunning) return;
  member.state = MemberState::kRunning;
  member.confirmed = sent;
}

void OwnedService::OnEnded(const base::WorkerName& name, const EndedTask& end) {
  auto* unit = FindRun(end.task, end.run);
  const bool is_present =
      unit != nullptr &&
      JobBook::MemberOf(*unit, end.task.index).worker == name;
  if (!is_present) {
    auto* former = book_.FindUnit(end.task);
    if (former == nullptr || end.kind != EndKind::kDone) return;
    book_.OnEarlierDone(*former, end.run, ports_.loop.Now());
    return;
  }
  if (end.kind != EndKind::kDone) {
    base::Log(base::events::kTaskEnded, {{"request", end.task.job},
                                         {"task", TextOf(end.task)},
                                         {"run", end.run},
                                         {"worker", name},
                                         {"how", base::NameOf(end.kind)}});
  }
  book_.OnEnded(*unit, end.task.index, end.kind, end.checkpoint,
                ports_.loop.Now());
}

/// Members that the worker neither runs nor has listed as ended are over, when
/// nothing that was sent can begin them any more.
void OwnedService::ResolveUnlisted(const base::WorkerName& name,
                                   const WorkerNews& news, TimePoint sent) {
  for (const auto& [unit, index] : MembersOn(name)) {
    auto& member = JobBook::MemberOf(*unit, index);
    const jobs::TaskName task{unit->step->job->job->name,
                              unit->step->occurrence, unit->step->number,
                              index};
    const bool is_listed = std::any_of(
        news.running.begin(), news.running.end(), [&](const RunningTask& it) {
          return it.task == task && it.run == unit->last_run;
        });
    if (is_listed || member.state == MemberState::kPlanned) continue;
    const bool was_confirmed =
        member.confirmed != TimePoint{} && member.confirmed < sent &&
        (member.state == MemberState::kRunning || member.is_stop_confirmed);
    // A start of a former owner has no known expiry here (0): this owner's
    // epoch has ended it.
    const bool is_too_late =
        member.state == MemberState::kUnsure && news.clock > member.expires;
    if (!was_confirmed && !is_too_late) continue;
    base::Log(base::events::kTaskVanished, {{"request", task.job},
                                            {"task", TextOf(task)},
                                            {"run", unit->last_run},
                                            {"worker", name}});
    book_.OnLost(*unit, index, ports_.loop.Now());
  }
}

void OwnedService::EndAllOn(const base::WorkerName& name,
                            const std::string& why) {
  const auto members = MembersOn(name);
  base::Log(base::events::kWorkerGone, {{"service", service_.str()},
                                        {"worker", name},
                                        {"tasks", members.size()},
                                        {"reason", why}});
  for (const auto& [unit, index] : members) {
    book_.OnLost(*unit, index, ports_.loop.Now());
  }
  Pump();
}

/// Ends what was on workers whose leases have certainly run out, and forgets
/// those that are not registered any more.
void OwnedService::CheckLapsed() {
  const auto now = ports_.loop.Now();
  // A former owner that is cut off may have renewed until `orphan_limit` after
  // its last renewal of the row, which was at least the lease's length before
  // the row was taken.
  const SessionOptions session;
  const auto renewed_for = former_is_gone_
                               ? base::Duration(0)
                               : options_.orphan_limit - options_.lease.length;
  const auto unheard = renewed_for + session.lease + session.lease / 20 +
                       session.clock_slack;
  std::vector<base::WorkerName> gone;
  for (auto& [name, worker] : workers_) {
    const auto& it = *worker.session;
    const bool has_lapsed =
        it.is_heard() ? it.HasLapsed() : now - taken_at_ > unheard;
    if (!has_lapsed) continue;
    if (!MembersOn(name).empty()) EndAllOn(name, "its lease has run out");
    if (!worker.is_listed) gone.push_back(name);
  }
  for (const auto& it : gone) {
    workers_.erase(it);
    fleet_.Remove(it);
  }
  if (now - taken_at_ <= unheard) return;
  // Recorded starts at workers that were never seen under this epoch.
  std::vector<std::pair<Unit*, int>> lost;
  for (auto* unit : book_.active()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      const auto& it = unit->members[i];
      if (it.state == MemberState::kOver || workers_.contains(it.worker)) {
        continue;
      }
      lost.emplace_back(unit, unit->first_index + static_cast<int>(i));
    }
  }
  for (const auto& [unit, index] : lost) book_.OnLost(*unit, index, now);
}

void OwnedService::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  planner_.SetGuarantees(std::move(guarantees));
  Pump();
}

// Orders.

/// Decides, records and sends, once for everything that happened before it
/// runs.
void OwnedService::Pump() {
  if (is_pump_posted_ || !is_loaded_) return;
  is_pump_posted_ = true;
  ports_.loop.Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->is_pump_posted_ = false;
    self->UpdateOpen();
    std::vector<Unit*> units;
    if (self->rights_.may_start()) {
      units = self->planner_.Decide(self->ports_.loop.Now());
    }
    self->SendStops();
    if (!units.empty()) self->SendStarts(units);
    self->LogEnds();
    for (const auto& it : self->recorders_) it->Flush(nullptr);
  });
}

/// Calls `done` once everything that is dirty now stands in the store.
void OwnedService::FlushAll(std::function<void()> done) {
  auto left = std::make_shared<std::size_t>(recorders_.size());
  for (const auto& it : recorders_) {
    it->Flush([left, done] {
      if (--*left == 0) done();
    });
  }
}

/// Sends the starts of `units` once they are recorded, each part's by itself.
void OwnedService::SendStarts(const std::vector<Unit*>& units) {
  struct Planned {
    jobs::TaskName task;
    int run = 0;
  };
  std::map<int, std::vector<Planned>> by_part;
  for (const auto* unit : units) {
    const auto& job = *unit->step->job;
    base::Log(base::events::kUnitStarted,
              {{"request", job.job->name},
               {"task", TextOf(JobBook::NameOf(*unit, 0))},
               {"run", unit->last_run},
               {"tasks", unit->members.size()},
               {"worker", unit->members.front().worker},
               {"waited_ms", (unit->started - unit->waiting_since).count()},
               {"age_ms", (unit->started - job.accepted).count()}});
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      by_part[job.part].push_back({JobBook::NameOf(*unit, i), unit->last_run});
    }
  }
  for (auto& [part, planned] : by_part) {
    recorders_[static_cast<std::size_t>(part)]->Flush(
        [weak = weak_from_this(), planned = std::move(planned)] {
          const auto self = weak.lock();
          if (!self) return;
          for (const auto& it : planned) self->SendStart(it.task, it.run);
          self->Pump();
        });
  }
}

void OwnedService::SendStart(const jobs::TaskName& task, int run) {
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  if (member.state == MemberState::kRunning) return;
  auto* worker = FindWorker(member.worker);
  const bool may_send = worker != nullptr && worker->session->is_heard() &&
                        !unit->is_stopping && rights_.may_start();
  if (!may_send) {
    if (member.state == MemberState::kPlanned) {
      book_.OnRefused(*unit, task.index, ports_.loop.Now());
      Pump();
    }
    return;
  }
  auto& session = *worker->session;
  StartOrder order{task,
                   run,
                   unit->step->job->job->spec,
                   session.Clock() + options_.start_window.count(),
                   epoch_,
                   unit->checkpoint};
  session.NoteExpiry(order.expires);
  member.state = MemberState::kUnsure;
  member.expires = std::max(member.expires, order.expires);
  ports_.workers.Start(
      session.address(), std::move(order), options_.start_timeout,
      [weak = weak_from_this(), task, run](StartResult result) {
        const auto self = weak.lock();
        if (self) self->OnStarted(task, run, std::move(result));
      });
}

void OwnedService::OnStarted(const jobs::TaskName& task, int run,
                             StartResult result) {
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  auto* worker = FindWorker(member.worker);
  const auto now = ports_.loop.Now();
  if (std::holds_alternative<Started>(result)) {
    member.state = MemberState::kRunning;
    member.confirmed = now;
    return;
  }
  if (member.state == MemberState::kRunning) return;
  if (const auto* refused = std::get_if<Refused>(&result)) {
    base::Log(base::events::kStartRefused,
              {{"request", task.job},
               {"task", TextOf(task)},
               {"run", run},
               {"worker", member.worker},
               {"reason", base::NameOf(refused->reason)}});
    if (refused->reason == Refusal::kEpoch) {
      return Lose("a worker has seen a higher epoch");
    }
    // Only the first try can be refused for good: a later one may be refused
    // since an earlier one has run and ended, which the worker then lists.
    if (member.unanswered > 0) return;
    if (worker != nullptr) worker->closed_until = now + options_.refused_pause;
    book_.OnRefused(*unit, task.index, now);
    return Pump();
  }
  if (std::holds_alternative<NotSent>(result) && member.unanswered == 0) {
    if (worker != nullptr) worker->session->Doubt();
    book_.OnRefused(*unit, task.index, now);
    return Pump();
  }
  ++member.unanswered;
  base::Log(base::events::kStartUnanswered, {{"request", task.job},
                                             {"task", TextOf(task)},
                                             {"run", run},
                                             {"worker", member.worker},
                                             {"tries", member.unanswered}});
  if (worker != nullptr) worker->session->Doubt();
  if (member.unanswered < options_.start_tries) return SendStart(task, run);
  book_.Stop(*unit);
  Pump();
}

void OwnedService::SendStops() {
  for (auto* unit : book_.to_stop()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      auto& member = unit->members[i];
      const bool can_stop = member.state == MemberState::kUnsure ||
                            member.state == MemberState::kRunning;
      if (!can_stop || member.is_stop_under_way) continue;
      member.is_stop_under_way = true;
      SendStop(JobBook::NameOf(*unit, i), unit->last_run, member.worker);
    }
  }
}

void OwnedService::SendStop(const jobs::TaskName& task, int run,
                            const base::WorkerName& name) {
  auto* worker = FindWorker(name);
  if (worker == nullptr || !rights_.may_renew()) return;
  ports_.workers.Stop(
      worker->session->address(), {task, run, epoch_}, options_.stop_timeout,
      [weak = weak_from_this(), task, run, name](const StopResult& result) {
        const auto self = weak.lock();
        if (self) self->OnStopped(task, run, name, result);
      });
}

void OwnedService::OnStopped(const jobs::TaskName& task, int run,
                             const base::WorkerName& name,
                             const StopResult& result) {
  const auto* refused = std::get_if<Refused>(&result);
  if (refused != nullptr && refused->reason == Refusal::kEpoch) {
    return Lose("a worker has seen a higher epoch");
  }
  auto* unit = FindRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobBook::MemberOf(*unit, task.index);
  if (member.worker != name) return;
  if (std::holds_alternative<Stopped>(result)) {
    member.is_stop_confirmed = true;
    member.confirmed = ports_.loop.Now();
  }
  // Its end is listed soon; a stop whose order was lost is sent again.
  ports_.loop.After(options_.stop_again, [weak = weak_from_this(), task, run] {
    const auto self = weak.lock();
    if (!self) return;
    if (auto* it = self->FindRun(task, run)) {
      JobBook::MemberOf(*it, task.index).is_stop_under_way = false;
      self->Pump();
    }
  });
}

void OwnedService::LogEnds() {
  for (int i = 0; i < jobs::kParts; ++i) {
    for (const auto* job : book_.dirty(i)) LogEnd(*job);
  }
}

void OwnedService::LogEnd(const JobEntry& job) {
  if (!IsFinal(job.state) || ended_at_.contains(job.job->name)) return;
  const auto now = ports_.loop.Now();
  ended_at_.emplace(job.job->name, now);
  base::Log(base::events::kJobEnded,
            {{"request", job.job->name},
             {"state", base::NameOf(job.state)},
             {"after_ms", (now - job.accepted).count()}});
}

// From time to time.

void OwnedService::Tick() {
  if (is_loaded_) {
    book_.BeginDue(ports_.unix_ms(), ports_.loop.Now());
    CheckLapsed();
    RemoveOld();
    Pump();
  }
  ports_.loop.After(options_.tick, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

/// Removes the rows of jobs that ended long ago.
void OwnedService::RemoveOld() {
  const auto now = ports_.loop.Now();
  std::vector<base::JobName> old;
  for (const auto& [name, job] : book_.jobs()) {
    if (!IsFinal(job->state)) continue;
    const auto [it, is_new] = ended_at_.try_emplace(name, now);
    if (!is_new && now - it->second > options_.keep_ended) old.push_back(name);
  }
  for (const auto& name : old) {
    auto* job = book_.Find(name);
    const bool may_run =
        std::any_of(book_.active().begin(), book_.active().end(),
                    [job](const Unit* it) { return it->step->job == job; });
    const auto& recorder = *recorders_[static_cast<std::size_t>(job->part)];
    if (may_run || !recorder.is_idle()) continue;
    const std::string requests(jobs::kRequestTable);
    ports_.store.Commit(
        {jobs::PartOf(service_, name),
         {{std::string(kOwnerTable), std::string(kFenceKey), recorder.fence()}},
         {},
         {{requests, name.str()},
          {requests, name.str() + std::string(jobs::kCancelSuffix)},
          {std::string(jobs::kProgressTable), name.str()}}},
        [](const store::RowsResult&) {});
    ended_at_.erase(name);
    book_.Remove(name);
  }
}

}  // namespace lapishatch::dispatch::internal
