/// Ways to choose the failure domain of a job that names none: how evenly the
/// domains are loaded and how long jobs wait. Virtual time, with the planner of
/// each cell and the load of bench_placement, but no failures.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "placement_load.h"

namespace lapishatch::bench {
namespace {

enum class Way : std::uint8_t {
  kHash,
  kLeastDemand,
  kGuaranteeAlways,
  kGuaranteeWithRoom
};

}  // namespace
}  // namespace lapishatch::bench

namespace lapishatch::base {
template <>
struct EnumNames<bench::Way> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "hash", "least_demand", "guarantee_always", "guarantee_with_room"};
};
}  // namespace lapishatch::base

namespace lapishatch::bench {
namespace {

constexpr int kDomains = 3;
constexpr int kWorkersPerDomain = 17;
constexpr int kSeeds = 10;
constexpr double kCheckpointStopSeconds = 3;
constexpr double kStopSeconds = 0.5;
constexpr double kSampleSeconds = 60;
constexpr int kCountedJobs = 30'000;
constexpr int kCountedDomains = 13;
constexpr double kGiveUpAfterSeconds = 8 * 24 * 3600.0;

base::DomainName DomainAt(int n) {
  return base::DomainName("d" + std::to_string(n));
}

/// Every organisation has its guarantees in one or two of the domains.
config::DomainGuarantees Guarantees() {
  using placement::Adjacency;
  const auto make = [](int who, int size, Adjacency adjacency, int count) {
    return placement::Guarantee{base::OrganisationName(OrganisationName(who)),
                                {size, adjacency},
                                count};
  };
  return {
      {DomainAt(0),
       {make(0, 32, Adjacency::kRack, 2), make(3, 8, Adjacency::kWorker, 2)}},
      {DomainAt(1),
       {make(1, 32, Adjacency::kRack, 1), make(1, 16, Adjacency::kRack, 2),
        make(0, 8, Adjacency::kWorker, 2)}},
      {DomainAt(2),
       {make(2, 16, Adjacency::kRack, 1), make(2, 4, Adjacency::kWorker, 4),
        make(1, 4, Adjacency::kWorker, 4)}}};
}

std::vector<placement::WorkerSpec> Workers(int domain) {
  std::vector<placement::WorkerSpec> out;
  for (int i = 0; i < kWorkersPerDomain; ++i) {
    auto worker = MakeWorker(i);
    worker.name = base::WorkerName(DomainAt(domain).str() + worker.name.str());
    out.push_back(std::move(worker));
  }
  return out;
}

config::JobSpec SpecOf(const placement::Gang& gang) {
  config::JobSpec spec;
  spec.organisation = gang.organisation;
  spec.work_class = gang.work_class;
  spec.tasks = gang.tasks;
  spec.needs = gang.needs;
  spec.adjacency = gang.adjacency;
  spec.idempotent = gang.idempotent;
  spec.checkpoint = gang.checkpointable;
  spec.borrow = gang.allow_borrowing;
  return spec;
}

struct Outcome {
  std::vector<double> waits_s;
  std::vector<double> large_waits_s;
  std::vector<double> urgent_waits_s;
  /// Of jobs that some guarantee had room for when they were accepted.
  std::vector<double> owed_waits_s;
  std::vector<double> ratios;
  /// Busiest minus idlest domain, by share of accelerators running.
  double spread = 0;
  int samples = 0;
  int evictions = 0;
  int refused = 0;
  int unfinished = 0;
  double choosing_us = 0;
  int chosen = 0;
};

/// Plays one load with one way of choosing.
class Play {
 public:
  Play(const Load& load, Way way, Outcome& out)
      : load_(load), way_(way), out_(out), jobs_(load.jobs.size()) {
    for (int i = 0; i < kDomains; ++i) {
      capacity_.SetWorkers(DomainAt(i), Workers(i));
      auto& planner = cells_.emplace_back(placement::PlannerOptions());
      for (const auto& it : Workers(i)) planner.PutWorker(it);
      planner.SetGuarantees(guarantees_.at(DomainAt(i)));
    }
    for (std::size_t i = 0; i < load.jobs.size(); ++i) {
      index_of_[load.jobs[i].gang.job] = i;
      events_.emplace(load.jobs[i].submit_s, Event{Kind::kSubmit, i, 0});
    }
    events_.emplace(kSampleSeconds, Event{Kind::kSample, 0, 0});
  }

  void Run() {
    open_ = static_cast<int>(jobs_.size());
    while (open_ > 0 && !events_.empty() && now_s_ < kGiveUpAfterSeconds) {
      const auto it = events_.begin();
      const auto event = it->second;
      now_s_ = it->first;
      events_.erase(it);
      Handle(event);
      const bool more = !events_.empty() && events_.begin()->first == now_s_;
      if (!more) Decide();
    }
    out_.unfinished += open_;
  }

 private:
  enum class Kind : std::uint8_t { kSubmit, kFinish, kStopped, kSample };
  struct Event {
    Kind kind = Kind::kSubmit;
    std::size_t job = 0;
    int attempt = 0;
  };
  struct State {
    int domain = 0;
    double left_s = 0;
    double started_s = -1;
    int attempt = 0;
    bool ever_started = false;
    bool owed = false;
  };

  base::TimePoint Now() const { return At(now_s_); }
  static base::TimePoint At(double seconds) {
    return base::TimePoint(
        base::Duration(1'000'000 + static_cast<std::int64_t>(seconds * 1000)));
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kSubmit:
        Choose(event.job);
        break;
      case Kind::kFinish:
        if (jobs_[event.job].attempt == event.attempt) Finish(event.job);
        break;
      case Kind::kStopped:
        if (jobs_[event.job].attempt == event.attempt) Evicted(event.job);
        break;
      case Kind::kSample:
        Sample();
        break;
    }
  }

  std::vector<config::DomainOffer> OffersFor(const config::JobSpec& spec) {
    std::vector<config::DomainOffer> offers;
    const auto verdict = capacity_.JudgeJob(spec, guarantees_);
    const auto* fits = std::get_if<config::JobFits>(&verdict);
    if (fits == nullptr) return offers;
    for (const auto& it : fits->domains) {
      std::int64_t guaranteed = 0;
      for (const auto& held : guarantees_.at(it.domain)) {
        if (held.organisation != spec.organisation) continue;
        guaranteed += std::int64_t{held.shape.accelerators} * held.count;
      }
      auto& demand = demand_[it.domain];
      offers.push_back({it.domain, it.accelerators, guaranteed, it.in_guarantee,
                        demand.by_organisation[spec.organisation],
                        demand.total});
    }
    return offers;
  }

  /// As it was: any domain, whether it can hold the job or not.
  static base::DomainName PickByHash(const placement::Gang& gang) {
    std::vector<config::DomainOffer> all;
    all.reserve(kDomains);
    for (int i = 0; i < kDomains; ++i) all.push_back({DomainAt(i), 1});
    return config::ChooseDomain(gang.job, gang.accelerators(), all);
  }

  /// The least used guarantee, however much is asked of it.
  static base::DomainName PickGuarantee(
      const placement::Gang& gang,
      const std::vector<config::DomainOffer>& offers) {
    const config::DomainOffer* best = nullptr;
    for (const auto& it : offers) {
      if (!it.in_guarantee) continue;
      const bool better =
          best == nullptr ||
          it.own_demand * best->guaranteed < best->own_demand * it.guaranteed;
      if (better) best = &it;
    }
    if (best != nullptr) return best->domain;
    return config::ChooseDomain(gang.job, gang.accelerators(), offers);
  }

  base::DomainName Pick(const placement::Gang& gang) {
    if (way_ == Way::kHash) return PickByHash(gang);
    auto offers = OffersFor(SpecOf(gang));
    if (way_ == Way::kGuaranteeAlways) return PickGuarantee(gang, offers);
    if (way_ == Way::kLeastDemand) {
      for (auto& it : offers) it.in_guarantee = false;
    }
    return config::ChooseDomain(gang.job, gang.accelerators(), offers);
  }

  /// A guarantee somewhere holds the gang beside what the organisation's
  /// unfinished jobs ask for in that domain.
  bool IsOwed(const placement::Gang& gang) {
    const auto offers = OffersFor(SpecOf(gang));
    return std::any_of(offers.begin(), offers.end(), [&gang](const auto& it) {
      return it.in_guarantee &&
             it.own_demand + gang.accelerators() <= it.guaranteed;
    });
  }

  void Choose(std::size_t index) {
    const auto& job = load_.jobs[index];
    const auto began = std::chrono::steady_clock::now();
    const auto domain = Pick(job.gang);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - began;
    out_.choosing_us += took.count();
    ++out_.chosen;
    auto& state = jobs_[index];
    state.left_s = job.run_s;
    for (int i = 0; i < kDomains; ++i) {
      if (DomainAt(i) == domain) state.domain = i;
    }
    state.owed = IsOwed(job.gang);
    Demand(job.gang, state.domain, 1);
    if (domain.empty()) return Refuse(index);
    Submit(index);
  }

  void Demand(const placement::Gang& gang, int domain, int sign) {
    auto& demand = demand_[DomainAt(domain)];
    demand.total += std::int64_t{sign} * gang.accelerators();
    demand.by_organisation[gang.organisation] +=
        std::int64_t{sign} * gang.accelerators();
  }

  void Submit(std::size_t index) {
    auto gang = load_.jobs[index].gang;
    gang.submitted = At(load_.jobs[index].submit_s);
    const auto reason = cells_[jobs_[index].domain].Submit(gang, Now());
    if (!reason.empty()) Refuse(index);
  }

  void Refuse(std::size_t index) {
    ++out_.refused;
    Close(index);
  }

  void Close(std::size_t index) {
    Demand(load_.jobs[index].gang, jobs_[index].domain, -1);
    --open_;
  }

  void Finish(std::size_t index) {
    const auto& job = load_.jobs[index];
    auto& state = jobs_[index];
    ++state.attempt;
    running_[state.domain] -= job.gang.accelerators();
    cells_[state.domain].ReportEnded(job.gang.job, Now());
    out_.ratios.push_back(std::max(1.0, (now_s_ - job.submit_s) / job.run_s));
    Close(index);
  }

  void Evicted(std::size_t index) {
    const auto& gang = load_.jobs[index].gang;
    auto& state = jobs_[index];
    ++state.attempt;
    running_[state.domain] -= gang.accelerators();
    if (gang.checkpointable) state.left_s -= now_s_ - state.started_s;
    state.left_s = std::max(state.left_s, 1.0);
    cells_[state.domain].ReportEnded(gang.job, Now());
    Submit(index);
  }

  void Decide() {
    for (auto& cell : cells_) {
      for (const auto& it : cell.Decide(Now())) Act(it);
    }
  }

  void Act(const placement::Decision& decision) {
    if (const auto* start = std::get_if<placement::StartGang>(&decision)) {
      Start(index_of_.at(start->job));
    }
    if (const auto* evict = std::get_if<placement::EvictGang>(&decision)) {
      Evict(index_of_.at(evict->job));
    }
    if (const auto* refuse = std::get_if<placement::RefuseGang>(&decision)) {
      Refuse(index_of_.at(refuse->job));
    }
  }

  void Start(std::size_t index) {
    const auto& job = load_.jobs[index];
    auto& state = jobs_[index];
    state.started_s = now_s_;
    running_[state.domain] += job.gang.accelerators();
    events_.emplace(now_s_ + state.left_s,
                    Event{Kind::kFinish, index, state.attempt});
    if (std::exchange(state.ever_started, true)) return;
    const double waited = now_s_ - job.submit_s;
    out_.waits_s.push_back(waited);
    if (state.owed) out_.owed_waits_s.push_back(waited);
    if (job.gang.accelerators() >= kLarge) out_.large_waits_s.push_back(waited);
    if (job.gang.work_class == base::WorkClass::kUrgent) {
      out_.urgent_waits_s.push_back(waited);
    }
  }

  void Evict(std::size_t index) {
    ++out_.evictions;
    auto& state = jobs_[index];
    ++state.attempt;
    const bool checkpoint = load_.jobs[index].gang.checkpointable;
    events_.emplace(
        now_s_ + (checkpoint ? kCheckpointStopSeconds : kStopSeconds),
        Event{Kind::kStopped, index, state.attempt});
  }

  void Sample() {
    if (now_s_ > kArrivalSeconds) return;
    const auto [least, most] =
        std::minmax_element(running_.begin(), running_.end());
    out_.spread += 1.0 * (*most - *least) /
                   static_cast<double>(kWorkersPerDomain * kAccelerators);
    ++out_.samples;
    events_.emplace(now_s_ + kSampleSeconds, Event{Kind::kSample, 0, 0});
  }

  static constexpr int kLarge = 16;

  const Load& load_;
  const Way way_;
  Outcome& out_;
  const config::DomainGuarantees guarantees_ = Guarantees();
  config::WorkerCapacity capacity_;
  std::vector<placement::Planner> cells_;
  std::vector<State> jobs_;
  std::map<base::JobName, std::size_t> index_of_;
  std::multimap<double, Event> events_;
  std::map<base::DomainName, config::DomainDemand> demand_;
  std::array<int, kDomains> running_{};
  double now_s_ = 0;
  int open_ = 0;
};

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const auto it : values) sum += it;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

void Print(const std::string& name, double value, const char* unit) {
  std::printf("%s %.2f %s\n", name.c_str(), value, unit);
}

void Measure(Firm firm, const std::string& firm_name, Way way, int seeds) {
  Outcome out;
  for (int seed = 1; seed <= seeds; ++seed) {
    const auto load = LoadMaker(firm, seed).Make();
    Play(load, way, out).Run();
  }
  const auto name = firm_name + "." + std::string(base::NameOf(way)) + ".";
  Print(name + "wait_mean", Mean(out.waits_s), "s");
  Print(name + "wait_p99", Quantile(out.waits_s, 0.99), "s");
  Print(name + "urgent_wait_p99", Quantile(out.urgent_waits_s, 0.99), "s");
  Print(name + "owed_wait_mean", Mean(out.owed_waits_s), "s");
  Print(name + "owed_wait_p99", Quantile(out.owed_waits_s, 0.99), "s");
  Print(name + "large_wait_mean", Mean(out.large_waits_s), "s");
  Print(name + "completion_ratio_mean", Mean(out.ratios), "ratio");
  Print(name + "spread", 100 * out.spread / out.samples, "percent");
  Print(name + "evictions", 1.0 * out.evictions / seeds, "per_run");
  Print(name + "refused", 1.0 * out.refused / seeds, "per_run");
  Print(name + "unfinished", 1.0 * out.unfinished / seeds, "per_run");
  Print(name + "choosing", out.choosing_us / out.chosen, "us");
}

/// What one acceptance pays for counting all jobs; once for a whole batch.
void MeasureCounting() {
  std::vector<config::ResourcePtr> jobs;
  jobs.reserve(kCountedJobs);
  for (int i = 0; i < kCountedJobs; ++i) {
    config::Resource job;
    job.ref = {config::ResourceKind::kJob, "j" + std::to_string(i)};
    job.pinned_domain = DomainAt(i % kCountedDomains);
    config::JobSpec spec;
    spec.organisation = base::OrganisationName("o" + std::to_string(i % 730));
    job.spec = std::move(spec);
    jobs.push_back(std::make_shared<const config::Resource>(std::move(job)));
  }
  const auto began = std::chrono::steady_clock::now();
  config::DemandBook book;
  for (const auto& it : jobs) book.Add(*it);
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - began;
  Print("counting." + std::to_string(kCountedJobs) + "_jobs", took.count(),
        "ms");
}

}  // namespace
}  // namespace lapishatch::bench

/// `bench_domain_choice [seeds]`
int main(int argc, char** argv) {
  using lapishatch::bench::Firm;
  using lapishatch::bench::Way;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : lapishatch::bench::kSeeds;
  lapishatch::bench::MeasureCounting();
  for (const auto way : {Way::kHash, Way::kLeastDemand, Way::kGuaranteeAlways,
                         Way::kGuaranteeWithRoom}) {
    lapishatch::bench::Measure(Firm::kBertolini, "bertolini", way, seeds);
    lapishatch::bench::Measure(Firm::kFianza, "fianza", way, seeds);
  }
}
