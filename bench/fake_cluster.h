#ifndef LAPISHATCH_BENCH_FAKE_CLUSTER_H_
#define LAPISHATCH_BENCH_FAKE_CLUSTER_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fakes.h"
#include "routing/routing.h"

namespace lapishatch::bench {

inline constexpr int kDomains = 3;
inline constexpr int kRunners = 50;
inline constexpr int kSlots = 8;
inline constexpr int kConnections = 64;
inline constexpr base::Duration kMeanService{200};

inline base::DomainName DomainOf(int number) {
  return base::DomainName("domain-" + std::to_string(number % kDomains));
}

inline http::Endpoint EndpointOf(int runner) {
  return {"10.0.0.1", static_cast<std::uint16_t>(7000 + runner)};
}

/// What is wrong with a runner.
enum class RunnerTrouble : std::uint8_t { kNone, kSlow, kFailsFast, kLeaving };

/// Runners in virtual time: slots, connections, and exponential service times.
class FakeCluster final : public routing::RunnerDirectory {
 public:
  static constexpr int kSlowFactor = 10;

  FakeCluster(fakes::VirtualTime& time, std::uint64_t seed)
      : time_(time), random_(seed), runners_(kRunners) {}

  void SetTrouble(int runner, RunnerTrouble trouble) {
    At(runner).trouble = trouble;
  }

  std::vector<routing::RunnerEntry> Runners(
      const base::ServiceName&) const override {
    std::vector<routing::RunnerEntry> out;
    for (int i = 0; i < kRunners; ++i) {
      out.push_back({base::RunnerName("r" + std::to_string(i)), EndpointOf(i),
                     DomainOf(i), false});
    }
    return out;
  }

  backends::RunnerLoad LoadOf(int runner) const {
    const auto& it = At(runner);
    return {kSlots, it.busy, static_cast<int>(it.waiting.size()),
            it.trouble == RunnerTrouble::kLeaving};
  }

  /// Gives the request to the runner; `answer` is called at the runner's end of
  /// the way.
  void Accept(int runner, std::function<void(backends::RunnerOutcome)> answer) {
    auto& it = At(runner);
    if (it.trouble == RunnerTrouble::kLeaving) {
      return answer(backends::RunnerRefused{"leaving", LoadOf(runner)});
    }
    if (it.trouble == RunnerTrouble::kFailsFast) {
      return answer(backends::RunnerResponse{500, "", "", LoadOf(runner)});
    }
    if (it.busy + static_cast<int>(it.waiting.size()) >= kConnections) {
      return answer(backends::RunnerNotReached{"no connection"});
    }
    it.waiting.push_back(std::move(answer));
    Next(runner);
  }

  /// Mean share of the slots that were busy since the last call.
  double TakeSlotUse() {
    Account();
    const double span = static_cast<double>((time_.Now() - use_from_).count()) *
                        kRunners * kSlots;
    use_from_ = time_.Now();
    return std::exchange(busy_time_, 0) / std::max(span, 1.0);
  }

 private:
  struct Runner {
    RunnerTrouble trouble = RunnerTrouble::kNone;
    int busy = 0;
    std::deque<std::function<void(backends::RunnerOutcome)>> waiting;
  };

  Runner& At(int runner) { return runners_[static_cast<std::size_t>(runner)]; }
  const Runner& At(int runner) const {
    return runners_[static_cast<std::size_t>(runner)];
  }

  void Account() {
    const auto now = time_.Now();
    busy_time_ += busy_ * static_cast<double>((now - accounted_at_).count());
    accounted_at_ = now;
  }

  void Next(int runner) {
    auto& it = At(runner);
    if (it.busy >= kSlots || it.waiting.empty()) return;
    auto answer = std::move(it.waiting.front());
    it.waiting.pop_front();
    Account();
    ++it.busy;
    ++busy_;
    std::exponential_distribution<double> draw(
        1.0 / static_cast<double>(kMeanService.count()));
    double ms = std::max(1.0, draw(random_));
    if (it.trouble == RunnerTrouble::kSlow) ms *= kSlowFactor;
    time_.After(base::Duration(static_cast<std::int64_t>(ms)),
                [this, runner, answer = std::move(answer)] {
                  Account();
                  --At(runner).busy;
                  --busy_;
                  answer(backends::RunnerResponse{200, "", "", LoadOf(runner)});
                  Next(runner);
                });
  }

  fakes::VirtualTime& time_;
  base::Random random_;
  std::vector<Runner> runners_;
  int busy_ = 0;
  double busy_time_ = 0;
  base::TimePoint accounted_at_ = time_.Now();
  base::TimePoint use_from_ = time_.Now();
};

/// The cluster's runners as one entry reaches them: 1 ms each way to another
/// domain, 1 ms there and back within the own.
class ClusterClient final : public backends::RunnerClient {
 public:
  ClusterClient(FakeCluster& cluster, fakes::VirtualTime& time,
                fakes::FakeProcess& process, base::DomainName domain)
      : cluster_(cluster),
        time_(time),
        process_(process),
        domain_(std::move(domain)) {}

  void Send(const http::Endpoint& endpoint, backends::RunnerRequest request,
            std::function<void(backends::RunnerOutcome)> done) override {
    const int runner = endpoint.port - 7000;
    auto once = std::make_shared<std::function<void(backends::RunnerOutcome)>>(
        std::move(done));
    process_.After(request.deadline, [once] {
      if (*once) {
        std::exchange(*once, {})(backends::RunnerResponseLost{true, "late"});
      }
    });
    time_.After(Way(runner), [this, runner, once] {
      cluster_.Accept(runner, [this, once](backends::RunnerOutcome outcome) {
        process_.After(kBack, [once, outcome = std::move(outcome)]() mutable {
          if (*once) std::exchange(*once, {})(std::move(outcome));
        });
      });
    });
  }

  void Ping(const http::Endpoint& endpoint, base::Duration,
            std::function<void(backends::PingResult)> done) override {
    const int runner = endpoint.port - 7000;
    time_.After(Way(runner), [this, runner, done = std::move(done)] {
      process_.After(kBack,
                     [load = cluster_.LoadOf(runner), done] { done(load); });
    });
  }

 private:
  static constexpr base::Duration kBack{1};

  base::Duration Way(int runner) const {
    return base::Duration(DomainOf(runner) == domain_ ? 0 : 1);
  }

  FakeCluster& cluster_;
  fakes::VirtualTime& time_;
  fakes::FakeProcess& process_;
  base::DomainName domain_;
};

/// What the callers of one run got.
class CallerStatistics {
 public:
  void Answered(base::Duration time, bool good) {
    ++(good ? good_ : failed_);
    times_.push_back(time.count());
  }
  void Refused(base::Duration time) {
    ++refused_;
    refusals_.push_back(time.count());
  }
  void Lost() { ++lost_; }

  double good() const { return good_; }
  double failed() const { return failed_; }
  double refused() const { return refused_; }
  double lost() const { return lost_; }
  double asked() const { return good_ + failed_ + refused_ + lost_; }
  double TimeAt(double share) { return At(times_, share); }
  double RefusalAt(double share) { return At(refusals_, share); }

 private:
  static double At(std::vector<std::int64_t>& values, double share) {
    if (values.empty()) return 0;
    const auto n = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(n)]);
  }

  double good_ = 0;
  double failed_ = 0;
  double refused_ = 0;
  double lost_ = 0;
  std::vector<std::int64_t> times_;
  std::vector<std::int64_t> refusals_;
};

/// One number over several seeds.
class Spread {
 public:
  void Add(double value) { values_.push_back(value); }
  void Print(const std::string& name, const std::string& unit) {
    std::sort(values_.begin(), values_.end());
    std::printf("%s %.4g %s (%.4g to %.4g in %zu seeds)\n", name.c_str(),
                values_[values_.size() / 2], unit.c_str(), values_.front(),
                values_.back(), values_.size());
  }

 private:
  std::vector<double> values_;
};

/// Everything exists, nobody is gone.
class OpenDirectory final : public routing::OrganisationDirectory,
                            public routing::EntryDirectory {
 public:
  explicit OpenDirectory(int entries) : entries_(entries) {}
  std::optional<routing::OrganisationRules> FindOrganisation(
      const base::OrganisationName&) const override {
    return routing::OrganisationRules{};
  }
  std::optional<routing::ServiceRules> FindService(
      const base::ServiceName&) const override {
    return routing::ServiceRules{};
  }
  bool IsGone(const base::Incarnation&) const override { return false; }
  int LiveEntries() const override { return entries_; }

 private:
  int entries_;
};

/// One entry in virtual time: its process and the real request path.
struct PathEntry {
  PathEntry(int number, fakes::VirtualTime& time, FakeCluster& cluster,
            store::Table* shared_table, const OpenDirectory& directory,
            std::uint64_t seed, const routing::RequestPathOptions& options)
      : process(time),
        client(cluster, time, process, DomainOf(number)),
        own_table(time),
        own_view(own_table, process),
        own_objects_view(own_objects, process) {
    routing::RequestPathParts parts{
        {&process},
        shared_table != nullptr ? *shared_table : own_view,
        own_objects_view,
        client,
        directory,
        cluster,
        directory,
        metrics,
        base::Incarnation("entry-" + std::to_string(number)),
        DomainOf(number),
        [&time] { return time.Now().time_since_epoch().count(); },
        seed};
    path = std::make_unique<routing::RequestPath>(std::move(parts), options);
  }

  fakes::FakeProcess process;
  ClusterClient client;
  fakes::FakeTable own_table;
  fakes::FakeTableView own_view;
  fakes::FakeObjects own_objects;
  fakes::FakeObjectsView own_objects_view;
  base::MetricRegistry metrics;
  std::unique_ptr<routing::RequestPath> path;
};

}  // namespace lapishatch::bench

#endif  // LAPISHATCH_BENCH_FAKE_CLUSTER_H_
