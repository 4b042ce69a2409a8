#include "entry/directories.h"

#include <algorithm>

namespace lapishatch::entry {

std::optional<routing::OrganisationRules> MirrorDirectory::FindOrganisation(
    const base::OrganisationName& name) const {
  const auto resource =
      mirror_.Find({config::ResourceKind::kOrganisation, name.str()});
  if (resource == nullptr) return std::nullopt;
  const auto& spec = std::get<config::OrganisationSpec>(resource->spec);
  return routing::OrganisationRules{spec.weight,
                                    spec.limits.requests_in_progress};
}

std::optional<routing::ServiceRules> MirrorDirectory::FindService(
    const base::ServiceName& name) const {
  const auto resource =
      mirror_.Find({config::ResourceKind::kService, name.str()});
  if (resource == nullptr) return std::nullopt;
  return routing::ServiceRules{
      std::get<config::ServiceSpec>(resource->spec).max_deadline};
}

std::vector<routing::RunnerEntry> PlatformRunners::Runners(
    const base::ServiceName& service) const {
  std::vector<routing::RunnerEntry> out;
  for (const auto& vm : platform_.Vms(store::VmKind::kRunner)) {
    if (vm.service != service) continue;
    const bool drained =
        mirror_.Find({config::ResourceKind::kDrain, vm.name}) != nullptr;
    out.push_back({base::RunnerName(vm.name), vm.endpoint, vm.domain,
                   drained || vm.state == store::VmState::kLeaving});
  }
  return out;
}

/// Only a process that said goodbye has certainly ended: one that does not
/// answer may be paused or cut off.
bool MemberEntries::IsGone(const base::Incarnation& entry) const {
  const auto view = node_.view();
  return std::any_of(view->members.begin(), view->members.end(),
                     [&entry](const auto& member) {
                       return member.identity.incarnation == entry &&
                              member.state == wire::MemberState::kLeft;
                     });
}

int MemberEntries::LiveEntries() const {
  const auto view = node_.view();
  const auto n = std::count_if(
      view->members.begin(), view->members.end(), [](const auto& member) {
        const bool present = member.state == wire::MemberState::kAlive ||
                             member.state == wire::MemberState::kSuspect;
        return present && member.identity.role == wire::Role::kEntry;
      });
  return std::max(1, static_cast<int>(n));
}

}  // namespace lapishatch::entry
