#ifndef LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_
#define LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_

#include <set>
#include <vector>

#include "base/base.h"

namespace lapishatch::dispatch::internal {

/// How the polls of one worker stand.
struct PollState {
  base::DomainName domain;
  /// When it answered last.
  base::TimePoint last_answer{};
  /// When its next answer was due first; the maximum while none is under way.
  base::TimePoint answer_due = base::TimePoint::max();
};

struct SilentDomainOptions {
  /// An answer that is late by more counts as missing.
  base::Duration answer_grace{150};
  /// So many workers must miss theirs: single ones crash.
  int min_missing = 3;
};

/// Failure domains that are cut off, as the polls of their workers show: since
/// the last answer from the domain several were due and did not come, while
/// other domains answered. Known long before each of its workers is missed by
/// itself. An owner that is late itself hears no domain and finds none silent.
/// Costs one pass over `polls`.
std::set<base::DomainName> FindSilentDomains(
    const std::vector<PollState>& polls, const SilentDomainOptions& options,
    base::TimePoint now);

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_SILENT_DOMAINS_H_
