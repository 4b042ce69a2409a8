#ifndef LAPISHATCH_TEST_DISPATCH_OWNER_WORLD_H_
#define LAPISHATCH_TEST_DISPATCH_OWNER_WORLD_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "fakes/busy_processor.h"
#include "fakes/fake_row_store.h"
#include "fakes/fake_task_workers.h"
#include "fakes/virtual_time.h"
#include "jobs/jobs.h"

namespace lapishatch::dispatch {

/// Some candidates for owning one service, its workers and its store, all in
/// virtual time. Jobs are submitted by an entry that no fault touches.
class OwnerWorld {
 public:
  static constexpr const char* kService = "survey";
  static constexpr int kAccelerators = 8;
  static constexpr int kCoresMillis = 64'000;
  static constexpr int kMemoryMb = 262'144;

  OwnerWorld(int owners, int workers) : store_(time_), workers_(time_) {
    workers_.needs = [this](const jobs::TaskName& task) {
      return NeedsOf(task);
    };
    workers_.gang_size = [this](const jobs::TaskName& task) {
      const auto it = jobs_.find(task.job);
      if (it == jobs_.end()) return 1;
      const auto& step = it->second.steps[static_cast<std::size_t>(task.step)];
      return step.is_gang ? step.tasks : 1;
    };
    for (int i = 0; i < workers; ++i) AddWorker(i);
    for (int i = 0; i < owners; ++i) StartOwner("vm" + std::to_string(i));
  }

  static base::WorkerName WorkerCalled(int i) {
    return base::WorkerName("w" + std::to_string(i));
  }

  /// Of the workers of rack `i`.
  static base::DomainName DomainCalled(int i) {
    return base::DomainName("d" + std::to_string(i));
  }

  /// Operators ask for a domain to be emptied, or take it back.
  void Evacuate(int domain) { TellEvacuation(domain, true); }
  void TakeBack(int domain) { TellEvacuation(domain, false); }

  /// What an owner knows of the evacuations stays as it is until Thaw.
  void FreezeEvacuations(const std::string& name) {
    views_.at(name).is_frozen = true;
  }
  void ThawEvacuations(const std::string& name) {
    views_.at(name).is_frozen = false;
  }

  void AddWorker(int i) {
    constexpr int kPerRack = 4;
    WorkerRegistration entry;
    entry.name = WorkerCalled(i);
    entry.service = base::ServiceName(kService);
    entry.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1 + i)};
    entry.rack = base::RackName("r" + std::to_string(i / kPerRack));
    entry.domain = DomainCalled(i / kPerRack);
    entry.labels = {"a", entry.rack.str()};
    entry.capacity = {kCoresMillis, kMemoryMb, kAccelerators};
    entries_[entry.name] = entry;
    workers_.Add(entry);
    for (const auto& [name, owner] : owners_) owner->PutWorker(entry);
  }

  /// Makes each worker that crashes restart after `downtime` under another
  /// name, at the same address or, with `changes_address`, at another one.
  void RestartCrashed(base::Duration downtime, bool changes_address = false) {
    workers_.on_crash = [this, downtime,
                         changes_address](const base::WorkerName& name) {
      const auto entry = entries_.at(name);
      time_.After(downtime, [this, entry, changes_address] {
        Restart(entry, changes_address);
      });
      constexpr base::Duration kRegistrationExpiry{4'500};
      time_.After(kRegistrationExpiry, [this, name] { Unlist(name); });
    };
  }

  /// Name of worker `i` after its latest restart, if any.
  base::WorkerName CurrentWorkerName(int i) const {
    const auto it = current_names_.find(WorkerCalled(i));
    return it == current_names_.end() ? WorkerCalled(i) : it->second;
  }

  /// The worker says that it leaves, after `stays` at the earliest.
  void Drain(const base::WorkerName& name, base::Duration stays) {
    auto& entry = entries_.at(name);
    entry.is_draining = true;
    entry.remaining_time = stays;
    for (const auto& [unused, owner] : owners_) owner->PutWorker(entry);
  }

  /// From a change of capacity until starts over the new one are violations.
  static constexpr base::Duration kCapacityGrace{4'500};

  /// Changes a worker's capacity; its registration shows it after
  /// `report_delay`.
  void SetCapacity(const base::WorkerName& name,
                   const jobs::Resources& capacity,
                   base::Duration report_delay = base::Duration(0)) {
    workers_.SetCapacity(name, capacity, kCapacityGrace);
    current_capacities_[name] = capacity;
    time_.After(report_delay, [this, name] {
      const auto it = entries_.find(name);
      if (it == entries_.end()) return;
      it->second.capacity = current_capacities_.at(name);
      for (const auto& [vm, owner] : owners_) {
        if (views_.at(vm).has_stale_registrations) continue;
        owner->PutWorker(it->second);
      }
    });
  }

  /// The owner on `vm` reads no registrations until ResumeRegistrations.
  void PauseRegistrations(const std::string& vm) {
    auto& view = views_.at(vm);
    view.has_stale_registrations = true;
    view.registrations_read = time_.Now();
  }
  void ResumeRegistrations(const std::string& vm) {
    views_.at(vm).has_stale_registrations = false;
    TellWorkers(vm);
  }

  /// The worker's registration goes; whether it runs on is another matter.
  void Unlist(const base::WorkerName& name) {
    entries_.erase(name);
    for (const auto& [unused, owner] : owners_) owner->RemoveWorker(name);
  }

  /// A candidate on a VM with so many cores.
  void StartOwner(const std::string& name, double cores = 1) {
    ServiceOwnerOptions options;
    options.lease.takeover_delay = TakeoverDelayFor(cores);
    views_.try_emplace(name);
    auto& vm = vms_[name];
    vm = std::make_unique<Vm>(time_, store_.For(name), workers_.For(name));
    vm->processor.SetCost(cost_);
    auto owner = std::make_unique<ServiceOwner>(
        ServiceOwnerDependencies{
            vm->processor, vm->store, vm->workers,
            [] { return base::Duration(0); },
            [this] { return time_.Now().time_since_epoch().count(); },
            &metrics_,
            [this, name](bool is_owner) {
              if (is_owner) TellWorkers(name);
            },
            [this, name]() -> const Evacuations& { return ViewOf(name); },
            [this, name] {
              const auto& view = views_.at(name);
              return view.has_stale_registrations ? view.registrations_read
                                                  : time_.Now();
            }},
        base::ServiceName(kService), name, options);
    owner->SetGuarantees(guarantees_);
    owner->Start();
    owners_[name] = std::move(owner);
  }

  void TellWorkers(const std::string& name) {
    for (const auto& [unused, entry] : entries_) {
      owners_.at(name)->PutWorker(entry);
    }
  }

  /// The process is gone from one moment to the next.
  void KillOwner(const std::string& name) {
    owners_.erase(name);
    vms_.erase(name);
  }

  /// What each task of an owner's processor takes from now on.
  void SetCost(const std::string& name, base::Duration cost) {
    const auto it = vms_.find(name);
    if (it != vms_.end()) it->second->processor.SetCost(cost);
  }

  /// What each order of an owner takes on its link from now on.
  void SetLinkTime(const std::string& name, base::Duration time) {
    vms_.at(name)->workers.SetLinkTime(time);
  }

  /// A processor's cost for all owners, also for those that are started later.
  void SetCostForAll(base::Duration cost) {
    cost_ = cost;
    for (const auto& [name, vm] : vms_) vm->processor.SetCost(cost);
  }

  /// The name of a process that holds the service, or an empty text.
  std::string OwnerName() const {
    for (const auto& [name, owner] : owners_) {
      if (owner->is_owner()) return name;
    }
    return {};
  }

  ServiceOwner& owner(const std::string& name) { return *owners_.at(name); }
  bool HasOwner(const std::string& name) const {
    return owners_.contains(name);
  }

  void SetGuarantee(const std::string& organisation, std::int64_t n) {
    guarantees_[base::OrganisationName(organisation)] = n;
    for (const auto& [name, it] : owners_) it->SetGuarantees(guarantees_);
  }

  static jobs::Job MakeJob(const std::string& name, int tasks,
                           int accelerators) {
    jobs::Job out;
    out.name = base::JobName(name);
    out.spec = "spec";
    out.queue = jobs::QueueName("queue");
    out.service = base::ServiceName(kService);
    out.organisation = base::OrganisationName("crews");
    out.priority = 1;
    out.max_attempts = 3;
    jobs::Step step;
    step.tasks = tasks;
    step.needs = {1'000, 1'000, accelerators};
    step.run_time_estimate = base::Duration(2'000);
    out.steps.push_back(step);
    return out;
  }

  void Submit(jobs::Job job) {
    job.accepted_ms = time_.Now().time_since_epoch().count();
    jobs_[job.name] = job;
    entry_.Submit(job, [this, name = job.name](const jobs::SubmitResult& it) {
      if (std::holds_alternative<jobs::JobAccepted>(it)) accepted_.insert(name);
    });
  }

  /// Jobs of which the store has said that they are there.
  std::size_t accepted() const { return accepted_.size(); }

  void Cancel(const std::string& job) {
    entry_.Cancel(base::ServiceName(kService), base::JobName(job),
                  [](const jobs::CancelResult&) {});
  }

  /// What a caller is told; nothing while it is not known.
  std::optional<jobs::JobState> StateOf(const std::string& job) {
    std::optional<jobs::JobState> out;
    entry_.ReadState(
        base::ServiceName(kService), base::JobName(job),
        [&out](const jobs::StateResult& it) {
          if (const auto* state = std::get_if<jobs::JobState>(&it)) {
            out = *state;
          }
        });
    RunFor(20);
    return out;
  }

  void RunFor(int ms) { time_.RunFor(base::Duration(ms)); }

  fakes::FakeRowStore& store() { return store_; }
  fakes::FakeTaskWorkers& workers() { return workers_; }
  fakes::VirtualTime& time() { return time_; }
  base::MetricRegistry& metrics() { return metrics_; }
  const std::map<base::JobName, jobs::Job>& jobs() const { return jobs_; }

 private:
  /// What one owner's process knows of the evacuations.
  struct View {
    Evacuations known;
    bool is_frozen = false;
    bool has_stale_registrations = false;
    base::TimePoint registrations_read{};
  };

  void Restart(WorkerRegistration entry, bool changes_address) {
    const auto name = entry.name;
    entry.name = base::WorkerName(name.str() + "'");
    entry.is_draining = false;
    entry.remaining_time.reset();
    constexpr std::uint16_t kPortOffset = 1'000;
    if (changes_address) entry.endpoint.port += kPortOffset;
    if (!changes_address) workers_.Supersede(name);
    // Each restart appends an apostrophe to the original name.
    const auto original = name.str().substr(0, name.str().find('\''));
    current_names_[base::WorkerName(original)] = entry.name;
    entries_[entry.name] = entry;
    workers_.Add(entry);
    for (const auto& [unused, owner] : owners_) owner->PutWorker(entry);
  }

  void TellEvacuation(int domain, bool is_asked) {
    if (is_asked) {
      evacuated_.insert(DomainCalled(domain));
    } else {
      evacuated_.erase(DomainCalled(domain));
    }
  }

  const Evacuations& ViewOf(const std::string& name) {
    auto& view = views_.at(name);
    if (!view.is_frozen) {
      view.known = {evacuated_, store_.version(), time_.Now()};
    }
    return view.known;
  }

  jobs::Resources NeedsOf(const jobs::TaskName& task) const {
    const auto it = jobs_.find(task.job);
    if (it == jobs_.end()) return {};
    return it->second.steps[static_cast<std::size_t>(task.step)].needs;
  }

  /// What one owner's process runs on.
  struct Vm {
    Vm(fakes::VirtualTime& time, store::RowStore& all_rows,
       WorkerClient& all_workers)
        : processor(time),
          store(processor, all_rows),
          workers(time, processor, all_workers) {}

    fakes::BusyProcessor processor;
    fakes::BusyRowStore store;
    fakes::BusyWorkerPort workers;
  };

  fakes::VirtualTime time_;
  base::MetricRegistry metrics_;
  base::Duration cost_{0};
  fakes::FakeRowStore store_;
  fakes::FakeTaskWorkers workers_;
  std::map<base::JobName, jobs::Job> jobs_;
  std::set<base::JobName> accepted_;
  std::map<base::WorkerName, WorkerRegistration> entries_;
  /// Current capacity of each worker whose capacity has changed; its
  /// registration may still show an earlier one.
  std::map<base::WorkerName, jobs::Resources> current_capacities_;
  /// Current names of restarted workers, by original name.
  std::map<base::WorkerName, base::WorkerName> current_names_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
  std::set<base::DomainName> evacuated_;
  std::map<std::string, View> views_;
  /// Outlive the owners on them.
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::map<std::string, std::unique_ptr<ServiceOwner>> owners_;
  jobs::JobService entry_{store_.For("entry")};
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_TEST_DISPATCH_OWNER_WORLD_H_
