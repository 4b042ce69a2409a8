#ifndef LAPISHATCH_TESTING_FAKES_FAKE_JOB_FEED_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_JOB_FEED_H_

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fakes/virtual_time.h"
#include "scheduler/scheduler.h"

namespace lapishatch::fakes {

/// What operators have accepted for one cell, the same for every process and
/// without delay.
class FakeJobFeed final : public scheduler::JobFeed {
 public:
  explicit FakeJobFeed(VirtualTime& time) : time_(time) {}

  scheduler::FeedId Follow(
      const base::CellName&,
      std::function<void(scheduler::FeedEvent)> changed) override {
    const auto id = ++last_id_;
    followers_[id] = std::move(changed);
    time_.Post([this, id] {
      const auto it = followers_.find(id);
      if (it == followers_.end()) return;
      it->second(Snapshot());
      for (const auto& job : cancelled_) {
        it->second(scheduler::JobCancelled{job});
      }
    });
    return id;
  }

  void Unfollow(scheduler::FeedId id) override { followers_.erase(id); }

  void Accept(scheduler::AcceptedJob job) {
    job.submitted = time_.Now();
    jobs_[job.name] = job;
    Tell(scheduler::JobAccepted{job});
  }

  void Cancel(const base::JobName& job) {
    cancelled_.insert(job);
    Tell(scheduler::JobCancelled{job});
  }

  void SetWorkers(std::vector<scheduler::CellWorker> workers) {
    workers_ = std::move(workers);
    Tell(scheduler::WorkersChanged{workers_});
  }

  void SetConfiguration(scheduler::CellConfiguration configuration) {
    configuration_ = std::move(configuration);
    Tell(scheduler::ConfigurationChanged{configuration_});
  }

  const std::vector<scheduler::CellWorker>& workers() const { return workers_; }

 private:
  scheduler::FeedSnapshot Snapshot() const {
    scheduler::FeedSnapshot snapshot;
    for (const auto& [name, job] : jobs_) snapshot.jobs.push_back(job);
    snapshot.workers = workers_;
    snapshot.configuration = configuration_;
    return snapshot;
  }

  void Tell(const scheduler::FeedEvent& event) {
    time_.Post([this, event] {
      for (const auto& [id, follower] : followers_) follower(event);
    });
  }

  VirtualTime& time_;
  scheduler::FeedId last_id_ = 0;
  std::map<scheduler::FeedId, std::function<void(scheduler::FeedEvent)>>
      followers_;
  std::map<base::JobName, scheduler::AcceptedJob> jobs_;
  std::set<base::JobName> cancelled_;
  std::vector<scheduler::CellWorker> workers_;
  scheduler::CellConfiguration configuration_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_JOB_FEED_H_
