#include "config/resource.h"

namespace lapishatch::config {

std::string TextOf(const ResourceRef& ref) {
  return std::string(base::NameOf(ref.kind)) + "/" + ref.name;
}

JobPhase PhaseOf(const Resource& job) {
  return job.status ? job.status->phase : JobPhase::kQueued;
}

base::DomainName DomainOf(const Resource& job) {
  const auto& named = std::get<JobSpec>(job.spec).failure_domain;
  if (!named.empty()) return named;
  if (!job.pinned_domain.empty()) return job.pinned_domain;
  return job.status ? job.status->domain : base::DomainName();
}

}  // namespace lapishatch::config
