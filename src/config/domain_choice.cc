#include "config/domain_choice.h"

#include <xxhash.h>

#include <compare>
#include <optional>

namespace lapishatch::config {
namespace {

/// A load as a fraction, compared exactly.
struct Load {
  std::int64_t demand = 0;
  std::int64_t capacity = 1;

  friend std::strong_ordering operator<=>(const Load& a, const Load& b) {
    return a.demand * b.capacity <=> b.demand * a.capacity;
  }
};

/// The least loaded of those offers that `load` gives a load.
template <typename LoadOf>
const DomainOffer* LeastLoaded(const base::JobName& job,
                               const std::vector<DomainOffer>& offers,
                               LoadOf load_of) {
  const DomainOffer* best = nullptr;
  Load least;
  for (const auto& it : offers) {
    const std::optional<Load> load = load_of(it);
    if (!load) continue;
    const auto order =
        best == nullptr ? std::strong_ordering::less : *load <=> least;
    if (std::is_gt(order)) continue;
    const bool loses_tie =
        std::is_eq(order) &&
        RendezvousRank(job, it.domain) < RendezvousRank(job, best->domain);
    if (loses_tie) continue;
    best = &it;
    least = *load;
  }
  return best;
}

}  // namespace

std::uint64_t RendezvousRank(const base::JobName& job,
                             const base::DomainName& domain) {
  const auto seed = XXH3_64bits(domain.str().data(), domain.str().size());
  return XXH3_64bits_withSeed(job.str().data(), job.str().size(), seed);
}

base::DomainName ChooseDomain(const base::JobName& job,
                              std::int64_t accelerators,
                              const std::vector<DomainOffer>& offers) {
  const auto in_guarantee = [accelerators](const DomainOffer& it) {
    const bool has_room =
        it.in_guarantee && it.own_demand + accelerators <= it.guaranteed;
    return has_room ? std::optional(Load{it.own_demand, it.guaranteed})
                    : std::nullopt;
  };
  const auto anywhere = [](const DomainOffer& it) {
    return std::optional(Load{it.demand, it.accelerators});
  };
  const auto* best = LeastLoaded(job, offers, in_guarantee);
  if (best == nullptr) best = LeastLoaded(job, offers, anywhere);
  return best == nullptr ? base::DomainName() : best->domain;
}

std::int64_t DemandBook::Total(const base::DomainName& domain) const {
  const auto it = domains_.find(domain);
  return it == domains_.end() ? 0 : it->second.total;
}

std::int64_t DemandBook::Of(const base::DomainName& domain,
                            const base::OrganisationName& organisation) const {
  const auto it = domains_.find(domain);
  if (it == domains_.end()) return 0;
  const auto own = it->second.by_organisation.find(organisation);
  return own == it->second.by_organisation.end() ? 0 : own->second;
}

void DemandBook::Count(const Resource& job, int sign) {
  if (IsFinal(PhaseOf(job))) return;
  const auto domain = DomainOf(job);
  if (domain.empty()) return;
  const auto& spec = std::get<JobSpec>(job.spec);
  const std::int64_t asked =
      std::int64_t{sign} * spec.tasks * spec.needs.accelerators;
  auto& demand = domains_[domain];
  demand.total += asked;
  demand.by_organisation[spec.organisation] += asked;
}

}  // namespace lapishatch::config
