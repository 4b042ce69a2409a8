#ifndef LAPISHATCH_ROUTING_RETRY_BUDGET_H_
#define LAPISHATCH_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace lapishatch::routing {

/// Bounds retries to a share of the successes, so that a service that fails is
/// never sent much more than its callers send. Each success earns `share` of a
/// retry; at most `limit` are saved up, and a service that starts has them.
/// Not thread-safe.
class RetryBudget {
 public:
  RetryBudget(double share, double limit)
      : share_(share), limit_(limit), saved_(limit) {}

  void OnSuccess() { saved_ = std::min(limit_, saved_ + share_); }

  /// Takes one retry from the budget; false when there is none.
  bool TrySpend() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

  double saved() const { return saved_; }

 private:
  double share_;
  double limit_;
  double saved_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_RETRY_BUDGET_H_
