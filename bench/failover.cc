// Where the time of a failover goes, in virtual time: the owners of a cell with
// the real group of processes around them, killed, vanished, paused or stopped
// at many moments, with and without hints; and how often a pause or a slow
// table costs an owner that lives its cell.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_group.h"
#include "fakes/fakes.h"
#include "scheduler/scheduler.h"

namespace lapishatch::scheduler {
namespace {

constexpr base::Duration kMinute{60'000};
constexpr base::Duration kProbeStep{500};
constexpr int kWorkers = 50;
constexpr int kRuns = 200;
constexpr int kPauseRuns = 20;
const base::CellName kCell("d0");

enum class Fault : std::uint8_t { kKill, kVanish, kPause, kStop };

struct Plan {
  std::string name;
  Fault fault = Fault::kKill;
  bool hints = true;
  /// VMs of the domain, each with an entry and a scheduler.
  int vms = 7;
  base::Duration recovery_window = OwnerOptions().recovery_window;
  base::Duration lease = lifecycle::LeaseTiming().duration;
  /// One worker is not reached by the new owner.
  bool worker_silent = false;
};

/// Milliseconds from the fault to the end of each step.
struct Steps {
  double noticed = 0;
  double taken = 0;
  double epochs_installed = 0;
  double placing = 0;
  double urgent_started = 0;
};

struct Process {
  Process(fakes::FakeMember& member_of, fakes::FakeTable& table,
          fakes::FakeWorkers& workers, fakes::FakeJobFeed& feed,
          const Plan& plan)
      : member(member_of),
        table_view(table, member.process),
        workers_view(workers, member.process),
        probe(member.process, *member.transport, member.node.requests(),
              kProbeStep) {
    const auto& identity = member.identity;
    OwnerOptions options;
    options.cell = kCell;
    options.domain = identity.domain;
    options.incarnation = identity.incarnation;
    options.endpoint = {identity.endpoint.address, identity.endpoint.port};
    options.recovery_window = plan.recovery_window;
    options.lease.duration = plan.lease;
    options.lease.renew_interval =
        std::min(options.lease.renew_interval, plan.lease * 3 / 10);
    options.lease.read_interval =
        std::min(options.lease.read_interval, plan.lease / 5);
    GroupWord group;
    if (plan.hints) {
      group = [this](const auto& holder, const auto& at) {
        return DoubtOf(*member.node.view(), holder, at);
      };
    }
    owner = std::make_unique<CellOwner>(
        options, OwnerPorts{member.process, table_view, workers_view, probe,
                            feed, nullptr, group});
    member.node.Serve(MakeCellQueryServer(
        {.probe =
             [this](const auto&, const auto& holder, auto done) {
               done(owner ? owner->AnswerProbe(holder) : ProbeAnswer());
             },
         .explain = [](const auto&, auto done) { done(std::nullopt); },
         .status = [](const auto&, auto done) { done(std::nullopt); }}));
    member.node.OnChange([this] {
      if (trusted.HasLostOne(*member.node.view()) && owner) owner->CheckNow();
    });
    owner->Start();
  }

  OwnerPhase phase() const {
    return owner ? owner->Status().phase : OwnerPhase::kStopped;
  }

  fakes::FakeMember& member;
  fakes::FakeTableView table_view;
  fakes::FakeWorkersView workers_view;
  WireOwnerProbe probe;
  TrustedSchedulers trusted;
  std::unique_ptr<CellOwner> owner;
};

void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "bench_failover: %s\n", what);
  std::exit(1);
}

class World {
 public:
  World(const Plan& plan, int run)
      : plan_(plan),
        group_(static_cast<std::uint64_t>(run) + 1),
        table_(group_.time()),
        workers_(group_.time()),
        feed_(group_.time()) {
    AddWorkers();
    CellConfiguration configuration;
    configuration.guarantees.push_back({base::OrganisationName("fianza"),
                                        {8, placement::Adjacency::kWorker},
                                        10});
    feed_.SetConfiguration(configuration);
    table_.SetCommitFault([this](const store::Transaction& it) {
      const bool take =
          it.writes.size() == 2 && it.writes.front().key == CellKey(kCell);
      if (take && !take_sent_) take_sent_ = Now();
      return fakes::TableFault::kNone;
    });
    for (int i = 0; i < plan.vms; ++i) {
      group_.Add("e" + std::to_string(i), "d0");
    }
    for (int i = 0; i < plan.vms; ++i) {
      auto& member =
          group_.Add("s" + std::to_string(i), "d0", wire::Role::kScheduler);
      processes_.push_back(
          std::make_unique<Process>(member, table_, workers_, feed_, plan_));
    }
  }

  /// The cell is full of borrowed work; the owner fails; an urgent job of the
  /// guarantee's owner comes at that moment.
  Steps Run(int run) {
    auto& old_owner = Begin(run);
    take_sent_.reset();
    const auto failed_at = Now();
    if (plan_.worker_silent) {
      workers_.SetReachable(workers_.endpoints().back(), false);
    }
    Fail(old_owner);
    Accept(1, 8, "fianza");
    return Follow(old_owner, failed_at);
  }

  /// Whether the cell changes hands when its owner is paused for `pause`.
  bool IsLostByPause(int run, base::Duration pause) {
    auto& owner = Begin(run);
    owner.member.process.Pause();
    time().RunFor(pause);
    owner.member.process.Resume();
    time().RunFor(kMinute);
    return HighestEpoch() > 1;
  }

  /// Changes of hands in ten minutes of a table that takes 1.5 s for a write.
  int LossesBySlowTable(int run) {
    Begin(run);
    table_.SetCommitFault([](const auto&) { return fakes::TableFault::kSlow; });
    time().RunFor(10 * kMinute);
    return static_cast<int>(HighestEpoch()) - 1;
  }

 private:
  Process& Begin(int run) {
    Require(time().RunUntil([&] { return Owner() != nullptr; }, kMinute),
            "no owner");
    for (int i = 0; i < kWorkers; ++i) Accept(8, 1, "bertolini");
    time().RunFor(kMinute + base::Duration(run * 397));
    auto* const old_owner = Owner();
    Require(old_owner != nullptr, "the owner was lost");
    return *old_owner;
  }

  Steps Follow(const Process& old_owner, base::TimePoint failed_at) {
    const base::JobName urgent("job-" + std::to_string(jobs_));
    const auto since = [&](base::TimePoint then) {
      return static_cast<double>((then - failed_at).count());
    };
    Process* next = nullptr;
    const auto is_taken = [&] {
      next = Taker(old_owner);
      return next != nullptr;
    };
    Steps out;
    Require(time().RunUntil(is_taken, kMinute), "not taken over");
    out.taken = since(Now());
    out.noticed = take_sent_ ? since(*take_sent_) : 0;
    const int reachable = kWorkers - (plan_.worker_silent ? 1 : 0);
    const auto installed = [&] {
      return next->owner->Status().workers_reached >= reachable;
    };
    Require(time().RunUntil(installed, kMinute), "workers not reached");
    out.epochs_installed = since(Now());
    const auto placing = [&] { return next->phase() == OwnerPhase::kOwning; };
    Require(time().RunUntil(placing, kMinute), "not recovered");
    out.placing = since(Now());
    const auto started = [&] { return workers_.RunningTasksOf(urgent) == 1; };
    Require(time().RunUntil(started, kMinute), "urgent work did not start");
    out.urgent_started = since(Now());
    return out;
  }

  void AddWorkers() {
    std::vector<CellWorker> list;
    for (int i = 0; i < kWorkers; ++i) {
      standins::WorkerModelOptions options;
      options.name = base::WorkerName("worker-" + std::to_string(i));
      options.rack = base::RackName("rack-" + std::to_string(i / 8));
      const http::Endpoint endpoint{"10.0.0.1",
                                    static_cast<std::uint16_t>(1'000 + i)};
      workers_.Add(endpoint, options);
      list.push_back({options.name, endpoint, options.rack, false});
    }
    feed_.SetWorkers(list);
  }

  void Accept(int tasks, int accelerators, const std::string& organisation) {
    AcceptedJob job;
    job.name = base::JobName("job-" + std::to_string(++jobs_));
    job.spec.organisation = base::OrganisationName(organisation);
    job.spec.work_class = organisation == "fianza" ? base::WorkClass::kUrgent
                                                   : base::WorkClass::kNormal;
    job.spec.tasks = tasks;
    job.spec.needs = {accelerators, 4, 4'096};
    job.spec.adjacency = placement::Adjacency::kDomain;
    job.spec.idempotent = true;
    job.spec.checkpoint = true;
    job.spec.payload = R"({"run_ms":36000000})";
    feed_.Accept(job);
  }

  void Fail(Process& process) {
    switch (plan_.fault) {
      case Fault::kVanish:
        group_.network().Vanish(process.member.identity.endpoint);
        [[fallthrough]];
      case Fault::kKill:
        process.owner.reset();
        return process.member.Kill();
      case Fault::kPause:
        return process.member.process.Pause();
      case Fault::kStop:
        return process.owner->Stop([&process] { process.member.node.Leave(); });
    }
  }

  lifecycle::Epoch HighestEpoch() const {
    lifecycle::Epoch out = 0;
    for (const auto& it : processes_) {
      if (it->owner) out = std::max(out, it->owner->Status().epoch);
    }
    return out;
  }

  Process* Owner() const {
    for (const auto& it : processes_) {
      if (it->phase() == OwnerPhase::kOwning) return it.get();
    }
    return nullptr;
  }

  /// Another process that holds the cell now.
  Process* Taker(const Process& old_owner) const {
    for (const auto& it : processes_) {
      if (it.get() == &old_owner) continue;
      const auto phase = it->phase();
      if (phase == OwnerPhase::kRecovering || phase == OwnerPhase::kOwning) {
        return it.get();
      }
    }
    return nullptr;
  }

  fakes::VirtualTime& time() { return group_.time(); }
  base::TimePoint Now() { return time().Now(); }

  Plan plan_;
  fakes::FakeGroup group_;
  fakes::FakeTable table_;
  fakes::FakeWorkers workers_;
  fakes::FakeJobFeed feed_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::optional<base::TimePoint> take_sent_;
  int jobs_ = 0;
};

void PrintStep(const Plan& plan, const char* step, std::vector<double> all) {
  std::sort(all.begin(), all.end());
  const auto p99 = all[all.size() * 99 / 100];
  std::printf("failover.%s{vms=%d}.%s median %.0f p99 %.0f worst %.0f ms\n",
              plan.name.c_str(), plan.vms, step, all[all.size() / 2], p99,
              all.back());
}

void Measure(const Plan& plan) {
  std::vector<Steps> all;
  all.reserve(kRuns);
  for (int run = 0; run < kRuns; ++run) {
    World world(plan, run);
    all.push_back(world.Run(run));
  }
  const auto print = [&](const char* step, double Steps::*member) {
    std::vector<double> values;
    values.reserve(all.size());
    for (const auto& it : all) values.push_back(it.*member);
    PrintStep(plan, step, std::move(values));
  };
  print("noticed", &Steps::noticed);
  print("taken", &Steps::taken);
  print("epochs_installed", &Steps::epochs_installed);
  print("placing", &Steps::placing);
  print("urgent_started", &Steps::urgent_started);
}

void MeasureFalseTakeovers(const Plan& plan) {
  for (const int seconds : {1, 2, 3, 4, 5, 6, 8, 10, 12}) {
    int lost = 0;
    for (int run = 0; run < kPauseRuns; ++run) {
      World world(plan, run);
      lost += world.IsLostByPause(run, base::Duration(1'000 * seconds)) ? 1 : 0;
    }
    std::printf("false_takeover.%s{pause=%ds} %d of %d\n", plan.name.c_str(),
                seconds, lost, kPauseRuns);
  }
  int losses = 0;
  for (int run = 0; run < kPauseRuns; ++run) {
    losses += World(plan, run).LossesBySlowTable(run);
  }
  std::printf("false_takeover.%s{slow table, 10 min} %d in %d runs\n",
              plan.name.c_str(), losses, kPauseRuns);
}

std::vector<Plan> Plans() {
  const base::Duration window{3'000};
  const base::Duration short_lease{4'000};
  return {
      {"kill_by_lease", Fault::kKill, false, 7, window},
      {"kill_by_short_lease", Fault::kKill, false, 7, window, short_lease},
      {"kill", Fault::kKill},
      {"kill_today", Fault::kKill, true, 3},
      {"kill_worker_silent_by_lease", Fault::kKill, false, 7, window,
       lifecycle::LeaseTiming().duration, true},
      {"kill_worker_silent_window_3s", Fault::kKill, true, 7, window,
       lifecycle::LeaseTiming().duration, true},
      {"kill_worker_silent", Fault::kKill, true, 7,
       OwnerOptions().recovery_window, lifecycle::LeaseTiming().duration, true},
      {"vanish_by_lease", Fault::kVanish, false, 7, window},
      {"vanish", Fault::kVanish},
      {"vanish_today", Fault::kVanish, true, 3},
      {"pause_by_lease", Fault::kPause, false, 7, window},
      {"pause", Fault::kPause},
      {"stop_by_lease", Fault::kStop, false, 7, window},
      {"stop", Fault::kStop},
  };
}

}  // namespace
}  // namespace lapishatch::scheduler

int main() {
  for (const auto& plan : lapishatch::scheduler::Plans()) {
    lapishatch::scheduler::Measure(plan);
  }
  using lapishatch::scheduler::Fault;
  using lapishatch::scheduler::MeasureFalseTakeovers;
  MeasureFalseTakeovers({"by_lease", Fault::kPause, false});
  lapishatch::scheduler::Plan short_lease{"by_short_lease", Fault::kPause,
                                          false};
  short_lease.lease = lapishatch::base::Duration(4'000);
  MeasureFalseTakeovers(short_lease);
  MeasureFalseTakeovers({"with_hints", Fault::kPause});
}
