// Two ways to share the runners' slots among entries, in virtual time: each
// entry choosing alone by power of two choices (the product's request path),
// and runners owned by entries with exact admission. Prints the median over the
// seeds and their range.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace lapishatch::bench {
namespace {

constexpr int kEntries = 8;
constexpr int kSeeds = 10;
constexpr base::Duration kWarmUp{3'000};
constexpr base::Duration kMeasured{10'000};
constexpr base::Duration kDeadline{2'000};
constexpr double kCapacityPerMs =
    static_cast<double>(kRunners) * kSlots / kMeanService.count();

enum class Trouble : std::uint8_t {
  kNone,
  kEntryDies,
  kRunnerSlow,
  kRunnerFailsFast,
  kRunnerLeaves,
};

struct Scenario {
  std::string name;
  double load;
  Trouble trouble;
};

/// One way of sharing: entries that callers reach.
class Way {
 public:
  using Done = std::function<void(const routing::RequestOutcome&)>;

  virtual ~Way() = default;
  virtual void Ask(int entry, routing::RoutedRequest request, Done done) = 0;
  virtual void Kill(int entry) = 0;
};

/// Each entry alone.
class Independent final : public Way {
 public:
  Independent(fakes::VirtualTime& time, FakeCluster& cluster,
              std::uint64_t seed) {
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<PathEntry>(
          i, time, cluster, nullptr, directory_, seed + 100UL * i,
          routing::RequestPathOptions{}));
    }
  }

  void Ask(int entry, routing::RoutedRequest request, Done done) override {
    entries_[static_cast<std::size_t>(entry)]->path->Handle(std::move(request),
                                                            std::move(done));
  }

  void Kill(int entry) override {
    auto& it = *entries_[static_cast<std::size_t>(entry)];
    it.process.Kill();
    it.path.reset();
  }

 private:
  OpenDirectory directory_{kEntries};
  std::vector<std::unique_ptr<PathEntry>> entries_;
};

/// Runners owned by entries. The owner admits exactly; an entry without a free
/// slot of its own asks the peer that it believes has most, twice, and then
/// lets the request wait and asks again while it does. A dead owner's runners
/// are nobody's until the others notice.
class Owned final : public Way {
 public:
  Owned(fakes::VirtualTime& time, FakeCluster& cluster, std::uint64_t seed)
      : time_(time), cluster_(cluster), random_(seed) {
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<Entry>(i, time, cluster, seed + i));
    }
    Assign();
    for (int i = 0; i < kEntries; ++i) Tick(i);
  }

  void Ask(int entry, routing::RoutedRequest request, Done done) override {
    auto job = std::make_shared<Job>();
    job->request = std::move(request);
    job->done = std::move(done);
    job->deadline = time_.Now() + job->request.deadline;
    Place(entry, job, kAsks);
  }

  void Kill(int entry) override {
    At(entry).process.Kill();
    time_.After(kNoticeDeath, [this, entry] {
      At(entry).known_dead = true;
      Assign();
    });
  }

 private:
  static constexpr int kAsks = 2;
  static constexpr base::Duration kNoticeDeath{3'000};
  static constexpr base::Duration kPeerWay{1};
  static constexpr base::Duration kTick{20};
  static constexpr std::size_t kMaxQueue = 1024;

  struct Job {
    routing::RoutedRequest request;
    Done done;
    base::TimePoint deadline{};
    int sends = 0;
    bool asking = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct Entry {
    Entry(int index, fakes::VirtualTime& time, FakeCluster& cluster,
          std::uint64_t seed)
        : number(index),
          process(time),
          client(cluster, time, process, DomainOf(index)),
          pool(DomainOf(index), Options(), seed),
          believed_free(kEntries, 1) {}

    static routing::RunnerPoolOptions Options() {
      routing::RunnerPoolOptions options;
      options.max_in_flight = kConnections;
      return options;
    }

    int number;
    bool known_dead = false;
    fakes::FakeProcess process;
    ClusterClient client;
    routing::RunnerPool pool;
    std::deque<JobPtr> queue;
    std::vector<int> believed_free;
    int in_flight = 0;
    double mean_ms = 0;
  };

  Entry& At(int entry) { return *entries_[static_cast<std::size_t>(entry)]; }

  /// Rendezvous hashing of runners over the entries not known to be dead.
  void Assign() {
    std::map<int, std::vector<routing::RunnerEntry>> owned;
    for (const auto& runner : cluster_.Runners({})) {
      int best = -1;
      std::size_t best_hash = 0;
      for (const auto& it : entries_) {
        if (it->known_dead) continue;
        const auto hash = std::hash<std::string>()(runner.name.str() + "/" +
                                                   std::to_string(it->number));
        if (best >= 0 && hash <= best_hash) continue;
        best = it->number;
        best_hash = hash;
      }
      owned[best].push_back(runner);
    }
    for (const auto& it : entries_) {
      if (!it->known_dead) it->pool.Update(owned[it->number], time_.Now());
    }
  }

  void Tick(int number) {
    auto& entry = At(number);
    const auto now = time_.Now();
    entry.pool.Assess(now);
    for (const auto runner : entry.pool.TakePingsDue(now, false)) {
      entry.client.Ping(
          entry.pool.endpoint(runner), base::Duration(300),
          [this, &entry, runner](backends::PingResult result) {
            if (auto* load = std::get_if<backends::RunnerLoad>(&result)) {
              entry.pool.OnPing(runner, *load, time_.Now());
            }
          });
    }
    while (!entry.queue.empty() && entry.queue.front()->deadline <= now) {
      Refuse(entry.queue.front());
      entry.queue.pop_front();
    }
    Pump(number);
    if (!entry.queue.empty() && !entry.queue.front()->asking) {
      const auto job = entry.queue.front();
      entry.queue.pop_front();
      Place(number, job, 1);
    }
    entry.process.After(kTick, [this, number] { Tick(number); });
  }

  void Place(int number, const JobPtr& job, int asks) {
    auto& entry = At(number);
    if (const auto runner = entry.pool.Pick(time_.Now(), {})) {
      entry.pool.OnSent(*runner);
      return Send(number, number, *runner, job);
    }
    if (asks == 0) return Wait(number, job);
    const int peer = BestPeer(entry);
    job->asking = true;
    entry.process.After(kPeerWay, [this, number, peer, job, asks] {
      OnAsked(number, peer, job, asks);
    });
  }

  int BestPeer(Entry& entry) {
    std::uniform_int_distribution<int> draw(0, kEntries - 1);
    int best = -1;
    const int first = draw(random_);
    for (int i = 0; i < kEntries; ++i) {
      const int it = (first + i) % kEntries;
      if (it == entry.number || At(it).known_dead) continue;
      const auto free = entry.believed_free[static_cast<std::size_t>(it)];
      if (best < 0 ||
          free > entry.believed_free[static_cast<std::size_t>(best)]) {
        best = it;
      }
    }
    return best;
  }

  /// At the peer: grants a slot of one of its runners, or says no.
  void OnAsked(int number, int peer, const JobPtr& job, int asks) {
    auto& owner = At(peer);
    auto& entry = At(number);
    if (owner.process.killed()) {
      // No answer; the asker gives up after a short wait.
      entry.process.After(base::Duration(50), [this, number, peer, job] {
        At(number).believed_free[static_cast<std::size_t>(peer)] = -1;
        job->asking = false;
        Place(number, job, 0);
      });
      return;
    }
    const auto runner =
        owner.queue.empty() ? owner.pool.Pick(time_.Now(), {}) : std::nullopt;
    if (runner) owner.pool.OnSent(*runner);
    entry.process.After(kPeerWay, [this, number, peer, job, asks, runner] {
      job->asking = false;
      auto& believed = At(number).believed_free[static_cast<std::size_t>(peer)];
      believed = runner ? believed + 1 : std::min(0, believed - 1);
      if (runner) return Send(number, peer, *runner, job);
      Place(number, job, asks - 1);
    });
  }

  void Wait(int number, const JobPtr& job) {
    auto& entry = At(number);
    const double left =
        static_cast<double>((job->deadline - time_.Now()).count());
    const double wait = static_cast<double>(entry.queue.size()) *
                        entry.mean_ms / std::max(entry.in_flight, 1);
    // As the request path decides.
    const routing::DispatcherOptions rule;
    const bool meets = wait <= rule.max_wait_share * left &&
                       wait + rule.spare_means * entry.mean_ms <= left;
    if (!meets || entry.queue.size() >= kMaxQueue) return Refuse(job);
    entry.queue.push_back(job);
  }

  void Pump(int number) {
    auto& entry = At(number);
    while (!entry.queue.empty()) {
      const auto runner = entry.pool.Pick(time_.Now(), {});
      if (!runner) return;
      const auto job = entry.queue.front();
      entry.queue.pop_front();
      entry.pool.OnSent(*runner);
      Send(number, number, *runner, job);
    }
  }

  void Send(int number, int owner, routing::RunnerIndex runner,
            const JobPtr& job) {
    auto& entry = At(number);
    ++entry.in_flight;
    ++job->sends;
    const auto sent_at = time_.Now();
    backends::RunnerRequest request;
    request.deadline = std::max(job->deadline - sent_at, base::Duration(1));
    entry.client.Send(At(owner).pool.endpoint(runner), std::move(request),
                      [this, number, owner, runner, job,
                       sent_at](const backends::RunnerOutcome& outcome) {
                        OnOutcome(number, owner, runner, job, sent_at, outcome);
                      });
  }

  void OnOutcome(int number, int owner, routing::RunnerIndex runner,
                 const JobPtr& job, base::TimePoint sent_at,
                 const backends::RunnerOutcome& outcome) {
    auto& entry = At(number);
    --entry.in_flight;
    const auto took = time_.Now() - sent_at;
    const auto way = owner == number ? base::Duration(0) : kPeerWay;
    // The owner learns what became of its slot.
    time_.After(way, [this, owner, runner, outcome, took] {
      Learn(owner, runner, outcome, took);
    });
    const auto* answer = std::get_if<backends::RunnerResponse>(&outcome);
    if (answer != nullptr && answer->status == 200) {
      const auto ms = static_cast<double>(took.count());
      entry.mean_ms += (entry.mean_ms == 0 ? 1 : 0.02) * (ms - entry.mean_ms);
      return job->done(routing::RequestAnswered{200, "", ""});
    }
    if (job->sends < 2 && job->deadline > time_.Now()) {
      return Place(number, job, kAsks);
    }
    if (answer != nullptr) {
      return job->done(routing::RequestAnswered{answer->status, "", ""});
    }
    job->done(routing::RequestRefused{routing::Refusal::kRunnerFailed,
                                      base::WorkDone::kUnknown, "",
                                      base::Duration(0)});
  }

  void Learn(int owner, routing::RunnerIndex runner,
             const backends::RunnerOutcome& outcome, base::Duration took) {
    auto& it = At(owner);
    if (it.process.killed()) return;
    const auto now = time_.Now();
    if (const auto* answer = std::get_if<backends::RunnerResponse>(&outcome)) {
      it.pool.OnAnswer(runner, answer->load, answer->status >= 500, took, now);
    } else if (const auto* refused =
                   std::get_if<backends::RunnerRefused>(&outcome)) {
      it.pool.OnRefused(runner, refused->load, now);
    } else if (std::holds_alternative<backends::RunnerNotReached>(outcome)) {
      it.pool.OnNotReached(runner, now);
    } else {
      it.pool.OnLost(runner, now);
    }
    Pump(owner);
  }

  static void Refuse(const JobPtr& job) {
    job->done(routing::RequestRefused{});
  }

  fakes::VirtualTime& time_;
  FakeCluster& cluster_;
  base::Random random_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

/// Results of one run.
struct Result {
  CallerStatistics callers;
  double slot_use = 0;
};

class Run {
 public:
  Run(const Scenario& scenario, bool owned, std::uint64_t seed)
      : scenario_(scenario), random_(seed), cluster_(time_, seed + 1) {
    if (owned) {
      way_ = std::make_unique<Owned>(time_, cluster_, seed + 2);
    } else {
      way_ = std::make_unique<Independent>(time_, cluster_, seed + 2);
    }
  }

  Result Go() {
    // Runners of one domain take a fault that is there from the start; what
    // happens at a moment happens in the middle.
    if (scenario_.trouble == Trouble::kRunnerSlow) {
      cluster_.SetTrouble(0, RunnerTrouble::kSlow);
    }
    if (scenario_.trouble == Trouble::kRunnerFailsFast) {
      cluster_.SetTrouble(0, RunnerTrouble::kFailsFast);
    }
    Arrive();
    time_.RunFor(kWarmUp);
    measuring_ = true;
    cluster_.TakeSlotUse();
    time_.RunFor(kMeasured / 4);
    if (scenario_.trouble == Trouble::kEntryDies) {
      dead_ = 0;
      way_->Kill(0);
    }
    if (scenario_.trouble == Trouble::kRunnerLeaves) {
      cluster_.SetTrouble(0, RunnerTrouble::kLeaving);
    }
    time_.RunFor(kMeasured - kMeasured / 4);
    result_.slot_use = cluster_.TakeSlotUse();
    measuring_ = false;
    stopped_ = true;
    time_.RunFor(2 * kDeadline);
    for (int i = 0; i < open_; ++i) result_.callers.Lost();
    return std::move(result_);
  }

 private:
  void Arrive() {
    std::exponential_distribution<double> gap(scenario_.load * kCapacityPerMs);
    next_ms_ += gap(random_);
    const auto whole = static_cast<std::int64_t>(next_ms_);
    next_ms_ -= static_cast<double>(whole);
    time_.After(base::Duration(whole), [this] {
      if (stopped_) return;
      Ask();
      Arrive();
    });
  }

  void Ask() {
    std::uniform_int_distribution<int> draw(0, kEntries - 1);
    int entry = draw(random_);
    while (entry == dead_) entry = draw(random_);
    routing::RoutedRequest request;
    request.id = base::RequestId(std::to_string(++number_));
    request.organisation = base::OrganisationName("bertolini");
    request.service = base::ServiceName("plans");
    request.deadline = kDeadline;
    request.idempotent = true;
    const bool counted = measuring_;
    if (counted) ++open_;
    const auto asked_at = time_.Now();
    way_->Ask(entry, std::move(request),
              [this, counted, asked_at](const routing::RequestOutcome& it) {
                if (counted) Note(it, time_.Now() - asked_at);
              });
  }

  void Note(const routing::RequestOutcome& outcome, base::Duration time) {
    --open_;
    const auto* answer = std::get_if<routing::RequestAnswered>(&outcome);
    if (answer != nullptr) {
      result_.callers.Answered(time, answer->status == 200);
    } else if (std::get<routing::RequestRefused>(outcome).work ==
               base::WorkDone::kNotRun) {
      result_.callers.Refused(time);
    } else {
      result_.callers.Lost();
    }
  }

  Scenario scenario_;
  base::Random random_;
  fakes::VirtualTime time_;
  FakeCluster cluster_;
  std::unique_ptr<Way> way_;
  Result result_;
  double next_ms_ = 0;
  int number_ = 0;
  int open_ = 0;
  int dead_ = -1;
  bool measuring_ = false;
  bool stopped_ = false;
};

void Measure(const Scenario& scenario, bool owned) {
  Spread p50;
  Spread p99;
  Spread refused;
  Spread bad;
  Spread refusal_p99;
  Spread use;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    auto result = Run(scenario, owned, static_cast<std::uint64_t>(seed)).Go();
    auto& callers = result.callers;
    p50.Add(callers.TimeAt(0.5));
    p99.Add(callers.TimeAt(0.99));
    refused.Add(100 * callers.refused() / callers.asked());
    bad.Add(100 * (callers.failed() + callers.lost()) / callers.asked());
    refusal_p99.Add(callers.RefusalAt(0.99));
    use.Add(100 * result.slot_use);
  }
  const auto name =
      std::string(owned ? "owned." : "independent.") + scenario.name;
  p50.Print(name + ".completion_p50", "ms");
  p99.Print(name + ".completion_p99", "ms");
  refused.Print(name + ".refused", "%");
  bad.Print(name + ".failed_or_lost", "%");
  refusal_p99.Print(name + ".refusal_p99", "ms");
  use.Print(name + ".slot_use", "%");
}

}  // namespace
}  // namespace lapishatch::bench

int main() {
  using lapishatch::bench::Scenario;
  using lapishatch::bench::Trouble;
  const std::vector<Scenario> scenarios{
      {"load_0.5", 0.5, Trouble::kNone},
      {"load_0.9", 0.9, Trouble::kNone},
      {"load_1.5", 1.5, Trouble::kNone},
      {"load_0.9.entry_dies", 0.9, Trouble::kEntryDies},
      {"load_0.9.runner_slow", 0.9, Trouble::kRunnerSlow},
      {"load_0.9.runner_fails_fast", 0.9, Trouble::kRunnerFailsFast},
      {"load_0.9.runner_leaves", 0.9, Trouble::kRunnerLeaves},
  };
  for (const auto& it : scenarios) {
    lapishatch::bench::Measure(it, false);
    lapishatch::bench::Measure(it, true);
  }
  return 0;
}
