#ifndef LAPISHATCH_DISPATCH_INTERNAL_STOP_ORDER_H_
#define LAPISHATCH_DISPATCH_INTERNAL_STOP_ORDER_H_

#include <memory>
#include <utility>

#include "base/base.h"

namespace lapishatch::dispatch::internal {

/// The order to stop one run on its worker. It is under way for as long as its
/// ticket lives, which the call's callback and the timer of its repetition
/// hold. An order that is not sent, or whose callback is dropped, is therefore
/// due again: no flag has to be cleared.
class StopOrder {
 public:
  using Ticket = std::shared_ptr<const void>;

  /// Returns the ticket of a new attempt.
  Ticket Begin() {
    auto out = std::make_shared<const char>();
    ticket_ = out;
    return out;
  }

  bool IsUnderWay() const { return !ticket_.expired(); }

  /// When the run had to stop; the epoch if it need not.
  base::TimePoint due_since{};
  /// Number of attempts that were sent.
  int sent = 0;

 private:
  std::weak_ptr<const char> ticket_;
};

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_STOP_ORDER_H_
