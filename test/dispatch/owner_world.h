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

/// Simulates, in virtual time, several processes that compete to own one
/// service, with its workers and its store. Jobs are submitted through a
/// connection to the store that has no faults.
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

  /// Name of worker `i` before any restart.
  static base::WorkerName WorkerNameAt(int i) {
    return base::WorkerName("w" + std::to_string(i));
  }

  /// Failure domain of the workers of rack `i`.
  static base::DomainName DomainNameAt(int i) {
    return base::DomainName("d" + std::to_string(i));
  }

  /// Requests the evacuation of a domain, or cancels it, as operators do.
  void Evacuate(int domain) { SetEvacuated(domain, true); }
  void CancelEvacuation(int domain) { SetEvacuated(domain, false); }

  /// The owner on VM `name` sees no change of the evacuations until
  /// ResumeEvacuations.
  void PauseEvacuations(const std::string& name) {
    observed_states_.at(name).has_stale_evacuations = true;
  }
  void ResumeEvacuations(const std::string& name) {
    observed_states_.at(name).has_stale_evacuations = false;
  }

  void AddWorker(int i) {
    constexpr int kRackSize = 4;
    WorkerRegistration registration;
    registration.name = WorkerNameAt(i);
    registration.service = base::ServiceName(kService);
    registration.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1 + i)};
    registration.rack = base::RackName("r" + std::to_string(i / kRackSize));
    registration.domain = DomainNameAt(i / kRackSize);
    registration.labels = {"a", registration.rack.str()};
    registration.capacity = {kCoresMillis, kMemoryMb, kAccelerators};
    if (has_start_times_) registration.started_at_ms = UnixMs();
    registrations_[registration.name] = registration;
    workers_.Add(registration);
    for (const auto& [name, owner] : owners_) owner->PutWorker(registration);
  }

  /// Makes each worker that crashes restart after `downtime` under another
  /// name, at the same address or, with `changes_address`, at another one.
  void RestartCrashed(base::Duration downtime, bool changes_address = false) {
    workers_.on_crash = [this, downtime,
                         changes_address](const base::WorkerName& name) {
      const auto registration = registrations_.at(name);
      time_.After(downtime, [this, registration, changes_address] {
        Restart(registration, changes_address);
      });
      time_.After(kRegistrationExpiry, [this, name] { Deregister(name); });
    };
  }

  /// Makes each worker that crashes restart after `downtime` under its own
  /// name, with a start time that differs by `clock_step` from the true one.
  /// Workers added from now on, and those present, give their start times.
  void RestartCrashedUnderSameName(
      base::Duration downtime, base::Duration clock_step = base::Duration(0)) {
    has_start_times_ = true;
    for (auto& [name, registration] : registrations_) {
      registration.started_at_ms = UnixMs();
      workers_.Restart(registration);
      PutOnAllOwners(registration);
    }
    workers_.on_crash = [this, downtime,
                         clock_step](const base::WorkerName& name) {
      const auto started_at_ms = registrations_.at(name).started_at_ms;
      time_.After(downtime, [this, name, clock_step] {
        RestartUnderSameName(name, clock_step);
      });
      time_.After(kRegistrationExpiry, [this, name, started_at_ms] {
        const auto it = registrations_.find(name);
        if (it == registrations_.end()) return;
        if (it->second.started_at_ms == started_at_ms) Deregister(name);
      });
    };
  }

  /// Time from a restart under the same name until owners read the
  /// registration.
  base::Duration registration_delay{0};

  /// Changes the registration that the worker gives at its next restart.
  std::function<void(WorkerRegistration&)> on_restart;

  const WorkerRegistration& RegistrationOf(const base::WorkerName& name) const {
    return registrations_.at(name);
  }

  /// Name of worker `i` after its latest restart, if any.
  base::WorkerName CurrentWorkerName(int i) const {
    const auto it = current_names_.find(WorkerNameAt(i));
    return it == current_names_.end() ? WorkerNameAt(i) : it->second;
  }

  /// The worker announces that it leaves, after `stays` at the earliest, in a
  /// registration that may be as old as `max_age` when owners read it.
  void Drain(const base::WorkerName& name, base::Duration stays,
             base::Duration max_age = base::Duration(0)) {
    auto& registration = registrations_.at(name);
    registration.is_draining = true;
    registration.remaining_time = stays;
    registration.max_age = max_age;
    for (const auto& [unused, owner] : owners_) owner->PutWorker(registration);
  }

  /// Time after a change of capacity until starts that exceed the new capacity
  /// are violations.
  static constexpr base::Duration kCapacityGrace{4'500};

  /// Changes a worker's capacity; its registration shows it after
  /// `report_delay`.
  void SetCapacity(const base::WorkerName& name,
                   const jobs::Resources& capacity,
                   base::Duration report_delay = base::Duration(0)) {
    workers_.SetCapacity(name, capacity, kCapacityGrace);
    current_capacities_[name] = capacity;
    time_.After(report_delay, [this, name] {
      const auto it = registrations_.find(name);
      if (it == registrations_.end()) return;
      it->second.capacity = current_capacities_.at(name);
      for (const auto& [vm, owner] : owners_) {
        if (observed_states_.at(vm).has_stale_registrations) continue;
        owner->PutWorker(it->second);
      }
    });
  }

  /// The owner on `vm` reads no registrations until ResumeRegistrations.
  void PauseRegistrations(const std::string& vm) {
    auto& observed = observed_states_.at(vm);
    observed.has_stale_registrations = true;
    observed.registrations_read = time_.Now();
  }
  void ResumeRegistrations(const std::string& vm) {
    observed_states_.at(vm).has_stale_registrations = false;
    PutAllWorkers(vm);
  }

  /// Removes the worker's registration. The worker itself is not stopped.
  void Deregister(const base::WorkerName& name) {
    registrations_.erase(name);
    for (const auto& [unused, owner] : owners_) owner->RemoveWorker(name);
  }

  /// Adds the registration of a worker that was removed although it runs.
  void Reregister(const WorkerRegistration& registration) {
    registrations_[registration.name] = registration;
    PutOnAllOwners(registration);
  }

  /// Applies to the owners that start from now on.
  base::Duration ended_job_retention{180'000};

  /// Starts a candidate for ownership on VM `name`, which has `cores` cores.
  void StartOwner(const std::string& name, double cores = 1) {
    ServiceOwnerOptions options;
    options.lease.takeover_delay = TakeoverDelayFor(cores);
    options.ended_job_retention = ended_job_retention;
    observed_states_.try_emplace(name);
    auto& vm = vms_[name];
    vm = std::make_unique<Vm>(time_, store_.For(name), workers_.For(name));
    vm->processor.SetCost(processor_cost_);
    auto owner = std::make_unique<ServiceOwner>(
        ServiceOwnerDependencies{
            vm->processor, vm->store, vm->workers,
            [] { return base::Duration(0); },
            [this] { return time_.Now().time_since_epoch().count(); },
            &metrics_,
            [this, name](bool is_owner) {
              if (is_owner) PutAllWorkers(name);
            },
            [this, name]() -> const Evacuations& {
              return EvacuationsOf(name);
            },
            [this, name] {
              const auto& observed = observed_states_.at(name);
              return observed.has_stale_registrations
                         ? observed.registrations_read
                         : time_.Now();
            }},
        base::ServiceName(kService), name, options);
    owner->SetGuarantees(guarantees_);
    owner->Start();
    owners_[name] = std::move(owner);
  }

  /// Passes all registered workers to the owner on VM `name`.
  void PutAllWorkers(const std::string& name) {
    for (const auto& [unused, registration] : registrations_) {
      owners_.at(name)->PutWorker(registration);
    }
  }

  /// Ends the process without any shutdown.
  void KillOwner(const std::string& name) {
    owners_.erase(name);
    vms_.erase(name);
  }

  /// Sets the time that each callback on an owner's event loop takes.
  void SetCost(const std::string& name, base::Duration cost) {
    const auto it = vms_.find(name);
    if (it != vms_.end()) it->second->processor.SetCost(cost);
  }

  /// Sets the time that each order of an owner occupies its network link.
  void SetLinkTime(const std::string& name, base::Duration time) {
    vms_.at(name)->workers.SetLinkTime(time);
  }

  /// Like SetCost, for all present and future owners.
  void SetCostForAll(base::Duration cost) {
    processor_cost_ = cost;
    for (const auto& [name, vm] : vms_) vm->processor.SetCost(cost);
  }

  /// The VM of a process that owns the service, or an empty string.
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
    client_.Submit(job, [this, name = job.name](const jobs::SubmitResult& r) {
      if (std::holds_alternative<jobs::JobAccepted>(r)) accepted_.insert(name);
    });
  }

  /// Number of jobs whose acceptance the store has confirmed.
  std::size_t accepted_count() const { return accepted_.size(); }

  void Cancel(const std::string& job) {
    client_.Cancel(base::ServiceName(kService), base::JobName(job),
                   [](const jobs::CancelResult&) {});
  }

  /// The state of the job as a caller reads it; empty while it is unknown. Runs
  /// the simulation for 20 ms.
  std::optional<jobs::JobState> StateOf(const std::string& job) {
    std::optional<jobs::JobState> out;
    client_.ReadState(
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
  /// What one owner's process knows of the evacuations and registrations.
  struct ObservedState {
    Evacuations evacuations;
    bool has_stale_evacuations = false;
    bool has_stale_registrations = false;
    base::TimePoint registrations_read{};
  };

  void Restart(WorkerRegistration registration, bool changes_address) {
    const auto name = registration.name;
    registration.name = base::WorkerName(name.str() + "'");
    registration.is_draining = false;
    registration.remaining_time.reset();
    constexpr std::uint16_t kPortOffset = 1'000;
    if (changes_address) registration.endpoint.port += kPortOffset;
    if (!changes_address) workers_.Supersede(name);
    // Each restart appends an apostrophe to the original name.
    const auto original = name.str().substr(0, name.str().find('\''));
    current_names_[base::WorkerName(original)] = registration.name;
    registrations_[registration.name] = registration;
    workers_.Add(registration);
    for (const auto& [unused, owner] : owners_) owner->PutWorker(registration);
  }

  void RestartUnderSameName(const base::WorkerName& name,
                            base::Duration clock_step) {
    const auto it = registrations_.find(name);
    if (it == registrations_.end()) return;
    auto& registration = it->second;
    registration.is_draining = false;
    registration.remaining_time.reset();
    registration.started_at_ms = UnixMs() + clock_step.count();
    const auto capacity = current_capacities_.find(name);
    if (capacity != current_capacities_.end()) {
      registration.capacity = capacity->second;
    }
    if (on_restart) on_restart(registration);
    workers_.Restart(registration);
    if (registration_delay == base::Duration(0)) {
      return PutOnAllOwners(registration);
    }
    time_.After(registration_delay, [this, registration] {
      const auto latest = registrations_.find(registration.name);
      const bool is_present =
          latest != registrations_.end() &&
          latest->second.started_at_ms == registration.started_at_ms;
      if (is_present) PutOnAllOwners(latest->second);
    });
  }

  void PutOnAllOwners(const WorkerRegistration& registration) {
    for (const auto& [name, owner] : owners_) owner->PutWorker(registration);
  }

  std::int64_t UnixMs() const { return time_.Now().time_since_epoch().count(); }

  void SetEvacuated(int domain, bool is_evacuated) {
    if (is_evacuated) {
      evacuated_domains_.insert(DomainNameAt(domain));
    } else {
      evacuated_domains_.erase(DomainNameAt(domain));
    }
  }

  const Evacuations& EvacuationsOf(const std::string& name) {
    auto& observed = observed_states_.at(name);
    if (!observed.has_stale_evacuations) {
      observed.evacuations = {evacuated_domains_, store_.version(),
                              time_.Now()};
    }
    return observed.evacuations;
  }

  jobs::Resources NeedsOf(const jobs::TaskName& task) const {
    const auto it = jobs_.find(task.job);
    if (it == jobs_.end()) return {};
    return it->second.steps[static_cast<std::size_t>(task.step)].needs;
  }

  /// The processor of one owner's process and its connections to the store and
  /// the workers.
  struct Vm {
    Vm(fakes::VirtualTime& time, store::RowStore& all_rows,
       WorkerClient& all_workers)
        : processor(time),
          store(processor, all_rows),
          workers(time, processor, all_workers) {}

    fakes::BusyProcessor processor;
    fakes::BusyRowStore store;
    fakes::BusyWorkerClient workers;
  };

  /// Time after which the registration of a silent worker is removed.
  static constexpr base::Duration kRegistrationExpiry{4'500};

  fakes::VirtualTime time_;
  base::MetricRegistry metrics_;
  bool has_start_times_ = false;
  base::Duration processor_cost_{0};
  fakes::FakeRowStore store_;
  fakes::FakeTaskWorkers workers_;
  std::map<base::JobName, jobs::Job> jobs_;
  std::set<base::JobName> accepted_;
  std::map<base::WorkerName, WorkerRegistration> registrations_;
  /// Current capacity of each worker whose capacity has changed; its
  /// registration may still show an earlier one.
  std::map<base::WorkerName, jobs::Resources> current_capacities_;
  /// Current names of restarted workers, by original name.
  std::map<base::WorkerName, base::WorkerName> current_names_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
  std::set<base::DomainName> evacuated_domains_;
  std::map<std::string, ObservedState> observed_states_;
  /// Declared before `owners_` because they must outlive the owners.
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::map<std::string, std::unique_ptr<ServiceOwner>> owners_;
  jobs::JobService client_{store_.For("entry")};
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_TEST_DISPATCH_OWNER_WORLD_H_
