#ifndef LAPISHATCH_CONFIG_CAPACITY_H_
#define LAPISHATCH_CONFIG_CAPACITY_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "config/resources.h"

namespace lapishatch::config {

struct Fits {};

/// With the reason, for the operator.
struct DoesNotFit {
  std::string reason;
};

/// The hardware is not known yet, so nothing can be promised.
struct HardwareNotKnown {
  std::string reason;
};

using CapacityVerdict = std::variant<Fits, DoesNotFit, HardwareNotKnown>;

/// A failure domain that could hold a job.
struct DomainFit {
  base::DomainName domain;
  /// Of all its workers.
  std::int64_t accelerators = 0;
  /// The guarantee of the job's organisation alone could hold it.
  bool in_guarantee = false;
};

/// Every domain that could hold a job; at least one.
struct JobFits {
  std::vector<DomainFit> domains;
};

using JobVerdict = std::variant<JobFits, DoesNotFit, HardwareNotKnown>;

/// Guarantees of one failure domain, of all organisations.
using DomainGuarantees =
    std::map<base::DomainName, std::vector<placement::Guarantee>>;

/// What the hardware can hold.
class Capacity {
 public:
  virtual ~Capacity() = default;

  /// Whether the guarantees of a failure domain can all be held at once.
  virtual CapacityVerdict Judge(
      const base::DomainName& domain,
      const std::vector<placement::Guarantee>& guarantees) const = 0;

  /// Where a job could ever run.
  virtual JobVerdict JudgeJob(const JobSpec& job,
                              const DomainGuarantees& guarantees) const = 0;
};

/// Capacity by the workers that are known, judged by the scheduler's own
/// planner on an empty cell. Safe from several threads.
class WorkerCapacity final : public Capacity {
 public:
  /// All workers of a failure domain from now on.
  void SetWorkers(const base::DomainName& domain,
                  std::vector<placement::WorkerSpec> workers);

  CapacityVerdict Judge(
      const base::DomainName& domain,
      const std::vector<placement::Guarantee>& guarantees) const override;

  JobVerdict JudgeJob(const JobSpec& job,
                      const DomainGuarantees& guarantees) const override;

 private:
  using Workers = std::vector<placement::WorkerSpec>;
  using Guarantees = std::vector<placement::Guarantee>;

  /// An empty cell with guarantees in force, kept from one job to the next.
  struct JudgingCell {
    Guarantees guarantees;
    placement::Planner planner;
  };

  std::map<base::DomainName, Workers> All() const;

  /// Under the lock.
  placement::Planner& CellOf(const base::DomainName& domain,
                             const Workers& workers,
                             const Guarantees& guarantees) const;

  mutable std::mutex mutex_;
  std::map<base::DomainName, Workers> workers_;
  mutable std::map<base::DomainName, JudgingCell> cells_;
};

/// The gang of a job as the planner takes it.
placement::Gang GangOf(const base::JobName& name, const JobSpec& spec);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_CAPACITY_H_
