#include "scheduler_main/home_domain.h"

#include <xxhash.h>

#include <algorithm>

namespace lapishatch::scheduler_main {
namespace {

XXH64_hash_t RankOf(const base::JobName& job, const base::DomainName& domain) {
  const auto seed = XXH3_64bits(domain.str().data(), domain.str().size());
  return XXH3_64bits_withSeed(job.str().data(), job.str().size(), seed);
}

}  // namespace

base::DomainName HomeDomainOf(const base::JobName& job,
                              const config::JobSpec& spec,
                              const std::vector<base::DomainName>& domains) {
  if (!spec.failure_domain.empty()) return spec.failure_domain;
  const auto best = std::max_element(domains.begin(), domains.end(),
                                     [&job](const auto& a, const auto& b) {
                                       return RankOf(job, a) < RankOf(job, b);
                                     });
  return best == domains.end() ? base::DomainName() : *best;
}

}  // namespace lapishatch::scheduler_main
