#include "matrix/step.h"

#include <cstddef>

namespace lapishatch::matrix {

Protocol ProtocolOf(Step step) {
  if (step <= Step::kReleaseClaim) return Protocol::kRequest;
  if (step <= Step::kStatus) return Protocol::kGang;
  return Protocol::kConfiguration;
}

std::vector<Step> StepsOf(Protocol protocol) {
  std::vector<Step> out;
  for (std::size_t i = 0; i < base::kEnumSize<Step>; ++i) {
    const auto step = static_cast<Step>(i);
    if (ProtocolOf(step) != protocol) continue;
    out.push_back(step);
  }
  return out;
}

}  // namespace lapishatch::matrix
