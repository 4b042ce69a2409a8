#include "dispatch/internal/guarantees.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/internal/unit_work.h"

namespace lapishatch::dispatch::internal {
namespace {

/// Unfinished urgent jobs, in order of acceptance. Jobs accepted at the same
/// time stay in order of name.
std::vector<const JobEntry*> UrgentJobs(const JobTracker& tracker) {
  std::vector<const JobEntry*> out;
  for (const auto* it : tracker.unfinished()) {
    if (it->job->priority == kUrgentPriority) out.push_back(it);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const JobEntry* a, const JobEntry* b) {
                     return a->accepted_at < b->accepted_at;
                   });
  return out;
}

}  // namespace

void Guarantees::Set(
    std::map<base::OrganisationName, std::int64_t> accelerators) {
  accelerators_ = std::move(accelerators);
}

void Guarantees::Update(const JobTracker& tracker,
                        const jobs::Resources& capacity) {
  urgent_needs_.clear();
  classes_.clear();
  demand_ = {};
  demand_.capacity = capacity;
  struct GuaranteedJob {
    const JobEntry* job = nullptr;
    jobs::Resources needs;
  };
  std::vector<GuaranteedJob> guaranteed;
  std::map<base::OrganisationName, std::int64_t> used;
  for (const auto* it : UrgentJobs(tracker)) {
    const auto& organisation = it->job->organisation;
    const auto needs = RemainingNeeds(*it);
    urgent_needs_[organisation] += needs.accelerators;
    const auto guarantee = accelerators_.find(organisation);
    if (guarantee == accelerators_.end()) continue;
    auto& sum = used[organisation];
    if (sum + needs.accelerators > guarantee->second) continue;
    sum += needs.accelerators;
    demand_.total += needs;
    guaranteed.push_back({it, needs});
  }
  demand_.is_overcommitted = !capacity.Covers(demand_.total);
  for (const auto& it : guaranteed) {
    const auto use = UseOf(it.job->job->organisation);
    const bool is_within = use.needed <= use.guaranteed;
    if (is_within) demand_.within += it.needs;
    classes_[it.job] = is_within || !demand_.is_overcommitted
                           ? GuaranteeClass::kGuaranteed
                           : GuaranteeClass::kOvercommitted;
  }
}

GuaranteeClass Guarantees::ClassOf(const JobEntry& job) const {
  const auto it = classes_.find(&job);
  return it == classes_.end() ? GuaranteeClass::kNone : it->second;
}

GuaranteeUse Guarantees::UseOf(
    const base::OrganisationName& organisation) const {
  GuaranteeUse out;
  const auto needs = urgent_needs_.find(organisation);
  if (needs != urgent_needs_.end()) out.needed = needs->second;
  const auto guarantee = accelerators_.find(organisation);
  if (guarantee != accelerators_.end()) out.guaranteed = guarantee->second;
  return out;
}

}  // namespace lapishatch::dispatch::internal
