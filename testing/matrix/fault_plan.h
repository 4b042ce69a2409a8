#ifndef LAPISHATCH_TESTING_MATRIX_FAULT_PLAN_H_
#define LAPISHATCH_TESTING_MATRIX_FAULT_PLAN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "matrix/fault.h"
#include "matrix/step.h"

namespace lapishatch::matrix {

/// One fault at the first time a step is reached after the faults before it in
/// the plan.
struct PlannedFault {
  Step step = Step::kClaim;
  Fault fault = Fault::kMessageLost;
};

/// The faults of one cell of the matrix, singly or in a sequence.
class FaultPlan {
 public:
  FaultPlan() = default;
  explicit FaultPlan(std::vector<PlannedFault> faults)
      : faults_(std::move(faults)) {}

  /// Tells that a step is being done; returns the fault to inject now.
  std::optional<Fault> Reached(Step step) {
    if (next_ == faults_.size() || faults_[next_].step != step) return {};
    return faults_[next_++].fault;
  }

  /// Whether every planned fault was injected.
  bool done() const { return next_ == faults_.size(); }

  /// Injected faults so far.
  std::size_t injected() const { return next_; }

  const std::vector<PlannedFault>& faults() const { return faults_; }

 private:
  std::vector<PlannedFault> faults_;
  std::size_t next_ = 0;
};

/// "claim:lost+record:dies-after".
std::string TextOf(const FaultPlan& plan);

/// The plan a text stands for, or nothing when a name is unknown.
std::optional<FaultPlan> ParsePlan(const std::string& text);

}  // namespace lapishatch::matrix

#endif  // LAPISHATCH_TESTING_MATRIX_FAULT_PLAN_H_
