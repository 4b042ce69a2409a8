#include "scheduler_main/home_domain.h"

#include <algorithm>

namespace lapishatch::scheduler_main {

base::DomainName HomeDomainOf(const config::Resource& job,
                              const std::vector<base::DomainName>& domains) {
  const auto& spec = std::get<config::JobSpec>(job.spec);
  if (!spec.failure_domain.empty()) return spec.failure_domain;
  if (!job.pinned_domain.empty()) return job.pinned_domain;
  const base::JobName name(job.ref.name);
  const auto best = std::max_element(domains.begin(), domains.end(),
                                     [&name](const auto& a, const auto& b) {
                                       return config::RendezvousRank(name, a) <
                                              config::RendezvousRank(name, b);
                                     });
  return best == domains.end() ? base::DomainName() : *best;
}

}  // namespace lapishatch::scheduler_main
