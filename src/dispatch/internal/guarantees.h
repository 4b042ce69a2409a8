#ifndef LAPISHATCH_DISPATCH_INTERNAL_GUARANTEES_H_
#define LAPISHATCH_DISPATCH_INTERNAL_GUARANTEES_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/base.h"
#include "dispatch/internal/job_tracker.h"
#include "dispatch/internal/unit.h"
#include "jobs/job.h"

namespace lapishatch::dispatch::internal {

/// Precedence of a job by the guarantee of its organisation, highest first.
enum class GuaranteeClass : std::uint8_t {
  /// The job is urgent, and the guarantees protect it.
  kGuaranteed,
  /// The job is within the guarantee of its organisation, whose urgent jobs
  /// together exceed it, while the guaranteed jobs of all organisations need
  /// more than the workers have.
  kOvercommitted,
  kNone,
};

/// Accelerators that the urgent jobs of an organisation use or wait for, and
/// those that it is guaranteed.
struct GuaranteeUse {
  std::int64_t needed = 0;
  std::int64_t guaranteed = 0;
};

/// What the guaranteed jobs of all organisations use or wait for.
struct GuaranteeDemand {
  jobs::Resources total;
  /// The part of organisations whose urgent jobs are all guaranteed.
  jobs::Resources within;
  jobs::Resources capacity;
  /// Whether `total` exceeds `capacity` in a dimension, so that not every
  /// guarantee can be met. The reverse does not show that all can: gangs and
  /// racks may need more.
  bool is_overcommitted = false;
};

/// Decides which urgent jobs the guarantees protect, for the load in which
/// organisations together ask for more than there is. While the workers can
/// serve all guarantees, every job within one is protected alike. After a loss
/// of workers the guarantees may add up to more than is left. Organisations
/// that keep within theirs then precede those that ask for more than they are
/// guaranteed, since the latter cause the shortage.
class Guarantees {
 public:
  /// Sets the number of accelerators that each organisation is guaranteed.
  void Set(std::map<base::OrganisationName, std::int64_t> accelerators);

  /// Classifies the unfinished jobs for workers that have `capacity` in total.
  /// In order of acceptance, each urgent job is guaranteed that fits beside
  /// those before it; a job beyond the guarantee does not affect the others.
  /// Takes O(n log n) time in the number of unfinished jobs.
  void Update(const JobTracker& tracker, const jobs::Resources& capacity);

  GuaranteeClass ClassOf(const JobEntry& job) const;

  /// Whether the job is within the guarantee of its organisation.
  bool IsGuaranteed(const JobEntry& job) const {
    return ClassOf(job) != GuaranteeClass::kNone;
  }

  GuaranteeUse UseOf(const base::OrganisationName& organisation) const;

  const GuaranteeDemand& demand() const { return demand_; }

 private:
  std::map<base::OrganisationName, std::int64_t> accelerators_;
  /// State of the last call of Update.
  std::map<base::OrganisationName, std::int64_t> urgent_needs_;
  std::unordered_map<const JobEntry*, GuaranteeClass> classes_;
  GuaranteeDemand demand_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_GUARANTEES_H_
