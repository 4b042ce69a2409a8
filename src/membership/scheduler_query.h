#ifndef LAPISHATCH_MEMBERSHIP_SCHEDULER_QUERY_H_
#define LAPISHATCH_MEMBERSHIP_SCHEDULER_QUERY_H_

#include <functional>
#include <string>
#include <variant>

#include "base/base.h"
#include "membership/node.h"

namespace lapishatch::membership {

/// Every scheduler that was asked answered, and none knows of it.
struct NobodyKnows {};

/// Nobody who answered knows of it, and `silent` schedulers did not answer or
/// were not ready: one of them may know.
struct NotAllAnswered {
  int silent = 0;
};

/// The text of the scheduler that knows, NobodyKnows, or NotAllAnswered.
using SchedulerQueryResult =
    std::variant<std::string, NobodyKnows, NotAllAnswered>;

/// Asks all schedulers of a failure domain, or of all when `domain` is empty,
/// for an ExplainQuery or a CellStatusQuery: only the owner of the cell gives a
/// text. Needs no table, so it also works while the table is out. On the loop
/// of `node`; `done` is called once on it, at the latest `timeout` from now.
/// Costs one request per scheduler.
void AskSchedulers(Node& node, const base::DomainName& domain,
                   const wire::Query& query, base::Duration timeout,
                   std::function<void(SchedulerQueryResult)> done);

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_SCHEDULER_QUERY_H_
