#ifndef LAPISHATCH_DISPATCH_OWNER_LEASE_H_
#define LAPISHATCH_DISPATCH_OWNER_LEASE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "dispatch/worker_client.h"
#include "store/feed_follower.h"
#include "store/row_store.h"

namespace lapishatch::dispatch {

/// Rows of the table, in the service's part: kEpochKey changes only when the
/// service is taken, kLeaseKey at every renewal.
inline constexpr std::string_view kOwnerTable = "owners";
inline constexpr std::string_view kEpochKey = "epoch";
inline constexpr std::string_view kLeaseKey = "lease";

/// Row of the table in each part with jobs: every owner writes it anew before
/// it reads the part, so that nothing of a former owner is written there any
/// more.
inline constexpr std::string_view kFenceKey = "fence";

struct OwnerLeaseOptions {
  /// How long a renewal counts, from before it was sent. A service has no owner
  /// for about as long after a kill.
  base::Duration duration{2'000};
  base::Duration renewal_interval{500};
  base::Duration retry_interval{200};
  /// Most that a candidate waits beyond `length`, at random, so that not all
  /// try at once.
  base::Duration max_jitter{150};
  /// What a candidate on a weak VM waits beyond that, so that a strong one goes
  /// before it; see TakeoverDelayFor.
  base::Duration takeover_delay{0};
  store::FollowerOptions follow;
};

/// How much longer than others a candidate waits whose VM has `cores` (a share
/// of one, or several): a weak VM owns a large service only where there is no
/// strong one.
base::Duration TakeoverDelayFor(double cores);

/// What the lease tells its owner. Called on the loop.
struct OwnerLeaseCallbacks {
  /// This process owns the service under `epoch` from now on. `former_is_gone`:
  /// no former owner acts any more, rather than perhaps being cut off.
  std::function<void(Epoch epoch, bool predecessor_stopped)> on_acquired;
  /// It owns it no longer.
  std::function<void(const std::string& reason)> on_lost;
};

/// One process's part in who owns a service. A candidate takes the row when it
/// has not changed for the lease's length by the candidate's own clock, in
/// which the store answered all along; the holder counts from before its last
/// renewal that succeeded. So the two never overlap, without comparing clocks.
class OwnerLease {
 public:
  /// `vm` is the name of this VM, on which one process at a time is a
  /// candidate, so that a row held by another life on it is free. `suspended`
  /// gives for how long this VM has been suspended in all; the steady clock
  /// does not show it.
  OwnerLease(base::EventLoop& loop, store::RowStore& store,
             base::ServiceName service, const std::string& vm,
             std::function<base::Duration()> suspended,
             OwnerLeaseOptions options, OwnerLeaseCallbacks events);
  ~OwnerLease();
  OwnerLease(const OwnerLease&) = delete;
  OwnerLease& operator=(const OwnerLease&) = delete;

  void Start();

  /// Whether this process certainly is the only owner at this moment.
  bool IsValid() const;

  /// Time since the last renewal that succeeded was sent.
  base::Duration TimeSinceRenewal() const;

  bool is_holder() const;

  /// Gives up the service, if it is held, so that another takes it at once, and
  /// takes it no more. `done` is called when the store has said so; that may be
  /// never while the store is out.
  void Release(std::function<void()> done);

  /// The holder has seen that another process owns the service.
  void MarkLost(const std::string& reason);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_OWNER_LEASE_H_
