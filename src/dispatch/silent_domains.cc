#include "dispatch/internal/silent_domains.h"

#include <algorithm>
#include <map>

namespace lapishatch::dispatch::internal {

std::set<base::DomainName> FindSilentDomains(
    const std::vector<PollState>& polls, const SilentDomainOptions& options,
    base::TimePoint now) {
  struct Domain {
    base::TimePoint answered{};
    int missing = 0;
  };
  std::map<base::DomainName, Domain> domains;
  base::TimePoint newest{};
  for (const auto& it : polls) {
    auto& domain = domains[it.domain];
    domain.answered = std::max(domain.answered, it.answered);
    newest = std::max(newest, it.answered);
  }
  for (const auto& it : polls) {
    auto& domain = domains[it.domain];
    const bool is_missing =
        it.due <= now - options.grace && it.due > domain.answered;
    if (is_missing) ++domain.missing;
  }
  std::set<base::DomainName> out;
  for (const auto& [name, domain] : domains) {
    const bool others_answer = newest >= domain.answered + options.grace;
    if (others_answer && domain.missing >= options.least_missing) {
      out.insert(name);
    }
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
