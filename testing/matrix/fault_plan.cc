#include "matrix/fault_plan.h"

#include <absl/strings/str_split.h>

#include <string_view>
#include <utility>

namespace lapishatch::matrix {

std::string TextOf(const FaultPlan& plan) {
  std::string out;
  for (const auto& it : plan.faults()) {
    if (!out.empty()) out += '+';
    out += base::NameOf(it.step);
    out += ':';
    out += base::NameOf(it.fault);
  }
  return out.empty() ? "none" : out;
}

std::optional<FaultPlan> ParsePlan(const std::string& text) {
  if (text == "none") return FaultPlan();
  std::vector<PlannedFault> faults;
  for (const auto part : absl::StrSplit(text, '+')) {
    const std::pair<std::string, std::string> names = absl::StrSplit(part, ':');
    const auto step = base::ParseEnum<Step>(names.first);
    const auto fault = base::ParseEnum<Fault>(names.second);
    if (!step || !fault) return std::nullopt;
    faults.push_back({*step, *fault});
  }
  return FaultPlan(std::move(faults));
}

}  // namespace lapishatch::matrix
