#ifndef LAPISHATCH_BENCH_PLACEMENT_LOAD_H_
#define LAPISHATCH_BENCH_PLACEMENT_LOAD_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace lapishatch::bench {

/// Whose arrivals are played.
enum class Firm : std::uint8_t { kBertolini, kFianza };

inline constexpr int kWorkers = 50;
inline constexpr int kPerRack = 8;
inline constexpr int kAccelerators = 8;
inline constexpr std::int64_t kShareMb = 32'768;
inline constexpr int kOrganisations = 4;
inline constexpr double kArrivalSeconds = 36 * 3600.0;

/// One job as it really is, beside what is declared of it.
struct Job {
  placement::Gang gang;
  double submit_s = 0;
  double run_s = 0;
  /// What each task really uses.
  std::int64_t memory_mb = 0;
};

/// A worker, or a rack of them, that goes down and comes back.
struct Outage {
  double from_s = 0;
  double until_s = 0;
  std::vector<int> workers;
};

/// Everything that happens to a cell from outside, the same for every policy.
struct Load {
  std::vector<Job> jobs;
  std::vector<Outage> outages;
  /// Times at which operators cancel a share of what waits or runs.
  std::vector<double> cancel_waves_s;
};

inline std::string OrganisationName(int n) {
  static const std::array<const char*, kOrganisations> kNames = {
      "north", "south", "east", "west"};
  return kNames[static_cast<std::size_t>(n)];
}

/// 59% of the cell is guaranteed; the largest shape is 32 in one rack.
inline std::vector<placement::Guarantee> MakeGuarantees() {
  using placement::Adjacency;
  const auto make = [](int who, int size, Adjacency adjacency, int count) {
    return placement::Guarantee{base::OrganisationName(OrganisationName(who)),
                                {size, adjacency},
                                count};
  };
  return {make(0, 32, Adjacency::kRack, 2),  make(0, 8, Adjacency::kWorker, 4),
          make(0, 2, Adjacency::kWorker, 4), make(1, 32, Adjacency::kRack, 1),
          make(1, 16, Adjacency::kRack, 2),  make(1, 4, Adjacency::kWorker, 4),
          make(2, 16, Adjacency::kRack, 1),  make(2, 4, Adjacency::kWorker, 4),
          make(3, 8, Adjacency::kWorker, 2), make(3, 1, Adjacency::kWorker, 4)};
}

inline placement::Shape LargestGuarantee() {
  return {32, placement::Adjacency::kRack};
}

inline placement::WorkerSpec MakeWorker(int number) {
  return {.name = base::WorkerName("w" + std::to_string(number)),
          .rack = base::RackName("r" + std::to_string(number / kPerRack)),
          .accelerators = kAccelerators,
          .cores = 64,
          .memory_mb = kAccelerators * kShareMb};
}

/// Makes arrivals like a firm's: small urgent jobs and middling ones all day in
/// bursts, large gangs of long quiet work, most of it in the evening.
class LoadMaker {
 public:
  LoadMaker(Firm firm, std::uint64_t seed)
      : firm_(firm), random_(seed * 7919 + static_cast<std::uint64_t>(firm)) {}

  Load Make() {
    // Accelerator seconds that arrive a second, of the cell's 400: urgent 9%,
    // normal 22%, quiet 55%, together 86% before failures.
    AddStream(base::WorkClass::kUrgent, 36);
    AddStream(base::WorkClass::kNormal, 88);
    AddStream(base::WorkClass::kQuiet, 220);
    std::sort(load_.jobs.begin(), load_.jobs.end(),
              [](auto& a, auto& b) { return a.submit_s < b.submit_s; });
    for (std::size_t i = 0; i < load_.jobs.size(); ++i) {
      load_.jobs[i].gang.job = base::JobName("j" + std::to_string(i));
    }
    AddOutages();
    for (int i = 0; i < 3; ++i) {
      load_.cancel_waves_s.push_back(Uniform(0.1, 0.9) * kArrivalSeconds);
    }
    return std::move(load_);
  }

 private:
  double Uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }

  int Pick(std::vector<double> weights) {
    std::discrete_distribution<int> pick(weights.begin(), weights.end());
    return pick(random_);
  }

  double LogNormal(double median, double sigma) {
    return std::lognormal_distribution<double>(std::log(median),
                                               sigma)(random_);
  }

  /// Adds arrivals until they bring `rate` accelerators on average.
  void AddStream(base::WorkClass work_class, double rate) {
    double to_bring = rate * kArrivalSeconds;
    while (to_bring > 0) {
      const double at = NextTime(work_class);
      // Bursts: several jobs of one organisation at once.
      const int organisation = Pick({4, 3, 2, 1});
      const int count =
          Uniform(0, 1) < 0.1 ? 1 + Pick({0, 1, 1, 1, 1, 1}) * 3 : 1;
      const bool burst = work_class != base::WorkClass::kQuiet;
      for (int i = 0; i < (burst ? count : 1); ++i) {
        auto job = MakeJob(work_class, organisation);
        job.submit_s = std::min(at + Uniform(0, 20), kArrivalSeconds);
        to_bring -= job.run_s * job.gang.accelerators();
        load_.jobs.push_back(std::move(job));
      }
    }
  }

  double NextTime(base::WorkClass work_class) {
    while (true) {
      const double at = Uniform(0, kArrivalSeconds);
      const double hour = std::fmod(at / 3600, 24);
      const bool working = hour < 10;
      const double keep = work_class == base::WorkClass::kQuiet
                              ? (working ? 0.35 : 1.0)
                              : (working ? 1.0 : 0.4);
      if (Uniform(0, 1) < keep) return at;
    }
  }

  Job MakeJob(base::WorkClass work_class, int organisation) {
    Job job;
    auto& gang = job.gang;
    gang.organisation = base::OrganisationName(OrganisationName(organisation));
    gang.work_class = work_class;
    gang.idempotent = true;
    if (work_class == base::WorkClass::kUrgent) {
      const bool pricing = firm_ == Firm::kFianza;
      Shape(gang, 1, pricing ? 1 : 1 << Pick({2, 1}),
            placement::Adjacency::kWorker);
      job.run_s = LogNormal(pricing ? 150 : 240, 0.6);
    } else if (work_class == base::WorkClass::kNormal) {
      Shape(gang, 1, 1 << Pick({3, 3, 2, 1}), placement::Adjacency::kWorker);
      job.run_s = LogNormal(1200, 0.7);
      gang.checkpointable = Uniform(0, 1) < 0.5;
      // Claim checks run once, and can't be saved on the way.
      if (firm_ == Firm::kFianza && Uniform(0, 1) < 0.2) {
        gang.checkpointable = false;
        gang.idempotent = false;
        Shape(gang, 1, 1, placement::Adjacency::kWorker);
        job.run_s = LogNormal(300, 0.5);
      }
    } else {
      const int kind = Pick({4, 4, 2, 0.6});
      const int tasks = kind == 3 ? 16 : 2 << kind;
      Shape(gang, tasks, kAccelerators,
            tasks > kPerRack ? placement::Adjacency::kDomain
                             : placement::Adjacency::kRack);
      job.run_s = LogNormal(firm_ == Firm::kFianza ? 7200 : 5400, 0.6);
      gang.checkpointable = Uniform(0, 1) < 0.9;
    }
    job.run_s = std::clamp(job.run_s, 30.0, 8 * 3600.0);
    Declare(job);
    return job;
  }

  static void Shape(placement::Gang& gang, int tasks, int accelerators,
                    placement::Adjacency adjacency) {
    gang.tasks = tasks;
    gang.needs.accelerators = accelerators;
    gang.needs.cores = accelerators * 4;
    gang.adjacency = adjacency;
  }

  /// Run times are declared wrong by up to ten times both ways, and the memory
  /// of some jobs too.
  void Declare(Job& job) {
    auto& gang = job.gang;
    const double declared = job.run_s * std::pow(10, Uniform(-1, 1));
    gang.declared_runtime =
        base::Duration(static_cast<std::int64_t>(declared * 1000));
    const double share =
        static_cast<double>(kShareMb) * gang.needs.accelerators;
    double real = share * Uniform(0.1, 0.8);
    double factor = 1;
    const double luck = Uniform(0, 1);
    if (luck < 0.01) {
      // Uses several times its share, and declares a tenth.
      real = std::min(share * Uniform(1.5, 4), 0.9 * kShareMb * kAccelerators);
      factor = 0.1;
    } else if (luck < 0.08) {
      factor = Uniform(0.1, 1);
    } else if (luck < 0.13) {
      factor = Uniform(1, 10);
    }
    job.memory_mb = static_cast<std::int64_t>(real);
    gang.needs.memory_mb = static_cast<std::int64_t>(
        std::min(real * factor, 1.0 * kShareMb * kAccelerators));
  }

  void AddOutages() {
    for (int i = 0; i < 6; ++i) {
      const double from = Uniform(0, kArrivalSeconds);
      load_.outages.push_back({from,
                               from + Uniform(600, 3600),
                               {static_cast<int>(Uniform(0, 50))}});
    }
    Outage rack;
    rack.from_s = Uniform(0.2, 0.8) * kArrivalSeconds;
    rack.until_s = rack.from_s + 1200;
    const int first = static_cast<int>(Uniform(0, 6)) * kPerRack;
    for (int i = 0; i < kPerRack; ++i) rack.workers.push_back(first + i);
    load_.outages.push_back(std::move(rack));
  }

  Firm firm_;
  std::mt19937_64 random_;
  Load load_;
};

}  // namespace lapishatch::bench

#endif  // LAPISHATCH_BENCH_PLACEMENT_LOAD_H_
