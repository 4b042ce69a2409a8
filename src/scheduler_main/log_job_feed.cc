#include "scheduler_main/log_job_feed.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "scheduler_main/home_domain.h"

namespace lapishatch::scheduler_main {
namespace {

using config::LogEntry;
using config::LogId;
using config::Resource;
using config::ResourceKind;
using scheduler::AcceptedJob;
using scheduler::CellConfiguration;
using scheduler::CellWorker;
using scheduler::FeedEvent;

/// One follower. Its calls are made under its lock, so that none begins after
/// Unfollow has returned; recursive, since it may unfollow from within.
class Subscriber {
 public:
  explicit Subscriber(std::function<void(FeedEvent)> changed)
      : changed_(std::move(changed)) {}

  void Tell(FeedEvent event) {
    const std::lock_guard lock(mutex_);
    if (!closed_) changed_(std::move(event));
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  /// Has been given the snapshot. On the loop only.
  bool started = false;

 private:
  mutable std::recursive_mutex mutex_;
  std::function<void(FeedEvent)> changed_;
  bool closed_ = false;
};

std::int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<base::Duration>(now).count();
}

bool IsSame(const CellConfiguration& a, const CellConfiguration& b) {
  const auto same_share = [](const auto& x, const auto& y) {
    return x.organisation == y.organisation && x.weight == y.weight &&
           x.running_accelerators_limit == y.running_accelerators_limit;
  };
  return a.guarantees == b.guarantees &&
         std::equal(a.shares.begin(), a.shares.end(), b.shares.begin(),
                    b.shares.end(), same_share);
}

}  // namespace

class LogJobFeed::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, config::Mirror& mirror, LogJobFeedOptions options)
      : loop_(loop),
        mirror_(mirror),
        options_(std::move(options)),
        clock_offset_(loop.Now() -
                      base::TimePoint(base::Duration(WallClockMs()))) {}

  scheduler::FeedId Add(std::function<void(FeedEvent)> changed) {
    auto subscriber = std::make_shared<Subscriber>(std::move(changed));
    scheduler::FeedId id = 0;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      subscribers_.emplace(id, subscriber);
    }
    loop_.Post([weak = weak_from_this(), subscriber] {
      if (const auto self = weak.lock()) self->Begin(subscriber);
    });
    return id;
  }

  void Remove(scheduler::FeedId id) {
    std::shared_ptr<Subscriber> subscriber;
    {
      const std::lock_guard lock(mutex_);
      const auto it = subscribers_.find(id);
      if (it == subscribers_.end()) return;
      subscriber = std::move(it->second);
      subscribers_.erase(it);
    }
    subscriber->Close();
  }

  void SetVms(const std::vector<store::Vm>& vms) {
    vms_ = vms;
    UpdateWorkers();
    for (const auto& it : std::exchange(awaiting_vms_, {})) Begin(it);
  }

  void OnEntries(LogId log, const std::vector<config::LogEntryPtr>& entries) {
    if (log == LogId::kConfig) {
      UpdateConfiguration();
      UpdateWorkers();
      return;
    }
    for (const auto& entry : entries) OnJobEntry(*entry);
    if (!is_refreshing_ && !held_.empty()) RefreshForHeld();
  }

 private:
  /// Gives the snapshot, once the logs are read up to their present heads and
  /// the VM list is known.
  void Begin(const std::shared_ptr<Subscriber>& subscriber) {
    if (subscriber->closed()) return;
    if (!vms_) {
      awaiting_vms_.push_back(subscriber);
      return;
    }
    mirror_.Refresh([weak = weak_from_this(),
                     subscriber](const std::optional<config::LogHeads>& heads) {
      const auto self = weak.lock();
      if (!self || subscriber->closed()) return;
      if (heads) {
        self->TellAll(*subscriber);
      } else {
        self->BeginLater(subscriber);
      }
    });
  }

  void BeginLater(const std::shared_ptr<Subscriber>& subscriber) {
    loop_.After(options_.retry, [weak = weak_from_this(), subscriber] {
      if (const auto self = weak.lock()) self->Begin(subscriber);
    });
  }

  void TellAll(Subscriber& subscriber) {
    workers_ = Workers();
    configuration_ = Configuration();
    scheduler::FeedSnapshot snapshot;
    snapshot.workers = workers_;
    snapshot.configuration = configuration_;
    std::vector<base::JobName> cancelled;
    for (const auto& it : mirror_.List(ResourceKind::kJob).resources) {
      if (!IsOurs(*it) || IsFinal(PhaseOf(*it))) continue;
      snapshot.jobs.push_back(Accepted(*it));
      if (it->cancel_requested) cancelled.emplace_back(it->ref.name);
    }
    subscriber.started = true;
    subscriber.Tell(std::move(snapshot));
    for (const auto& it : cancelled) {
      subscriber.Tell(scheduler::JobCancelled{it});
    }
  }

  void OnJobEntry(const LogEntry& entry) {
    const auto& job = *entry.resource;
    if (!IsOurs(job)) return;
    const base::JobName name(job.ref.name);
    if (entry.type == config::EntryType::kDelete) {
      held_.emplace_back(scheduler::JobCancelled{name});
      return;
    }
    const bool is_status_only = entry.version != job.version;
    if (is_status_only || IsFinal(PhaseOf(job))) return;
    held_.emplace_back(scheduler::JobAccepted{Accepted(job)});
    if (job.cancel_requested) {
      held_.emplace_back(scheduler::JobCancelled{name});
    }
  }

  /// A job may be heard of sooner than the configuration that it was accepted
  /// against, and would be judged by an older one: what is told of jobs waits
  /// until the logs are read up to heads that are newer than it. When the
  /// table cannot be read, what was accepted goes on with what is known.
  void RefreshForHeld() {
    is_refreshing_ = true;
    mirror_.Refresh([weak = weak_from_this(),
                     n = held_.size()](const std::optional<config::LogHeads>&) {
      if (const auto self = weak.lock()) self->Release(n);
    });
  }

  /// Tells the first `n` held events.
  void Release(std::size_t n) {
    is_refreshing_ = false;
    for (; n > 0; --n) {
      const auto event = std::move(held_.front());
      held_.pop_front();
      TellEach(event);
    }
    if (!held_.empty()) RefreshForHeld();
  }

  void UpdateWorkers() {
    if (!vms_) return;
    auto workers = Workers();
    if (workers == workers_) return;
    workers_ = workers;
    TellEach(scheduler::WorkersChanged{std::move(workers)});
  }

  void UpdateConfiguration() {
    auto configuration = Configuration();
    if (IsSame(configuration, configuration_)) return;
    configuration_ = configuration;
    TellEach(scheduler::ConfigurationChanged{std::move(configuration)});
  }

  void TellEach(const FeedEvent& event) {
    for (const auto& it : Started()) it->Tell(event);
  }

  std::vector<std::shared_ptr<Subscriber>> Started() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Subscriber>> out;
    for (const auto& [id, subscriber] : subscribers_) {
      if (subscriber->started) out.push_back(subscriber);
    }
    return out;
  }

  bool IsOurs(const Resource& job) const {
    return HomeDomainOf(job, options_.domains) == options_.domain;
  }

  AcceptedJob Accepted(const Resource& job) const {
    const base::TimePoint accepted(base::Duration(job.created_at_ms));
    return {base::JobName(job.ref.name), std::get<config::JobSpec>(job.spec),
            accepted + clock_offset_};
  }

  std::vector<CellWorker> Workers() const {
    std::set<std::string> drained;
    for (const auto& it : mirror_.List(ResourceKind::kDrain).resources) {
      drained.insert(it->ref.name);
    }
    std::vector<CellWorker> out;
    for (const auto& vm : *vms_) {
      if (vm.kind != store::VmKind::kWorker) continue;
      if (vm.domain != options_.domain) continue;
      const bool leaving =
          vm.state == store::VmState::kLeaving || drained.contains(vm.name);
      out.push_back({base::WorkerName(vm.name), vm.endpoint, vm.rack, leaving});
    }
    // The list's order means nothing and must not look like a change.
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return out;
  }

  CellConfiguration Configuration() const {
    CellConfiguration out;
    for (const auto& it : mirror_.List(ResourceKind::kOrganisation).resources) {
      const base::OrganisationName name(it->ref.name);
      const auto& spec = std::get<config::OrganisationSpec>(it->spec);
      out.shares.push_back(
          {name, spec.weight, spec.limits.running_accelerators});
      for (const auto& guarantee : spec.guarantees) {
        if (guarantee.failure_domain != options_.domain) continue;
        out.guarantees.push_back({name, guarantee.shape, guarantee.count});
      }
    }
    return out;
  }

  base::EventLoop& loop_;
  config::Mirror& mirror_;
  const LogJobFeedOptions options_;
  /// Turns ms since 1970 into this process's monotonic time.
  const base::Duration clock_offset_;

  std::mutex mutex_;
  scheduler::FeedId last_id_ = 0;
  std::map<scheduler::FeedId, std::shared_ptr<Subscriber>> subscribers_;

  // On the loop only.
  std::optional<std::vector<store::Vm>> vms_;
  std::vector<std::shared_ptr<Subscriber>> awaiting_vms_;
  std::vector<CellWorker> workers_;
  CellConfiguration configuration_;
  /// What is to be told of jobs, in order.
  std::deque<FeedEvent> held_;
  bool is_refreshing_ = false;
};

LogJobFeed::LogJobFeed(base::EventLoop& loop, config::Mirror& mirror,
                       LogJobFeedOptions options)
    : impl_(std::make_shared<Impl>(loop, mirror, std::move(options))) {
  mirror.Listen(
      [weak = std::weak_ptr<Impl>(impl_)](
          LogId log, const std::vector<config::LogEntryPtr>& entries) {
        if (const auto impl = weak.lock()) impl->OnEntries(log, entries);
      });
}

LogJobFeed::~LogJobFeed() = default;

scheduler::FeedId LogJobFeed::Follow(
    const base::CellName& /*cell*/,
    std::function<void(scheduler::FeedEvent)> changed) {
  return impl_->Add(std::move(changed));
}

void LogJobFeed::Unfollow(scheduler::FeedId id) { impl_->Remove(id); }

void LogJobFeed::SetVms(const std::vector<store::Vm>& vms) {
  impl_->SetVms(vms);
}

}  // namespace lapishatch::scheduler_main
