#include "dispatch/owner_lease.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lapishatch::dispatch {
namespace {

using store::RowsCommitted;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;
using store::StoredRow;

/// The holder stops this long before the end of the lease, so that a shorter
/// suspension cannot make an expired lease appear valid.
constexpr base::Duration kMargin{100};

/// Value of a lease row without a holder.
constexpr std::string_view kNoHolder = "-";

/// A VM with at least this many cores has no takeover delay.
constexpr double kFullSpeedCores = 0.25;
/// Takeover delay for a VM with no cores.
constexpr base::Duration kMaxTakeoverDelay{400};

}  // namespace

base::Duration TakeoverDelayFor(double cores) {
  const double missing = 1 - std::clamp(cores / kFullSpeedCores, 0.0, 1.0);
  return base::Duration(static_cast<std::int64_t>(
      missing * static_cast<double>(kMaxTakeoverDelay.count())));
}

class OwnerLease::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, base::ServiceName service,
       const std::string& vm, std::function<base::Duration()> suspended,
       OwnerLeaseOptions options, OwnerLeaseCallbacks events)
      : loop_(loop),
        store_(store),
        service_(std::move(service)),
        vm_(vm + '/'),
        holder_(base::MakeUniqueText(vm_)),
        suspended_(std::move(suspended)),
        options_(options),
        events_(std::move(events)),
        random_(std::hash<std::string>()(holder_)) {}

  void Start() {
    const auto weak = weak_from_this();
    const auto on_rows = [weak](const std::vector<StoredRow>& rows,
                                RowVersion) {
      if (const auto self = weak.lock()) self->OnRows(rows);
    };
    const auto on_all = [weak, on_rows](const std::vector<StoredRow>& rows,
                                        RowVersion as_of) {
      if (const auto self = weak.lock()) {
        self->row_.reset();
        self->former_row_.reset();
        self->epoch_row_ = store::kAbsent;
        self->is_read_ = true;
        on_rows(rows, as_of);
      }
    };
    const auto on_failure = [weak](const std::string&) {
      if (const auto self = weak.lock()) self->is_measuring_age_ = false;
    };
    follower_.emplace(loop_, store_, std::string(kOwnerTable),
                      std::vector<std::string>{service_.str()}, options_.follow,
                      store::FollowerEvents{on_all, on_rows, on_failure});
    follower_->Start();
  }

  bool IsValid() const {
    if (!epoch_) return false;
    if (suspended_() - suspended_at_renewal_ >= kMargin) return false;
    return TimeSinceRenewal() + kMargin < options_.duration;
  }

  base::Duration TimeSinceRenewal() const {
    return loop_.Now() - renewed_at_ + suspended_() - suspended_at_renewal_;
  }

  bool is_holder() const { return epoch_.has_value(); }

  void Release(std::function<void()> done) {
    is_leaving_ = true;
    if (epoch_) {
      const auto epoch = *std::exchange(epoch_, std::nullopt);
      return WriteRelease(epoch, std::move(done));
    }
    if (attempts_in_flight_ == 0) return done();
    // An attempt that is committed after this process has left would leave the
    // service without an owner until the lease expires.
    on_attempts_answered_ = std::move(done);
  }

  void HandOver(const std::string& reason) {
    if (!epoch_) return;
    const auto epoch = *epoch_;
    MarkLost(reason);
    WriteRelease(epoch, [] {});
  }

  base::Duration last_renewal_time() const { return last_renewal_time_; }

  void MarkLost(const std::string& reason) {
    if (!epoch_) return;
    epoch_.reset();
    is_measuring_age_ = false;
    events_.on_lost(reason);
  }

 private:
  /// Only the epoch is a condition: a renewal may be in flight (nearly always
  /// if the store is slow), so that the version of the lease row is unknown.
  /// Retried until the store confirms the write or another process has taken
  /// the service.
  void WriteRelease(Epoch epoch, std::function<void()> done) {
    store_.Commit({service_.str(),
                   {Condition(kEpochKey, epoch)},
                   {Put(kLeaseKey, kNoHolder), PutFormer(FormerLeases())},
                   {}},
                  [weak = weak_from_this(), epoch,
                   done = std::move(done)](const RowsResult& result) {
                    const bool is_over =
                        std::holds_alternative<RowsCommitted>(result) ||
                        std::holds_alternative<RowsConflict>(result);
                    if (is_over) return done();
                    const auto self = weak.lock();
                    if (self) self->RetryRelease(epoch, done);
                  });
  }

  void RetryRelease(Epoch epoch, const std::function<void()>& done) {
    loop_.After(options_.retry_interval,
                [weak = weak_from_this(), epoch, done] {
                  if (const auto self = weak.lock()) {
                    self->WriteRelease(epoch, done);
                  }
                });
  }

  static store::RowCondition Condition(std::string_view key,
                                       RowVersion version) {
    return {std::string(kOwnerTable), std::string(key), version};
  }

  static store::RowPut Put(std::string_view key, std::string_view value) {
    return {std::string(kOwnerTable), std::string(key), std::string(value)};
  }

  static store::RowPut PutFormer(base::Duration former_leases) {
    return Put(kFormerKey, std::to_string(former_leases.count()));
  }

  /// An attempt to acquire the service, with the state when it was sent.
  struct Attempt {
    base::TimePoint sent;
    base::Duration suspended;
    base::Duration former_leases{0};
  };

  // Candidacy.

  void OnRows(const std::vector<StoredRow>& rows) {
    bool has_changed = false;
    for (const auto& it : rows) {
      if (it.address.key == kEpochKey) {
        epoch_row_ = it.is_deleted ? store::kAbsent : it.version;
        continue;
      }
      if (it.address.key == kFormerKey) {
        former_row_ = it;
        if (it.is_deleted) former_row_.reset();
      }
      if (it.address.key != kLeaseKey) continue;
      has_changed = true;
      row_ = it;
      if (it.is_deleted) row_.reset();
    }
    if (epoch_ || is_leaving_) return CheckStillOwner();
    if (IsOwnAttempt()) return OnAcquired(epoch_row_, *open_attempt_);
    if (has_changed || !is_measuring_age_) {
      is_measuring_age_ = true;
      ++measurement_;
      const auto wait =
          HasPredecessorStopped() ? base::Duration(0) : options_.duration;
      ScheduleAcquire(wait + RandomDelay());
    }
  }

  /// Whether an attempt of this process was committed although its answer was
  /// lost. The holder text identifies this incarnation, and an attempt writes
  /// both rows in one transaction.
  bool IsOwnAttempt() const {
    return open_attempt_ && row_ && row_->value == holder_ &&
           row_->version == epoch_row_;
  }

  /// Whether the last owner has stopped: the lease was released, or its holder
  /// was an earlier incarnation on this VM.
  bool HasPredecessorStopped() const {
    return !row_ || row_->value == kNoHolder || row_->value.starts_with(vm_);
  }

  /// Bound on the leases that an owner may still renew that was active one
  /// lease duration ago.
  base::Duration MaxFormerLeases() const {
    return std::max(options_.outage_lease_limit - options_.duration,
                    base::Duration(0));
  }

  /// What OwnerLeaseCallbacks::on_acquired tells of the leases of former
  /// owners, by the rows last read.
  base::Duration FormerLeasesInRows() const {
    if (epoch_row_ == store::kAbsent) return base::Duration(0);
    if (!HasPredecessorStopped()) {
      return std::max(MaxFormerLeases(), RecordedFormerLeases());
    }
    return RecordedFormerLeases();
  }

  /// An owner that does not write the row may itself have succeeded one that
  /// is partitioned from the store.
  base::Duration RecordedFormerLeases() const {
    std::int64_t ms = 0;
    const bool is_known = former_row_ && former_row_->version >= epoch_row_ &&
                          absl::SimpleAtoi(former_row_->value, &ms) &&
                          ms >= 0 && ms <= MaxFormerLeases().count();
    return is_known ? base::Duration(ms) : MaxFormerLeases();
  }

  /// What is left of the bound on the leases of owners before this one.
  base::Duration FormerLeases() const {
    return std::max(former_leases_end_ - loop_.Now(), base::Duration(0));
  }

  /// The feed may be ahead of the answers to this holder's own renewals, so
  /// only the epoch shows that another process has taken the service.
  void CheckStillOwner() {
    if (epoch_ && epoch_row_ > *epoch_) {
      MarkLost("another process has acquired the lease");
    }
  }

  base::Duration RandomDelay() {
    std::uniform_int_distribution<std::int64_t> range(
        0, options_.max_jitter.count());
    const auto delay =
        events_.candidate_delay ? events_.candidate_delay() : base::Duration(0);
    return base::Duration(range(random_)) + options_.takeover_delay + delay;
  }

  void ScheduleAcquire(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), measurement = measurement_] {
      const auto self = weak.lock();
      if (self && self->measurement_ == measurement &&
          self->is_measuring_age_) {
        self->TryAcquire();
      }
    });
  }

  void TryAcquire() {
    if (epoch_ || is_leaving_) return;
    const Attempt attempt{loop_.Now(), suspended_(), FormerLeasesInRows()};
    // An earlier attempt may still be committed; the lease then counts from it.
    if (!open_attempt_) open_attempt_ = attempt;
    open_attempt_->former_leases =
        std::max(open_attempt_->former_leases, attempt.former_leases);
    const auto lease_version = row_ ? row_->version : store::kAbsent;
    ++attempts_in_flight_;
    store_.Commit({service_.str(),
                   {Condition(kEpochKey, epoch_row_),
                    Condition(kLeaseKey, lease_version)},
                   {Put(kEpochKey, holder_), Put(kLeaseKey, holder_),
                    PutFormer(attempt.former_leases)},
                   {}},
                  [weak = weak_from_this(), attempt](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (!self) return;
                    --self->attempts_in_flight_;
                    const auto* committed = std::get_if<RowsCommitted>(&result);
                    if (self->is_leaving_) {
                      return self->ReleaseLateAcquisition(committed, attempt);
                    }
                    if (committed == nullptr) return self->OnAcquireFailed();
                    self->OnAcquired(committed->version, attempt);
                  });
  }

  /// Releases the service if it was acquired while this process was stopping.
  void ReleaseLateAcquisition(const RowsCommitted* committed,
                              const Attempt& attempt) {
    if (!on_attempts_answered_) return;
    if (committed != nullptr) {
      former_leases_end_ = loop_.Now() + attempt.former_leases;
      return WriteRelease(committed->version,
                          std::exchange(on_attempts_answered_, nullptr));
    }
    if (attempts_in_flight_ == 0) {
      std::exchange(on_attempts_answered_, nullptr)();
    }
  }

  /// The feed shows the present state whatever the reason of the failure, also
  /// if the attempt was committed without an answer, as happens in a slow
  /// store.
  void OnAcquireFailed() {
    if (epoch_) return;
    is_measuring_age_ = false;
    ++measurement_;
    loop_.After(options_.retry_interval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->epoch_ && !self->is_measuring_age_) self->OnRows({});
    });
  }

  void OnAcquired(RowVersion version, const Attempt& attempt) {
    if (is_leaving_ || epoch_) return;
    epoch_ = version;
    epoch_row_ = std::max(epoch_row_, version);
    lease_row_ = version;
    renewed_at_ = attempt.sent;
    suspended_at_renewal_ = attempt.suspended;
    former_leases_end_ = loop_.Now() + attempt.former_leases;
    is_former_recorded_ = attempt.former_leases == base::Duration(0);
    open_attempt_.reset();
    ++measurement_;
    ScheduleNextRenewal();
    events_.on_acquired(version, attempt.former_leases);
  }

  // Ownership.

  void ScheduleRenewal(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), epoch = epoch_] {
      const auto self = weak.lock();
      if (self && self->epoch_ && self->epoch_ == epoch) self->Renew();
    });
  }

  /// Renews at once if the last renewal took as long as the renewal interval.
  void ScheduleNextRenewal() {
    const auto next = renewed_at_ + options_.renewal_interval - loop_.Now();
    ScheduleRenewal(std::max(next, base::Duration(0)));
  }

  void Renew() {
    const auto sent = loop_.Now();
    const auto suspended = suspended_();
    const auto former = FormerLeases();
    std::vector<store::RowPut> puts = {Put(kLeaseKey, holder_)};
    if (!is_former_recorded_) puts.push_back(PutFormer(former));
    store_.Commit(
        {service_.str(),
         {Condition(kEpochKey, *epoch_), Condition(kLeaseKey, lease_row_)},
         std::move(puts),
         {}},
        [weak = weak_from_this(), epoch = *epoch_, sent, suspended,
         former](const RowsResult& result) {
          const auto self = weak.lock();
          if (!self || self->epoch_ != epoch) return;
          const bool is_over = former == base::Duration(0);
          if (is_over && std::holds_alternative<RowsCommitted>(result)) {
            self->is_former_recorded_ = true;
          }
          self->OnRenewed(result, sent, suspended);
        });
  }

  void OnRenewed(const RowsResult& result, base::TimePoint sent,
                 base::Duration suspended) {
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      lease_row_ = committed->version;
      last_renewal_time_ = loop_.Now() - sent;
      renewed_at_ = sent;
      suspended_at_renewal_ = suspended;
      return ScheduleNextRenewal();
    }
    const auto* conflict = std::get_if<RowsConflict>(&result);
    if (conflict != nullptr && !IsStillOwner(conflict->present)) {
      return MarkLost("another process has acquired the lease");
    }
    ScheduleRenewal(conflict != nullptr ? base::Duration(0)
                                        : options_.retry_interval);
  }

  /// A renewal without an answer may have been committed; the lease row is then
  /// this holder's own at a newer version.
  bool IsStillOwner(const std::vector<StoredRow>& present) {
    RowVersion epoch_row = store::kAbsent;
    for (const auto& it : present) {
      if (it.address.key == kEpochKey) epoch_row = it.version;
      if (it.address.key == kLeaseKey) lease_row_ = it.version;
    }
    return epoch_row == *epoch_;
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const base::ServiceName service_;
  /// Prefix of the holder texts of all incarnations on this VM.
  const std::string vm_;
  const std::string holder_;
  const std::function<base::Duration()> suspended_;
  const OwnerLeaseOptions options_;
  const OwnerLeaseCallbacks events_;
  base::Random random_;
  std::optional<store::FeedFollower> follower_;

  // State last read from the feed.
  std::optional<StoredRow> row_;
  std::optional<StoredRow> former_row_;
  RowVersion epoch_row_ = store::kAbsent;
  bool is_read_ = false;

  /// Whether the age of the row is being measured, without a gap in the feed.
  bool is_measuring_age_ = false;
  /// Number of the current measurement; timers of earlier ones have no effect.
  int measurement_ = 0;

  /// The first attempt to acquire the service whose outcome is unknown.
  std::optional<Attempt> open_attempt_;

  /// Set while this process holds the service.
  std::optional<Epoch> epoch_;
  RowVersion lease_row_ = store::kAbsent;
  base::TimePoint renewed_at_{};
  base::Duration last_renewal_time_{0};
  base::Duration suspended_at_renewal_{0};
  /// When the leases that any former owner may have renewed have ended.
  base::TimePoint former_leases_end_{};
  /// Whether kFormerKey says that they have.
  bool is_former_recorded_ = false;
  bool is_leaving_ = false;
  int attempts_in_flight_ = 0;
  /// Completion of a release that waits for the attempts in flight.
  std::function<void()> on_attempts_answered_;
};

OwnerLease::OwnerLease(base::EventLoop& loop, store::RowStore& store,
                       base::ServiceName service, const std::string& vm,
                       std::function<base::Duration()> suspended,
                       OwnerLeaseOptions options, OwnerLeaseCallbacks events)
    : impl_(std::make_shared<Impl>(loop, store, std::move(service), vm,
                                   std::move(suspended), options,
                                   std::move(events))) {}

OwnerLease::~OwnerLease() = default;

void OwnerLease::Start() { impl_->Start(); }

bool OwnerLease::IsValid() const { return impl_->IsValid(); }

base::Duration OwnerLease::TimeSinceRenewal() const {
  return impl_->TimeSinceRenewal();
}

bool OwnerLease::is_holder() const { return impl_->is_holder(); }

void OwnerLease::Release(std::function<void()> done) {
  impl_->Release(std::move(done));
}

void OwnerLease::HandOver(const std::string& reason) {
  impl_->HandOver(reason);
}

base::Duration OwnerLease::last_renewal_time() const {
  return impl_->last_renewal_time();
}

void OwnerLease::MarkLost(const std::string& reason) {
  impl_->MarkLost(reason);
}

}  // namespace lapishatch::dispatch
