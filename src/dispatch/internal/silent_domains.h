#ifndef LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_
#define LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_

#include <set>
#include <vector>

#include "base/base.h"

namespace lapishatch::dispatch::internal {

/// State of the polls of one worker.
struct PollState {
  base::DomainName domain;
  /// Time of its last answer.
  base::TimePoint last_answer{};
  /// When its next answer was first due; the maximum while no poll is in
  /// flight.
  base::TimePoint answer_due = base::TimePoint::max();
};

struct SilentDomainOptions {
  /// An answer that is late by more than this counts as missing.
  base::Duration answer_grace{150};
  /// Least number of workers with a missing answer: single workers may have
  /// crashed.
  int min_missing = 3;
};

/// Finds failure domains that are partitioned from the owner: since the last
/// answer from the domain several further answers were due and are missing,
/// while other domains have answered. This detects a partition long before the
/// timeouts of the single workers. A delayed owner receives answers from no
/// domain and therefore finds none silent. Linear in `polls`.
std::set<base::DomainName> FindSilentDomains(
    const std::vector<PollState>& polls, const SilentDomainOptions& options,
    base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_
