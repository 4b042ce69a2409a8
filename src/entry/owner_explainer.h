#ifndef LAPISHATCH_ENTRY_OWNER_EXPLAINER_H_
#define LAPISHATCH_ENTRY_OWNER_EXPLAINER_H_

#include <functional>
#include <optional>
#include <string>

#include "entry/system_view.h"
#include "membership/membership.h"

namespace lapishatch::entry {

/// Asks the schedulers over the inner protocol: those of the job's failure
/// domain, or all while the job has none.
class OwnerExplainer final : public JobExplainer {
 public:
  /// `loop` is the node's; both must outlive it.
  OwnerExplainer(base::EventLoop& loop, membership::Node& node)
      : loop_(loop), node_(node) {}

  void Explain(const config::ResourcePtr& job,
               std::function<void(std::optional<std::string>)> done) override;

 private:
  base::EventLoop& loop_;
  membership::Node& node_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_OWNER_EXPLAINER_H_
