#include "dispatch/internal/silent_domains.h"

#include <algorithm>
#include <map>

namespace lapishatch::dispatch::internal {

std::set<base::DomainName> FindSilentDomains(
    const std::vector<PollState>& polls, const SilentDomainOptions& options,
    base::TimePoint now) {
  struct Domain {
    base::TimePoint last_answer{};
    int missing = 0;
  };
  std::map<base::DomainName, Domain> domains;
  base::TimePoint last_answer_of_any{};
  for (const auto& it : polls) {
    auto& domain = domains[it.domain];
    domain.last_answer = std::max(domain.last_answer, it.last_answer);
    last_answer_of_any = std::max(last_answer_of_any, it.last_answer);
  }
  for (const auto& it : polls) {
    auto& domain = domains[it.domain];
    const bool is_missing = it.answer_due <= now - options.answer_grace &&
                            it.answer_due > domain.last_answer;
    if (is_missing) ++domain.missing;
  }
  std::set<base::DomainName> silent_domains;
  for (const auto& [name, domain] : domains) {
    const bool others_answer =
        last_answer_of_any >= domain.last_answer + options.answer_grace;
    if (others_answer && domain.missing >= options.min_missing) {
      silent_domains.insert(name);
    }
  }
  return silent_domains;
}

}  // namespace lapishatch::dispatch::internal
