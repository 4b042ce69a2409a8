#ifndef LAPISHATCH_DISPATCH_EVACUATIONS_H_
#define LAPISHATCH_DISPATCH_EVACUATIONS_H_

#include <set>

#include "base/base.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

/// Failure domains that operators evacuate, as last read by one process. No
/// task starts on their workers; running tasks run to their end.
struct Evacuations {
  std::set<base::DomainName> domains;
  /// `domains` reflects the store at this version or a later one.
  store::RowVersion as_of = store::kAbsent;
  /// When the store last confirmed `domains`, by this process's clock.
  base::TimePoint confirmed_at{};
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_EVACUATIONS_H_
