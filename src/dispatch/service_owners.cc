#include "dispatch/service_owners.h"

#include <cstddef>
#include <string>
#include <utility>

#include "jobs/jobs.h"

namespace lapishatch::dispatch {
namespace {

/// The services of which one of `partitions` holds requests.
std::set<base::ServiceName> ServicesWithRequests(
    const std::vector<std::string>& partitions) {
  std::set<base::ServiceName> out;
  for (const auto& it : partitions) {
    if (auto service = jobs::ServiceOfRequestPartition(it)) {
      out.insert(*std::move(service));
    }
  }
  return out;
}

}  // namespace

class ServiceOwners::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, OwnerFactory factory,
       ServiceOwnersOptions options)
      : loop_(loop),
        store_(store),
        factory_(std::move(factory)),
        options_(options) {}

  void Search() {
    if (is_stopping_) return;
    store_.Parts(std::string(jobs::kRequestTable),
                 [weak = weak_from_this()](const store::PartsResult& result) {
                   if (const auto self = weak.lock()) self->OnSearched(result);
                 });
  }

  void SetConfigured(std::set<base::ServiceName> services) {
    const auto now = loop_.Now();
    for (const auto& it : configured_) {
      if (!services.contains(it)) needed_at_[it] = now;
    }
    configured_ = std::move(services);
    for (const auto& it : configured_) AddOwner(it);
  }

  std::vector<base::ServiceName> services() const {
    std::vector<base::ServiceName> out;
    for (const auto& [name, owner] : owners_) out.push_back(name);
    return out;
  }

  void SetGuarantees(
      std::map<base::OrganisationName, std::int64_t> guarantees) {
    guarantees_ = std::move(guarantees);
    for (const auto& [name, owner] : owners_) owner->SetGuarantees(guarantees_);
  }

  void PutWorker(const WorkerRegistration& registration) {
    workers_[registration.name] = registration;
    for (const auto& [name, owner] : owners_) owner->PutWorker(registration);
  }

  void RemoveWorker(const base::WorkerName& worker) {
    workers_.erase(worker);
    for (const auto& [name, owner] : owners_) owner->RemoveWorker(worker);
  }

  void ForgetWorkers() { workers_.clear(); }

  void Stop(std::function<void()> done) {
    is_stopping_ = true;
    if (owners_.empty()) return done();
    struct PendingReleases {
      std::size_t count = 0;
      std::function<void()> done;
    };
    const auto pending = std::make_shared<PendingReleases>(
        PendingReleases{owners_.size(), std::move(done)});
    for (const auto& [name, owner] : owners_) {
      owner->Stop([pending] {
        if (--pending->count == 0) pending->done();
      });
    }
  }

 private:
  void AddOwner(const base::ServiceName& service) {
    if (is_stopping_) return;
    auto& owner = owners_[service];
    if (owner) return;
    owner = factory_(service);
    owner->SetGuarantees(guarantees_);
    for (const auto& [name, registration] : workers_) {
      owner->PutWorker(registration);
    }
    owner->Start();
  }

  void OnSearched(const store::PartsResult& result) {
    const auto* read = std::get_if<store::PartsRead>(&result);
    const auto pause =
        read == nullptr ? options_.search_retry : options_.search_interval;
    loop_.After(pause, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Search();
    });
    if (read == nullptr || is_stopping_) return;
    const auto now = loop_.Now();
    for (const auto& it : ServicesWithRequests(read->parts)) {
      if (configured_.contains(it)) continue;
      needed_at_[it] = now;
      if (owners_.contains(it)) continue;
      base::Log(base::events::kServiceRetained, {{"service", it.str()}});
      AddOwner(it);
    }
    RetireUnneeded();
  }

  /// Ends the candidacy for services without queues that have had no jobs for
  /// long.
  void RetireUnneeded() {
    std::vector<base::ServiceName> unneeded;
    for (const auto& [name, owner] : owners_) {
      if (configured_.contains(name)) continue;
      if (loop_.Now() - needed_at_[name] > options_.retention) {
        unneeded.push_back(name);
      }
    }
    for (const auto& it : unneeded) Retire(it);
  }

  void Retire(const base::ServiceName& service) {
    const auto node = owners_.extract(service);
    const auto idle = loop_.Now() - needed_at_[service];
    needed_at_.erase(service);
    base::Log(base::events::kServiceRetired,
              {{"service", service.str()}, {"idle_ms", idle.count()}});
    // Kept alive until its release is in the store.
    const std::shared_ptr<ServiceOwner> owner(std::move(node.mapped()));
    owner->Stop([owner, &loop = loop_] { loop.Post([owner] {}); });
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const OwnerFactory factory_;
  const ServiceOwnersOptions options_;
  std::set<base::ServiceName> configured_;
  /// When each service that is not configured last was, or was last found to
  /// have jobs.
  std::map<base::ServiceName, base::TimePoint> needed_at_;
  std::map<base::OrganisationName, std::int64_t> guarantees_;
  std::map<base::WorkerName, WorkerRegistration> workers_;
  bool is_stopping_ = false;
  std::map<base::ServiceName, std::unique_ptr<ServiceOwner>> owners_;
};

ServiceOwners::ServiceOwners(base::EventLoop& loop, store::RowStore& store,
                             OwnerFactory factory, ServiceOwnersOptions options)
    : impl_(std::make_shared<Impl>(loop, store, std::move(factory), options)) {}

ServiceOwners::~ServiceOwners() = default;

void ServiceOwners::Start() { impl_->Search(); }

void ServiceOwners::SetConfigured(std::set<base::ServiceName> services) {
  impl_->SetConfigured(std::move(services));
}

std::vector<base::ServiceName> ServiceOwners::services() const {
  return impl_->services();
}

void ServiceOwners::SetGuarantees(
    std::map<base::OrganisationName, std::int64_t> guarantees) {
  impl_->SetGuarantees(std::move(guarantees));
}

void ServiceOwners::PutWorker(const WorkerRegistration& registration) {
  impl_->PutWorker(registration);
}

void ServiceOwners::RemoveWorker(const base::WorkerName& name) {
  impl_->RemoveWorker(name);
}

void ServiceOwners::ForgetWorkers() { impl_->ForgetWorkers(); }

void ServiceOwners::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

}  // namespace lapishatch::dispatch
