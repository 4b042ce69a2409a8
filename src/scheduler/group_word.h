#ifndef LAPISHATCH_SCHEDULER_GROUP_WORD_H_
#define LAPISHATCH_SCHEDULER_GROUP_WORD_H_

#include <set>

#include "base/base.h"
#include "http/http.h"
#include "lifecycle/lifecycle.h"
#include "membership/membership.h"

namespace lapishatch::scheduler {

/// What the members of the group say of `holder`. Another life that is present
/// at its address speaks against it.
lifecycle::HolderSuspicion DoubtOf(const membership::View& view,
                                   const base::Incarnation& holder,
                                   const http::Endpoint& at);

/// Follows the schedulers of the own failure domain, to see when one comes into
/// doubt: it may hold a cell.
class TrustedSchedulers {
 public:
  /// Whether one that nobody doubted in the last view is doubted or gone now.
  bool HasLostOne(const membership::View& view);

 private:
  std::set<base::Incarnation> trusted_;
};

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_GROUP_WORD_H_
