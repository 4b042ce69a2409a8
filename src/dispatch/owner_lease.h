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

/// Rows of the table in the service's partition: kEpochKey changes only when a
/// process acquires the service, kLeaseKey also at every renewal. kFormerKey
/// holds the time in ms for which owners before the present one may still have
/// renewed leases of workers, counted from when it was written: at the
/// acquisition, at renewals until that time is over, and at the release. It is
/// only written together with kLeaseKey.
inline constexpr std::string_view kOwnerTable = "owners";
inline constexpr std::string_view kEpochKey = "epoch";
inline constexpr std::string_view kLeaseKey = "lease";
inline constexpr std::string_view kFormerKey = "former";

/// Row of the table in each partition with jobs. Every new owner rewrites it
/// before it reads the partition, which fences off writes of former owners.
inline constexpr std::string_view kFenceKey = "fence";

struct OwnerLeaseOptions {
  /// Validity of a renewal, counted from before it was sent. After its owner is
  /// killed, a service has no owner for about this long.
  base::Duration duration{2'000};
  base::Duration renewal_interval{500};
  base::Duration retry_interval{200};
  /// An owner that cannot reach the store grants no worker a lease that ends
  /// later than this after the last renewal of its own lease.
  base::Duration outage_lease_limit{11'000};
  /// Upper bound of the random wait of a candidate beyond `duration`, which
  /// keeps candidates from trying at the same time.
  base::Duration max_jitter{150};
  /// Further wait of a candidate on a weak VM, so that a candidate on a strong
  /// one precedes it; see TakeoverDelayFor.
  base::Duration takeover_delay{0};
  store::FollowerOptions follow;
};

/// The additional wait of a candidate whose VM has `cores`, which may be a
/// fraction of one. A weak VM owns a large service only if no strong VM is a
/// candidate.
base::Duration TakeoverDelayFor(double cores);

/// Callbacks of the lease, invoked on the event loop.
struct OwnerLeaseCallbacks {
  /// This process owns the service under `epoch` from now on. Leases that any
  /// former owner renewed while it was partitioned from the store end within
  /// `former_leases` from now; 0 if no such owner is left.
  std::function<void(Epoch epoch, base::Duration former_leases)> on_acquired;
  /// This process no longer owns the service.
  std::function<void(const std::string& reason)> on_lost;
  /// Queried when this candidate begins to measure the age of the lease: its
  /// further wait, so that others precede it. May be empty.
  std::function<base::Duration()> candidate_delay = nullptr;
};

/// Takes part in the election of a service's owner on behalf of one process. A
/// candidate takes the lease row if it has not changed for the lease's duration
/// by the candidate's own clock, while the store answered throughout. The
/// holder counts the duration from before its last successful renewal was sent.
/// Two ownerships therefore never overlap, without a comparison of clocks.
///
/// Invariant: the rows bound the time for which any former owner may have
/// renewed leases of workers. Each owner records what is left of it, and its
/// successor counts that anew from its own acquisition, so the bound holds for
/// all owners before, however short their ownerships were.
class OwnerLease {
 public:
  /// `vm` is the name of this VM. Only one process at a time is a candidate on
  /// a VM, so a row held by another incarnation on it counts as released.
  /// `suspended` returns the total time for which this VM has been suspended,
  /// which the steady clock does not include.
  OwnerLease(base::EventLoop& loop, store::RowStore& store,
             base::ServiceName service, const std::string& vm,
             std::function<base::Duration()> suspended,
             OwnerLeaseOptions options, OwnerLeaseCallbacks events);
  ~OwnerLease();
  OwnerLease(const OwnerLease&) = delete;
  OwnerLease& operator=(const OwnerLease&) = delete;

  void Start();

  /// Whether the lease guarantees that this process is the only owner now.
  bool IsValid() const;

  /// Time since the last successful renewal was sent.
  base::Duration TimeSinceRenewal() const;

  bool is_holder() const;

  /// Releases the service if this process holds it, so that another one can
  /// take it at once, and ends the candidacy. `done` is called when the store
  /// has confirmed this; during an outage of the store that may never happen.
  void Release(std::function<void()> done);

  /// Releases the service if this process holds it, so that another one can
  /// take it at once, and remains a candidate. The write is repeated until the
  /// store has confirmed it or another process has acquired the lease.
  void HandOver(const std::string& reason);

  /// How long the last successful renewal took to be confirmed.
  base::Duration last_renewal_time() const;

  /// Ends the ownership after the holder has detected another owner.
  void MarkLost(const std::string& reason);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::dispatch

#endif  // LAPISHATCH_DISPATCH_OWNER_LEASE_H_
