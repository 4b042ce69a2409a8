#include "dispatch/owner_fitness.h"

#include <algorithm>

namespace lapishatch::dispatch {

std::optional<base::Duration> OwnerFitness::Update(const OwnerState& state,
                                                   base::TimePoint now) {
  if (state.obstacle == OwnerObstacle::kNone) {
    blocked_since_.reset();
    if (!unblocked_since_) unblocked_since_ = now;
    if (now - *unblocked_since_ >= options_.reset_after) {
      next_backoff_ = base::Duration(0);
    }
    return std::nullopt;
  }
  unblocked_since_.reset();
  const bool is_store_slow = state.renewal_time > options_.max_renewal_time;
  if (!state.has_waiting_work || is_store_slow) {
    blocked_since_.reset();
    return std::nullopt;
  }
  if (!blocked_since_) blocked_since_ = now;
  const auto blocked_time = now - *blocked_since_;
  const bool must_hand_over =
      now >= backoff_end_ && blocked_time >= options_.max_blocked_time;
  return must_hand_over ? std::optional(blocked_time) : std::nullopt;
}

base::Duration OwnerFitness::OnHandover(base::TimePoint now) {
  const auto backoff = std::max(next_backoff_, options_.first_backoff);
  next_backoff_ = std::min(2 * backoff, options_.max_backoff);
  backoff_end_ = now + backoff;
  retake_at_ = now + options_.retake_delay;
  blocked_since_.reset();
  unblocked_since_.reset();
  return backoff;
}

base::Duration OwnerFitness::CandidateDelay(bool is_ready,
                                            base::TimePoint now) const {
  const auto unfit_delay =
      is_ready ? base::Duration(0) : options_.unfit_candidate_delay;
  return std::max(unfit_delay, retake_at_ - now);
}

}  // namespace lapishatch::dispatch
