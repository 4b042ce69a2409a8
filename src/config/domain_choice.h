#ifndef LAPISHATCH_CONFIG_DOMAIN_CHOICE_H_
#define LAPISHATCH_CONFIG_DOMAIN_CHOICE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "config/resource.h"

namespace lapishatch::config {

/// Accelerators that accepted jobs ask for in one failure domain.
struct DomainDemand {
  std::int64_t total = 0;
  std::map<base::OrganisationName, std::int64_t> by_organisation;
};

/// What the accepted jobs that have not ended ask for, by failure domain. A job
/// whose domain is not recorded counts nowhere.
class DemandBook {
 public:
  void Add(const Resource& job) { Count(job, 1); }
  void Remove(const Resource& job) { Count(job, -1); }

  /// Of all organisations.
  std::int64_t Total(const base::DomainName& domain) const;
  std::int64_t Of(const base::DomainName& domain,
                  const base::OrganisationName& organisation) const;

 private:
  void Count(const Resource& job, int sign);

  std::map<base::DomainName, DomainDemand> domains_;
};

/// A failure domain that could hold a job, and what is asked of it already.
struct DomainOffer {
  base::DomainName domain;
  /// Of all its workers.
  std::int64_t accelerators = 0;
  /// Guaranteed there to the job's organisation.
  std::int64_t guaranteed = 0;
  /// That guarantee alone could hold the gang.
  bool in_guarantee = false;
  /// Accelerators asked for by accepted jobs that have not ended: of the job's
  /// organisation, and of all.
  std::int64_t own_demand = 0;
  std::int64_t demand = 0;
};

/// The failure domain of a job that names none. Pure, so that the choice is a
/// function of what the accepting transaction validates. First the domains
/// whose guarantee holds the gang beside what its organisation has there, the
/// least used of them; then the one with the least demand per accelerator. Ties
/// go by rendezvous hashing of the job's name. Empty when nothing is offered.
base::DomainName ChooseDomain(const base::JobName& job,
                              std::int64_t accelerators,
                              const std::vector<DomainOffer>& offers);

/// The rank of a domain for a job by rendezvous hashing; the highest wins.
std::uint64_t RendezvousRank(const base::JobName& job,
                             const base::DomainName& domain);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_DOMAIN_CHOICE_H_
