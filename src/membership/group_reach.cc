// How a group keeps in touch with the other failure domains.

#include <algorithm>

#include "membership/group.h"

namespace lapishatch::membership {

bool Group::IsRelay() const {
  const auto relays =
      table_.Choose(self().domain, self().domain.str(), options_.relays);
  return std::any_of(relays.begin(), relays.end(), [&](const auto* it) {
    return it->identity.name == self().name;
  });
}

bool Group::IsReachable(const base::DomainName& domain) const {
  return !unreachable_.contains(domain);
}

/// Probes one relay of each other domain that was not heard for a while: a
/// probe from there serves as well as one from here. The targets take turns; a
/// domain that does not answer is tried through any member, over a fresh
/// connection.
void Group::ProbeOtherDomains() {
  const auto now = loop_.Now();
  const bool is_relay = IsRelay();
  if (is_relay && !was_relay_) relay_since_ = now;
  was_relay_ = is_relay;
  if (!is_relay) return;
  // A round may come a little early; the next would be too late.
  const auto pause = options_.domain_period - options_.period / 2;
  for (const auto& domain : table_.Domains()) {
    if (domain == self().domain) continue;
    auto& probed = last_domain_probe_[domain];
    if (now - std::max(probed, last_heard_[domain]) < pause) continue;
    probed = now;
    ++domain_probes_;
    auto targets = table_.Choose(domain, domain.str(), options_.relays);
    const auto* target = targets[domain_probes_ % targets.size()];
    if (now - last_heard_[domain] > options_.domain_timeout / 2) {
      target = Sample(table_.PresentIn(domain), 1)[0];
      transport_.Reset(PeerOf(target->identity));
    }
    transport_.Send(PeerOf(target->identity),
                    wire::Ping{++last_sequence_, MakeDigest()});
  }
}

/// Whether this relay has heard nothing of `domain` for too long.
bool Group::IsDomainSilent(const base::DomainName& domain) const {
  if (!was_relay_ || domain == self().domain) return false;
  const auto it = last_heard_.find(domain);
  const auto heard = it == last_heard_.end()
                         ? relay_since_
                         : std::max(it->second, relay_since_);
  return loop_.Now() - heard > options_.domain_timeout;
}

/// A domain is unreachable when every relay of this one finds it so.
void Group::UpdateReach() {
  std::set<base::DomainName> unreachable;
  const auto relays =
      table_.Choose(self().domain, self().domain.str(), options_.relays);
  for (const auto& domain : table_.Domains()) {
    const bool all_silent =
        std::all_of(relays.begin(), relays.end(), [&](const auto* it) {
          const auto& name = it->identity.name;
          if (name == self().name) return IsDomainSilent(domain);
          const auto word = relay_words_.find(name);
          return word != relay_words_.end() &&
                 word->second.unreachable.contains(domain);
        });
    if (all_silent) unreachable.insert(domain);
  }
  if (unreachable == unreachable_) return;
  for (const auto& it : unreachable) {
    if (unreachable_.contains(it)) continue;
    base::Log(base::events::kDomainUnreachable, {{"domain", it}});
  }
  for (const auto& it : unreachable_) {
    if (unreachable.contains(it)) continue;
    base::Log(base::events::kDomainReachable, {{"domain", it}});
  }
  unreachable_ = std::move(unreachable);
  Changed();
}

}  // namespace lapishatch::membership
