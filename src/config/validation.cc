#include "config/validation.h"

#include <set>
#include <utility>

namespace lapishatch::config {
namespace {

/// Job names shown in a refusal.
constexpr int kMostNamed = 3;

template <typename Verdict>
std::optional<Objection> FromVerdict(const Verdict& verdict, std::string path) {
  if (const auto* it = std::get_if<DoesNotFit>(&verdict)) {
    return Objection{RefusalReason::kInvalid, {std::move(path), it->reason}};
  }
  if (const auto* it = std::get_if<HardwareNotKnown>(&verdict)) {
    return Objection{RefusalReason::kNotKnownYet,
                     {std::move(path), it->reason}};
  }
  return std::nullopt;
}

int Accelerators(const OrganisationSpec& spec) {
  int n = 0;
  for (const auto& it : spec.guarantees) {
    n += it.shape.accelerators * it.count;
  }
  return n;
}

/// Objects to a spec that stands in the draft.
class PutJudge {
 public:
  PutJudge(const Judge& judge, const Draft& draft)
      : judge_(judge), draft_(draft) {}

  std::optional<Objection> operator()(const OrganisationSpec& spec) const {
    const auto limit = spec.limits.running_accelerators;
    if (limit && *limit < Accelerators(spec)) {
      return Objection{RefusalReason::kInvalid,
                       {"spec.limits.running_accelerators",
                        std::to_string(*limit) + " is not allowed: at least " +
                            std::to_string(Accelerators(spec)) +
                            ", the accelerators guaranteed to it"}};
    }
    return JudgeGuarantees(spec);
  }

  std::optional<Objection> operator()(const ServiceSpec&) const { return {}; }
  std::optional<Objection> operator()(const DrainSpec&) const { return {}; }

  std::optional<Objection> operator()(const JobSpec& spec) const {
    const auto owner =
        draft_.Find({ResourceKind::kOrganisation, spec.organisation.str()});
    if (owner == nullptr) {
      return Objection{RefusalReason::kInvalid,
                       {"spec.organisation", "\"" + spec.organisation.str() +
                                                 "\" is not allowed: one of " +
                                                 Organisations()}};
    }
    return JudgeSize(spec, *owner);
  }

 private:
  std::optional<Objection> JudgeGuarantees(const OrganisationSpec& spec) const {
    if (judge_.capacity == nullptr || spec.guarantees.empty()) return {};
    const auto all = GuaranteesOf(draft_.List(ResourceKind::kOrganisation));
    std::set<base::DomainName> judged;
    for (std::size_t i = 0; i < spec.guarantees.size(); ++i) {
      const auto& domain = spec.guarantees[i].failure_domain;
      if (!judged.insert(domain).second) continue;
      auto objection =
          FromVerdict(judge_.capacity->Judge(domain, all.at(domain)),
                      "spec.guarantees[" + std::to_string(i) + "]");
      if (objection) return objection;
    }
    return std::nullopt;
  }

  static std::optional<Objection> JudgeSize(const JobSpec& spec,
                                            const Resource& owner) {
    const auto& organisation = std::get<OrganisationSpec>(owner.spec);
    const auto limit = organisation.limits.running_accelerators;
    const auto wanted = spec.tasks * spec.needs.accelerators;
    if (!limit || wanted <= *limit) return std::nullopt;
    return Objection{
        RefusalReason::kInvalid,
        {"spec.gang",
         std::to_string(wanted) + " accelerators are not allowed: at most " +
             std::to_string(*limit) + ", the limit of " + owner.ref.name}};
  }

  std::string Organisations() const {
    std::string out;
    for (const auto& it : draft_.List(ResourceKind::kOrganisation)) {
      if (!out.empty()) out += ", ";
      out += it->ref.name;
    }
    return out.empty() ? "the organisations, and there is none yet" : out;
  }

  const Judge& judge_;
  const Draft& draft_;
};

std::optional<Objection> ObjectionToOrphans(const Resource& organisation,
                                            const Draft& draft) {
  int n = 0;
  std::string names;
  for (const auto& it : draft.List(ResourceKind::kJob)) {
    const auto& spec = std::get<JobSpec>(it->spec);
    if (spec.organisation.str() != organisation.ref.name) continue;
    if (IsFinal(PhaseOf(*it))) continue;
    if (++n > kMostNamed) continue;
    if (!names.empty()) names += ", ";
    names += it->ref.name;
  }
  if (n == 0) return std::nullopt;
  return Objection{
      RefusalReason::kInUse,
      {"name", organisation.ref.name + " has " + std::to_string(n) +
                   " jobs that have not ended (" + names +
                   "): cancel them first"}};
}

std::int64_t GuaranteedTo(const base::OrganisationName& organisation,
                          const base::DomainName& domain,
                          const DomainGuarantees& guarantees) {
  const auto here = guarantees.find(domain);
  if (here == guarantees.end()) return 0;
  std::int64_t n = 0;
  for (const auto& it : here->second) {
    if (it.organisation != organisation) continue;
    n += std::int64_t{it.shape.accelerators} * it.count;
  }
  return n;
}

}  // namespace

PinVerdict JudgePin(const Resource& job, const Judge& judge,
                    const Draft& draft) {
  if (judge.capacity == nullptr) return base::DomainName();
  const auto& spec = std::get<JobSpec>(job.spec);
  const auto guarantees = GuaranteesOf(draft.List(ResourceKind::kOrganisation));
  const auto verdict = judge.capacity->JudgeJob(spec, guarantees);
  if (auto objection = FromVerdict(verdict, "spec.gang")) return *objection;
  if (!spec.failure_domain.empty()) return base::DomainName();
  std::vector<DomainOffer> offers;
  for (const auto& it : std::get<JobFits>(verdict).domains) {
    offers.push_back({it.domain, it.accelerators,
                      GuaranteedTo(spec.organisation, it.domain, guarantees),
                      it.in_guarantee,
                      draft.demand().Of(it.domain, spec.organisation),
                      draft.demand().Total(it.domain)});
  }
  const auto asked = std::int64_t{spec.tasks} * spec.needs.accelerators;
  return ChooseDomain(base::JobName(job.ref.name), asked, offers);
}

DomainGuarantees GuaranteesOf(const std::vector<ResourcePtr>& organisations) {
  DomainGuarantees out;
  for (const auto& resource : organisations) {
    const auto& spec = std::get<OrganisationSpec>(resource->spec);
    for (const auto& it : spec.guarantees) {
      out[it.failure_domain].push_back(
          {base::OrganisationName(resource->ref.name), it.shape, it.count});
    }
  }
  return out;
}

std::optional<Objection> ObjectionToPut(const Resource& resource,
                                        const Judge& judge,
                                        const Draft& draft) {
  return std::visit(PutJudge(judge, draft), resource.spec);
}

std::optional<Objection> ObjectionToRemoval(const Resource& resource,
                                            const Draft& draft) {
  if (resource.ref.kind != ResourceKind::kOrganisation) return std::nullopt;
  return ObjectionToOrphans(resource, draft);
}

}  // namespace lapishatch::config
