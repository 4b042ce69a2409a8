#include "config/resource.h"

namespace lapishatch::config {

std::string TextOf(const ResourceRef& ref) {
  return std::string(base::NameOf(ref.kind)) + "/" + ref.name;
}

JobPhase PhaseOf(const Resource& job) {
  return job.status ? job.status->phase : JobPhase::kQueued;
}

}  // namespace lapishatch::config
