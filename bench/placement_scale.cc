// Time and memory of the planner's decisions in cells of 50, 650 and 8,500
// workers.

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace lapishatch::bench {
namespace {

using placement::Adjacency;

constexpr int kPerRack = 8;
constexpr int kAccelerators = 8;
constexpr std::int64_t kTaskMb = 16'384;
constexpr int kSamples = 300;
constexpr int kRecoveries = 5;

/// Processor time of this thread, which other programs on the machine do not
/// lengthen as they do the time on the clock.
double ThreadMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return 1e6 * static_cast<double>(now.tv_sec) +
         1e-3 * static_cast<double>(now.tv_nsec);
}

double Microseconds(const std::function<void()>& work) {
  const double from = ThreadMicroseconds();
  work();
  return ThreadMicroseconds() - from;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto at = q * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(at))];
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

placement::WorkerSpec MakeWorker(int number) {
  return {.name = base::WorkerName("worker-" + std::to_string(number)),
          .rack = base::RackName("rack-" + std::to_string(number / kPerRack)),
          .accelerators = kAccelerators,
          .cores = 64,
          .memory_mb = 262'144};
}

placement::Gang MakeGang(int number, int organisation, int tasks,
                         int accelerators) {
  placement::Gang gang;
  gang.job = base::JobName("job-" + std::to_string(number));
  gang.organisation =
      base::OrganisationName("organisation-" + std::to_string(organisation));
  gang.tasks = tasks;
  gang.needs = {accelerators, accelerators * 4, accelerators * kTaskMb};
  gang.adjacency = tasks == 1 ? Adjacency::kWorker : Adjacency::kRack;
  gang.checkpointable = true;
  gang.idempotent = true;
  return gang;
}

/// A cell nearly full of borrowed and guaranteed work, with a backlog.
class Scene {
 public:
  explicit Scene(int workers)
      : workers_(workers), organisations_(std::max(4, workers / 12)) {}

  void Build() {
    heap_before_ = HeapBytes();
    planner_ = placement::Planner({});
    for (int i = 0; i < workers_; ++i) planner_.PutWorker(MakeWorker(i));
    guarantees_ = MakeGuarantees();
    planner_.ForceGuarantees(guarantees_);
    while (planner_.free_accelerators() > workers_ * kAccelerators / 25) {
      Arrive(Any());
    }
    // A backlog that does not fit.
    for (int i = 0; i < workers_ / 4; ++i) {
      planner_.Submit(MakeGang(next_++, Organisation(), 8, 8), Now());
    }
    Decide();
    heap_used_ = HeapBytes() - heap_before_;
  }

  void Measure() {
    std::vector<double> submits;
    std::vector<double> ends;
    std::vector<double> reclaims;
    for (int i = 0; i < kSamples; ++i) {
      now_s_ += 1;
      const auto gang = Any();
      planner_.Submit(gang, Now());
      submits.push_back(Microseconds([&] { Decide(); }));
      if (running_.empty()) continue;
      End();
      ends.push_back(Microseconds([&] { Decide(); }));
      if (i % 5 == 0) reclaims.push_back(Reclaim());
    }
    Print("submit_decision", submits);
    Print("end_decision", ends);
    Print("reclaim_decision", reclaims);
    std::printf("placement_scale.%d.heap %.1f KB\n", workers_,
                static_cast<double>(heap_used_) / 1024);
    std::printf("placement_scale.%d.heap_per_worker %.0f B\n", workers_,
                static_cast<double>(heap_used_) / workers_);
    std::printf("placement_scale.%d.gangs %zu count\n", workers_,
                running_.size());
  }

  /// A new owner: everything that runs is adopted by an empty planner.
  void Recover() {
    const auto snapshot = planner_.Snapshot();
    std::vector<double> times;
    for (int i = 0; i < kRecoveries; ++i) {
      placement::Planner planner({});
      times.push_back(Microseconds([&] {
        for (int n = 0; n < workers_; ++n) planner.PutWorker(MakeWorker(n));
        planner.ForceGuarantees(guarantees_);
        for (const auto& it : snapshot.gangs) {
          if (it.awaiting_capacity) continue;
          planner.Adopt(it.gang, it.placement, Now());
        }
        planner.Decide(Now());
      }));
    }
    Print("recovery", times);
  }

 private:
  base::TimePoint Now() const {
    return base::TimePoint(base::Duration(1'000'000 + now_s_ * 1000));
  }

  int Organisation() {
    return std::uniform_int_distribution<int>(0, organisations_ - 1)(random_);
  }

  placement::Gang Any() {
    std::discrete_distribution<int> pick({50, 20, 12, 10, 6, 2});
    const int kind = pick(random_);
    const int tasks = kind < 4 ? 1 : 2 << (kind - 4);
    return MakeGang(next_++, Organisation(), tasks,
                    kind < 4 ? 1 << kind : kAccelerators);
  }

  std::vector<placement::Guarantee> MakeGuarantees() const {
    std::vector<placement::Guarantee> guarantees;
    for (int i = 0; i < organisations_; ++i) {
      const base::OrganisationName name("organisation-" + std::to_string(i));
      guarantees.push_back({name, {16, Adjacency::kRack}, 1});
      guarantees.push_back({name, {8, Adjacency::kWorker}, 2});
      guarantees.push_back({name, {4, Adjacency::kWorker}, 2});
    }
    return guarantees;
  }

  void Arrive(const placement::Gang& gang) {
    planner_.Submit(gang, Now());
    Decide();
  }

  void Decide() {
    for (const auto& it : planner_.Decide(Now())) {
      if (const auto* start = std::get_if<placement::StartGang>(&it)) {
        running_.push_back(start->job);
      } else if (const auto* evict = std::get_if<placement::EvictGang>(&it)) {
        evicted_.push_back(evict->job);
      }
    }
  }

  /// Ends a gang chosen at random, and all that are evicted.
  void End() {
    const auto at = std::uniform_int_distribution<std::size_t>(
        0, running_.size() - 1)(random_);
    planner_.ReportEnded(running_[at], Now());
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
    EndEvicted();
  }

  void EndEvicted() {
    for (const auto& it : evicted_) {
      planner_.ReportEnded(it, Now());
      std::erase(running_, it);
    }
    evicted_.clear();
  }

  /// An urgent gang of 16 whose organisation's block is full of borrowed work.
  double Reclaim() {
    auto gang = MakeGang(next_++, Organisation(), 2, kAccelerators);
    gang.work_class = base::WorkClass::kUrgent;
    planner_.Submit(gang, Now());
    const double time = Microseconds([&] { Decide(); });
    EndEvicted();
    Decide();
    return time;
  }

  void Print(const char* name, const std::vector<double>& times) const {
    for (const auto& [suffix, q] :
         {std::pair("p50", 0.5), std::pair("p99", 0.99),
          std::pair("worst", 1.0)}) {
      std::printf("placement_scale.%d.%s.%s %.1f us\n", workers_, name, suffix,
                  Quantile(times, q));
    }
  }

  int workers_;
  int organisations_;
  placement::Planner planner_{placement::PlannerOptions()};
  std::vector<placement::Guarantee> guarantees_;
  std::mt19937_64 random_{42};
  std::int64_t now_s_ = 0;
  int next_ = 0;
  std::vector<base::JobName> running_;
  std::vector<base::JobName> evicted_;
  std::size_t heap_before_ = 0;
  std::size_t heap_used_ = 0;
};

}  // namespace
}  // namespace lapishatch::bench

int main() {
  for (const int workers : {50, 650, 8500}) {
    lapishatch::bench::Scene scene(workers);
    scene.Build();
    scene.Measure();
    scene.Recover();
  }
  return 0;
}
