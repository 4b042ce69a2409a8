#ifndef LAPISHATCH_TEST_PLACEMENT_CELL_BUILDER_H_
#define LAPISHATCH_TEST_PLACEMENT_CELL_BUILDER_H_

#include <string>
#include <vector>

#include "placement/placement.h"

namespace lapishatch::placement {

/// The result of a check that finds no problem; comparing with it prints the
/// problem.
inline const std::string kNoProblem;

/// Memory share of one accelerator.
inline constexpr std::int64_t kShareMb = 32'768;

/// Worker `number` of a cell with `per_rack` workers a rack.
inline WorkerSpec MakeWorker(int number, int per_rack = 8,
                             int accelerators = 8) {
  return {.name = base::WorkerName("w" + std::to_string(number)),
          .rack = base::RackName("r" + std::to_string(number / per_rack)),
          .accelerators = accelerators,
          .cores = accelerators * 8,
          .memory_mb = accelerators * kShareMb};
}

/// A gang that can be checkpointed and run again, and needs the share of cores
/// and memory of its accelerators.
inline Gang MakeGang(const std::string& job, const std::string& organisation,
                     int tasks, int accelerators,
                     Adjacency adjacency = Adjacency::kRack) {
  Gang gang;
  gang.job = base::JobName(job);
  gang.organisation = base::OrganisationName(organisation);
  gang.tasks = tasks;
  gang.needs = {.accelerators = accelerators,
                .cores = accelerators * 8,
                .memory_mb = accelerators * kShareMb};
  gang.adjacency = adjacency;
  gang.checkpointable = true;
  gang.idempotent = true;
  return gang;
}

inline Guarantee MakeGuarantee(const std::string& organisation,
                               int accelerators, Adjacency adjacency,
                               int count) {
  return {
      base::OrganisationName(organisation), {accelerators, adjacency}, count};
}

inline base::TimePoint At(int seconds) {
  return base::TimePoint(base::Duration(1'000'000 + seconds * 1000));
}

/// The jobs that `decisions` start, in order.
inline std::vector<std::string> StartedJobs(
    const std::vector<Decision>& decisions) {
  std::vector<std::string> jobs;
  for (const auto& it : decisions) {
    const auto* start = std::get_if<StartGang>(&it);
    if (start != nullptr) jobs.push_back(start->job.str());
  }
  return jobs;
}

/// The jobs that `decisions` evict, in order.
inline std::vector<std::string> EvictedJobs(
    const std::vector<Decision>& decisions) {
  std::vector<std::string> jobs;
  for (const auto& it : decisions) {
    const auto* evict = std::get_if<EvictGang>(&it);
    if (evict != nullptr) jobs.push_back(evict->job.str());
  }
  return jobs;
}

}  // namespace lapishatch::placement

#endif  // LAPISHATCH_TEST_PLACEMENT_CELL_BUILDER_H_
