#include "dispatch/internal/job_indexer.h"

#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace lapishatch::dispatch::internal {
namespace {

constexpr base::Duration kRetryDelay{1'000};

/// Entries that are added at the same time.
constexpr int kMaxInFlight = 16;

}  // namespace

class JobIndexer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, base::ServiceName service)
      : loop_(loop), service_(std::move(service)), index_(store) {}

  void AddUnindexed(const base::JobName& name) {
    if (!is_home_.value_or(false)) unindexed_.insert(name);
  }

  void Update() {
    if (!is_home_) return FindHome();
    if (*is_home_ || unindexed_.empty() || in_flight_ > 0) return;
    for (const auto& it : unindexed_) {
      if (in_flight_ == kMaxInFlight) break;
      ++in_flight_;
      Reserve(it);
    }
    base::Log(base::events::kJobsIndexed,
              {{"service", service_.str()}, {"jobs", in_flight_}});
  }

  bool is_ready() const { return is_home_.has_value(); }

  void Remove(const base::JobName& name, std::function<void(bool)> done) {
    if (*is_home_) return done(true);
    unindexed_.erase(name);
    index_.Remove(name, service_,
                  [weak = weak_from_this(), done = std::move(done)](bool ok) {
                    if (weak.lock()) done(ok);
                  });
  }

 private:
  void FindHome() {
    if (std::exchange(is_finding_home_, true)) return;
    index_.FindHome(service_, [weak = weak_from_this()](
                                  const jobs::JobIndex::HomeResult& result) {
      if (const auto self = weak.lock()) self->OnHome(result);
    });
  }

  void OnHome(const jobs::JobIndex::HomeResult& result) {
    if (const auto* home = std::get_if<base::ServiceName>(&result)) {
      is_home_ = *home == service_;
      if (*is_home_) unindexed_.clear();
      return;
    }
    loop_.After(kRetryDelay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->is_finding_home_ = false;
    });
  }

  void Reserve(const base::JobName& name) {
    index_.Reserve(name, service_,
                   [weak = weak_from_this(),
                    name](const jobs::JobIndex::ReserveResult& result) {
                     const auto self = weak.lock();
                     if (!self) return;
                     --self->in_flight_;
                     if (std::holds_alternative<base::ServiceName>(result)) {
                       self->unindexed_.erase(name);
                     }
                   });
  }

  base::EventLoop& loop_;
  const base::ServiceName service_;
  jobs::JobIndex index_;
  /// Whether the service is the home service; empty until known.
  std::optional<bool> is_home_;
  bool is_finding_home_ = false;
  std::set<base::JobName> unindexed_;
  int in_flight_ = 0;
};

JobIndexer::JobIndexer(base::EventLoop& loop, store::RowStore& store,
                       base::ServiceName service)
    : impl_(std::make_shared<Impl>(loop, store, std::move(service))) {}

JobIndexer::~JobIndexer() = default;

void JobIndexer::AddUnindexed(const base::JobName& name) {
  impl_->AddUnindexed(name);
}

void JobIndexer::Update() { impl_->Update(); }

bool JobIndexer::is_ready() const { return impl_->is_ready(); }

void JobIndexer::Remove(const base::JobName& name,
                        std::function<void(bool)> done) {
  impl_->Remove(name, std::move(done));
}

}  // namespace lapishatch::dispatch::internal
