#include "scheduler/group_word.h"

#include <algorithm>
#include <utility>

namespace lapishatch::scheduler {
namespace {

lifecycle::HolderSuspicion DoubtOf(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return lifecycle::HolderSuspicion::kNone;
    case membership::MemberState::kSuspect:
      return lifecycle::HolderSuspicion::kSuspect;
    case membership::MemberState::kDead:
    case membership::MemberState::kLeft:
      return lifecycle::HolderSuspicion::kDead;
  }
  return lifecycle::HolderSuspicion::kNone;
}

}  // namespace

lifecycle::HolderSuspicion DoubtOf(const membership::View& view,
                                   const base::Incarnation& holder,
                                   const http::Endpoint& at) {
  auto doubt = lifecycle::HolderSuspicion::kNone;
  for (const auto& it : view.members) {
    const auto& identity = it.identity;
    if (identity.incarnation == holder) return DoubtOf(it.state);
    const bool same_address = identity.endpoint.address == at.address &&
                              identity.endpoint.port == at.port;
    if (!same_address || !membership::IsPresent(it.state)) continue;
    doubt = lifecycle::HolderSuspicion::kSuspect;
  }
  return doubt;
}

bool TrustedSchedulers::HasLostOne(const membership::View& view) {
  std::set<base::Incarnation> trusted;
  for (const auto& it : view.members) {
    if (it.identity.domain != view.self.domain) continue;
    if (it.identity.role != wire::Role::kScheduler) continue;
    if (it.state != membership::MemberState::kAlive) continue;
    trusted.insert(it.identity.incarnation);
  }
  const bool lost = !std::includes(trusted.begin(), trusted.end(),
                                   trusted_.begin(), trusted_.end());
  trusted_ = std::move(trusted);
  return lost;
}

}  // namespace lapishatch::scheduler
