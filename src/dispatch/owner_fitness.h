#ifndef LAPISHATCH_DISPATCH_OWNER_FITNESS_H_
#define LAPISHATCH_DISPATCH_OWNER_FITNESS_H_

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace lapishatch::dispatch {

/// What an owner lacks to start work.
enum class OwnerObstacle : std::uint8_t {
  kNone,
  /// It does not know which domains are evacuated: its copy of the operators'
  /// rows is out of date.
  kEvacuations,
  /// Its copy of the workers' registrations is out of date.
  kRegistrations,
};

struct OwnerFitnessOptions {
  /// An owner hands over once it could start nothing for this long although
  /// work waits. Longer than a takeover takes, which starts nothing either.
  base::Duration max_blocked_time{3'000};
  /// Renewals that take longer show that the store is slow: it then is so for
  /// other VMs as well, and a handover would not help.
  base::Duration max_renewal_time{300};
  /// Additional wait of a candidate that could not start work at once. Shorter
  /// than the time for which an owner may be blocked.
  base::Duration unfit_candidate_delay{1'500};
  /// How long a VM that has handed over lets all others go first. Longer than
  /// the wait of unfit candidates, and short enough for the tasks to survive if
  /// there is no other: an owner that only renews leases is better than none.
  base::Duration retake_delay{3'000};
  /// Time after a handover in which this VM does not hand over again. Doubles
  /// with each handover in a row up to the limit, so that unfit VMs do not pass
  /// a service to and fro.
  base::Duration first_backoff{10'000};
  base::Duration max_backoff{160'000};
  /// An owner that could start work for so long begins with the first backoff
  /// again.
  base::Duration reset_after{20'000};
};

/// The present state of an owner.
struct OwnerState {
  OwnerObstacle obstacle = OwnerObstacle::kNone;
  bool has_waiting_work = false;
  /// How long its last successful renewal of the lease took.
  base::Duration renewal_time{0};
};

/// Decides when a VM gives up a service because it cannot keep up with what an
/// owner must know, and how long it lets other candidates go first. Answers the
/// load in which the configuration is large, changes often, and VMs differ in
/// size: a small VM must not keep a service that others could serve. Has no
/// clock and does no I/O.
class OwnerFitness {
 public:
  explicit OwnerFitness(OwnerFitnessOptions options) : options_(options) {}

  /// Handles the state of the owner, which must be passed several times a
  /// second. Returns how long it could start nothing if it must hand over now.
  std::optional<base::Duration> Update(const OwnerState& state,
                                       base::TimePoint now);

  /// Called when this VM acquires the service, and while its lease is not
  /// valid: what it lacks then is due to the store.
  void Reset() {
    blocked_since_.reset();
    unblocked_since_.reset();
  }

  /// Handles a handover. Returns the time for which this VM does not hand over
  /// again.
  base::Duration OnHandover(base::TimePoint now);

  /// How long this VM lets others go first after a handover.
  base::Duration retake_delay() const { return options_.retake_delay; }

  /// Additional wait of this VM as a candidate. `is_ready` tells whether it
  /// could start work at once.
  base::Duration CandidateDelay(bool is_ready, base::TimePoint now) const;

 private:
  const OwnerFitnessOptions options_;
  std::optional<base::TimePoint> blocked_since_;
  std::optional<base::TimePoint> unblocked_since_;
  base::Duration next_backoff_{0};
  base::TimePoint backoff_end_{};
  base::TimePoint retake_at_{};
};

}  // namespace lapishatch::dispatch

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::OwnerObstacle> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "none", "evacuations", "registrations"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_OWNER_FITNESS_H_
