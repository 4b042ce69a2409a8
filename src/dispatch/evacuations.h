#ifndef LAPISHATCH_DISPATCH_EVACUATIONS_H_
#define LAPISHATCH_DISPATCH_EVACUATIONS_H_

#include <set>

#include "base/base.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

/// Failure domains that operators are emptying, as one process knows them. No
/// task starts on their workers; what runs there runs to its end.
struct Evacuations {
  std::set<base::DomainName> domains;
  /// `domains` is what the store held at this version, or later.
  store::RowVersion as_of = store::kAbsent;
  /// When the store last confirmed it, by this process's clock.
  base::TimePoint confirmed_at{};
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_EVACUATIONS_H_
