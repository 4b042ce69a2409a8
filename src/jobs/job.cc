#include "jobs/job.h"

namespace lapishatch::jobs {

std::size_t MemoryOf(const Job& job) {
  auto out = sizeof(job) + job.spec.size();
  for (const auto& it : job.steps) {
    out += sizeof(it) + it.depends_on.size() * sizeof(int) +
           it.required_label.size() + it.preferred_rack.str().size();
  }
  return out;
}

}  // namespace lapishatch::jobs
