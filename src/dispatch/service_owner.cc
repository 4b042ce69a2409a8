#include "dispatch/service_owner.h"

#include <utility>

#include "dispatch/internal/owned_service.h"

namespace lapishatch::dispatch {

class ServiceOwner::Impl {
 public:
  Impl(ServiceOwnerDependencies dependencies, base::ServiceName service,
       const std::string& vm, ServiceOwnerOptions options)
      : dependencies_(std::move(dependencies)),
        service_(std::move(service)),
        options_(options),
        fitness_(options.fitness),
        lease_(dependencies_.loop, dependencies_.store, service_, vm,
               dependencies_.suspended_time, options.lease,
               {[this](Epoch epoch, base::Duration former_leases) {
                  OnAcquired(epoch, former_leases);
                },
                [this](const std::string& reason) { OnLost(reason); },
                [this] { return CandidateDelay(); }}) {}

  void Start() { lease_.Start(); }

  void PutWorker(const WorkerRegistration& registration) {
    if (registration.service != service_) {
      if (workers_.contains(registration.name)) RemoveWorker(registration.name);
      return;
    }
    workers_[registration.name] = registration;
    if (owned_) owned_->PutWorker(registration);
  }

  void RemoveWorker(const base::WorkerName& name) {
    workers_.erase(name);
    if (owned_) owned_->RemoveWorker(name);
  }

  void SetGuarantees(
      std::map<base::OrganisationName, std::int64_t> guarantees) {
    guarantees_ = std::move(guarantees);
    if (owned_) owned_->SetGuarantees(guarantees_);
  }

  void Stop(std::function<void()> done) {
    DropOwnedService();
    lease_.Release(std::move(done));
  }

  bool is_owner() const { return lease_.is_holder(); }

 private:
  void OnAcquired(Epoch epoch, base::Duration former_leases) {
    base::Log(base::events::kServiceTaken,
              {{"service", service_.str()},
               {"epoch", epoch},
               {"former_leases_ms", former_leases.count()}});
    const internal::OwnerPermissions permissions{
        [this] { return lease_.IsValid(); },
        [this] {
          return lease_.is_holder() &&
                 lease_.TimeSinceRenewal() < options_.outage_renewal_limit;
        },
        [this] {
          return options_.lease.outage_lease_limit - lease_.TimeSinceRenewal();
        },
        [this](const std::string& reason) { lease_.MarkLost(reason); },
        [this](OwnerObstacle obstacle, bool has_waiting_work) {
          OnState(obstacle, has_waiting_work);
        }};
    fitness_.Reset();
    owned_ = std::make_shared<internal::OwnedService>(
        dependencies_, service_, epoch, former_leases, options_, permissions);
    owned_->SetGuarantees(guarantees_);
    for (const auto& [name, registration] : workers_) {
      owned_->PutWorker(registration);
    }
    owned_->Start();
    if (dependencies_.on_ownership_change) {
      dependencies_.on_ownership_change(true);
    }
  }

  /// Whether this VM keeps up with what it needs to start work. One that has
  /// just started is not behind: after a restart of all VMs, none has read the
  /// evacuations yet, and a wait would only prolong the time without an owner.
  bool IsReady() const {
    if (!dependencies_.evacuations) return true;
    const auto confirmed_at = dependencies_.evacuations().confirmed_at;
    const bool has_just_started = confirmed_at <= base::TimePoint{};
    return has_just_started || dependencies_.loop.Now() - confirmed_at <
                                   options_.max_evacuations_age;
  }

  base::Duration CandidateDelay() {
    const bool is_ready = IsReady();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      base::Log(
          base::events::kCandidateFitnessChanged,
          {{"service", service_.str()},
           {"fit", is_ready},
           {"reason", base::NameOf(is_ready ? OwnerObstacle::kNone
                                            : OwnerObstacle::kEvacuations)}});
    }
    return fitness_.CandidateDelay(is_ready, dependencies_.loop.Now());
  }

  void OnState(OwnerObstacle obstacle, bool has_waiting_work) {
    if (!lease_.IsValid()) return fitness_.Reset();
    const auto now = dependencies_.loop.Now();
    const auto blocked = fitness_.Update(
        {obstacle, has_waiting_work, lease_.last_renewal_time()}, now);
    if (!blocked) return;
    fitness_.OnHandover(now);
    base::Log(base::events::kServiceHandedOver,
              {{"service", service_.str()},
               {"reason", base::NameOf(obstacle)},
               {"blocked_ms", blocked->count()},
               {"backoff_ms", fitness_.retake_delay().count()}});
    if (dependencies_.metrics != nullptr) {
      dependencies_.metrics->Count(
          "lapishatch_handovers_total",
          {{"service", service_.str()},
           {"reason", std::string(base::NameOf(obstacle))}});
    }
    lease_.HandOver("handed over to a VM that can start work");
  }

  void OnLost(const std::string& reason) {
    base::Log(base::events::kServiceLost,
              {{"service", service_.str()}, {"reason", reason}});
    DropOwnedService();
  }

  void DropOwnedService() {
    if (!owned_) return;
    owned_.reset();
    workers_.clear();
    if (dependencies_.on_ownership_change) {
      dependencies_.on_ownership_change(false);
    }
  }

  const ServiceOwnerDependencies dependencies_;
  const base::ServiceName service_;
  const ServiceOwnerOptions options_;
  OwnerFitness fitness_;
  bool was_ready_ = true;
  OwnerLease lease_;
  std::shared_ptr<internal::OwnedService> owned_;
  std::map<base::WorkerName, WorkerRegistration> workers_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
};

ServiceOwner::ServiceOwner(ServiceOwnerDependencies dependencies,
                           base::ServiceName service, const std::string& vm,
                           ServiceOwnerOptions options)
    : impl_(std::make_unique<Impl>(std::move(dependencies), std::move(service),
                                   vm, options)) {}

ServiceOwner::~ServiceOwner() = default;

void ServiceOwner::Start() { impl_->Start(); }

void ServiceOwner::PutWorker(const WorkerRegistration& registration) {
  impl_->PutWorker(registration);
}

void ServiceOwner::RemoveWorker(const base::WorkerName& name) {
  impl_->RemoveWorker(name);
}

void ServiceOwner::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  impl_->SetGuarantees(std::move(guarantees));
}

void ServiceOwner::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

bool ServiceOwner::is_owner() const { return impl_->is_owner(); }

}  // namespace lapishatch::dispatch
