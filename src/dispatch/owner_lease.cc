#include "dispatch/owner_lease.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace lapishatch::dispatch {
namespace {

using store::RowsCommitted;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;
using store::StoredRow;

/// A suspension shorter than this cannot make a lease look valid that is not:
/// the holder stops so much before the lease's end.
constexpr base::Duration kMargin{100};

/// The value of a lease row that nobody holds.
constexpr std::string_view kNobody = "-";

/// Cores from which on a VM is not held back.
constexpr double kEnoughCores = 0.25;
/// Handicap of a VM without any.
constexpr base::Duration kMostHandicap{400};

}  // namespace

base::Duration TakeoverDelayFor(double cores) {
  const double missing = 1 - std::clamp(cores / kEnoughCores, 0.0, 1.0);
  return base::Duration(static_cast<std::int64_t>(
      missing * static_cast<double>(kMostHandicap.count())));
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
        self->epoch_row_ = store::kAbsent;
        self->is_read_ = true;
        on_rows(rows, as_of);
      }
    };
    const auto on_failure = [weak](const std::string&) {
      if (const auto self = weak.lock()) self->is_aging_ = false;
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
    if (takes_under_way_ == 0) return done();
    // A take that is done after all would leave the service without an owner
    // until its lease has run out.
    on_take_answered_ = std::move(done);
  }

  void MarkLost(const std::string& reason) {
    if (!epoch_) return;
    epoch_.reset();
    is_aging_ = false;
    events_.on_lost(reason);
  }

 private:
  /// Only the epoch is a condition: a renewal may be under way (nearly always
  /// when the store is slow), and then the lease row's version is not known.
  /// Tried again until the store has said that it is done or another process
  /// has taken the service.
  void WriteRelease(Epoch epoch, std::function<void()> done) {
    store_.Commit({service_.str(),
                   {Condition(kEpochKey, epoch)},
                   {Put(kLeaseKey, kNobody)},
                   {}},
                  [weak = weak_from_this(), epoch,
                   done = std::move(done)](const RowsResult& result) {
                    const bool is_over =
                        std::holds_alternative<RowsCommitted>(result) ||
                        std::holds_alternative<RowsConflict>(result);
                    if (is_over) return done();
                    const auto self = weak.lock();
                    if (self) self->ReleaseAgain(epoch, done);
                  });
  }

  void ReleaseAgain(Epoch epoch, const std::function<void()>& done) {
    loop_.After(options_.retry_interval,
                [weak = weak_from_this(), epoch, done] {
                  if (const auto self = weak.lock())
                    self->WriteRelease(epoch, done);
                });
  }

  static store::RowCondition Condition(std::string_view key,
                                       RowVersion version) {
    return {std::string(kOwnerTable), std::string(key), version};
  }

  static store::RowPut Put(std::string_view key, std::string_view value) {
    return {std::string(kOwnerTable), std::string(key), std::string(value)};
  }

  /// A try to take the service, with what was known when it was sent.
  struct OpenTake {
    base::TimePoint sent;
    base::Duration suspended;
    bool is_former_gone = false;
  };

  // As a candidate.

  void OnRows(const std::vector<StoredRow>& rows) {
    bool has_changed = false;
    for (const auto& it : rows) {
      if (it.address.key == kEpochKey) {
        epoch_row_ = it.is_deleted ? store::kAbsent : it.version;
        continue;
      }
      if (it.address.key != kLeaseKey) continue;
      has_changed = true;
      row_ = it;
      if (it.is_deleted) row_.reset();
    }
    if (epoch_ || is_leaving_) return CheckStillOwner();
    if (IsOwnTake()) return OnTaken(epoch_row_, *open_take_);
    if (has_changed || !is_aging_) {
      is_aging_ = true;
      ++watch_;
      const auto wait = IsFormerGone() ? base::Duration(0) : options_.duration;
      ArmTake(wait + Spread());
    }
  }

  /// Whether a take of this process that had no answer was done after all. The
  /// holder's text is of this life, and a take writes both rows at once.
  bool IsOwnTake() const {
    return open_take_ && row_ && row_->value == holder_ &&
           row_->version == epoch_row_;
  }

  /// Whether nobody acts as the owner: it was given up, or its holder was an
  /// earlier life of this VM.
  bool IsFormerGone() const {
    return !row_ || row_->value == kNobody || row_->value.starts_with(vm_);
  }

  /// The feed may be ahead of the answers to this holder's own renewals, so
  /// only the epoch tells that another one took the service.
  void CheckStillOwner() {
    if (epoch_ && epoch_row_ > *epoch_) MarkLost("another process took it");
  }

  base::Duration Spread() {
    std::uniform_int_distribution<std::int64_t> range(
        0, options_.max_jitter.count());
    return base::Duration(range(random_)) + options_.takeover_delay;
  }

  void ArmTake(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), watch = watch_] {
      const auto self = weak.lock();
      if (self && self->watch_ == watch && self->is_aging_) self->Take();
    });
  }

  void Take() {
    if (epoch_ || is_leaving_) return;
    const OpenTake take{loop_.Now(), suspended_(), IsFormerGone()};
    // An earlier try may still be carried out: then the lease counts from it.
    if (!open_take_) open_take_ = take;
    open_take_->is_former_gone =
        open_take_->is_former_gone && take.is_former_gone;
    const auto lease_version = row_ ? row_->version : store::kAbsent;
    ++takes_under_way_;
    store_.Commit({service_.str(),
                   {Condition(kEpochKey, epoch_row_),
                    Condition(kLeaseKey, lease_version)},
                   {Put(kEpochKey, holder_), Put(kLeaseKey, holder_)},
                   {}},
                  [weak = weak_from_this(), take](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (!self) return;
                    --self->takes_under_way_;
                    const auto* committed = std::get_if<RowsCommitted>(&result);
                    if (self->is_leaving_) return self->GiveUpTake(committed);
                    if (committed == nullptr) return self->OnTakeFailed();
                    self->OnTaken(committed->version, take);
                  });
  }

  /// Releases what was taken while this process was already stopping.
  void GiveUpTake(const RowsCommitted* committed) {
    if (!on_take_answered_) return;
    if (committed != nullptr) {
      return WriteRelease(committed->version,
                          std::exchange(on_take_answered_, nullptr));
    }
    if (takes_under_way_ == 0) std::exchange(on_take_answered_, nullptr)();
  }

  /// Whatever the reason, the feed shows how things stand: also when the row
  /// was taken after all without an answer, as happens in a slow store.
  void OnTakeFailed() {
    if (epoch_) return;
    is_aging_ = false;
    ++watch_;
    loop_.After(options_.retry_interval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->epoch_ && !self->is_aging_) self->OnRows({});
    });
  }

  void OnTaken(RowVersion version, const OpenTake& take) {
    if (is_leaving_ || epoch_) return;
    epoch_ = version;
    epoch_row_ = std::max(epoch_row_, version);
    lease_row_ = version;
    renewed_at_ = take.sent;
    suspended_at_renewal_ = take.suspended;
    open_take_.reset();
    ++watch_;
    ArmNextRenewal();
    events_.on_acquired(version, take.is_former_gone);
  }

  // As the holder.

  void ArmRenewal(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), epoch = epoch_] {
      const auto self = weak.lock();
      if (self && self->epoch_ && self->epoch_ == epoch) self->Renew();
    });
  }

  /// At once when the last one took as long as the pause between two.
  void ArmNextRenewal() {
    const auto next = renewed_at_ + options_.renewal_interval - loop_.Now();
    ArmRenewal(std::max(next, base::Duration(0)));
  }

  void Renew() {
    const auto sent = loop_.Now();
    const auto suspended = suspended_();
    store_.Commit(
        {service_.str(),
         {Condition(kEpochKey, *epoch_), Condition(kLeaseKey, lease_row_)},
         {Put(kLeaseKey, holder_)},
         {}},
        [weak = weak_from_this(), epoch = *epoch_, sent,
         suspended](const RowsResult& result) {
          const auto self = weak.lock();
          if (!self || self->epoch_ != epoch) return;
          self->OnRenewed(result, sent, suspended);
        });
  }

  void OnRenewed(const RowsResult& result, base::TimePoint sent,
                 base::Duration suspended) {
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      lease_row_ = committed->version;
      renewed_at_ = sent;
      suspended_at_renewal_ = suspended;
      return ArmNextRenewal();
    }
    const auto* conflict = std::get_if<RowsConflict>(&result);
    if (conflict != nullptr && !IsStillMine(conflict->present)) {
      return MarkLost("another process took it");
    }
    ArmRenewal(conflict != nullptr ? base::Duration(0)
                                   : options_.retry_interval);
  }

  /// A renewal without an answer may have been done: then the lease row is this
  /// holder's own with a newer version.
  bool IsStillMine(const std::vector<StoredRow>& present) {
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
  /// What the holders of all lives of this VM begin with.
  const std::string vm_;
  const std::string holder_;
  const std::function<base::Duration()> suspended_;
  const OwnerLeaseOptions options_;
  const OwnerLeaseCallbacks events_;
  base::Random random_;
  std::optional<store::FeedFollower> follower_;

  // What the feed has shown.
  std::optional<StoredRow> row_;
  RowVersion epoch_row_ = store::kAbsent;
  bool is_read_ = false;

  /// Whether the row's age is being watched, without a gap in the feed.
  bool is_aging_ = false;
  /// Numbers what is watched; timers of an earlier one do nothing.
  int watch_ = 0;

  /// The first try to take the service whose outcome is open.
  std::optional<OpenTake> open_take_;

  /// Set while this process holds the service.
  std::optional<Epoch> epoch_;
  RowVersion lease_row_ = store::kAbsent;
  base::TimePoint renewed_at_{};
  base::Duration suspended_at_renewal_{0};
  bool is_leaving_ = false;
  int takes_under_way_ = 0;
  /// What a release waits with until the takes under way are answered.
  std::function<void()> on_take_answered_;
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

void OwnerLease::MarkLost(const std::string& reason) {
  impl_->MarkLost(reason);
}

}  // namespace lapishatch::dispatch
