#include "dispatch/internal/worker_session.h"

#include <algorithm>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

/// Why a poll failed, for logs.
std::string FailureText(const PollResult& result) {
  if (const auto* it = std::get_if<NoAnswer>(&result)) return it->detail;
  if (const auto* it = std::get_if<NotSent>(&result)) return it->detail;
  return "refused";
}

}  // namespace

class WorkerSession::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, WorkerClient& client,
       WorkerRegistration registration, Epoch epoch, SessionOptions options,
       Events events)
      : loop_(loop),
        client_(client),
        registration_(std::move(registration)),
        epoch_(epoch),
        options_(options),
        events_(std::move(events)) {}

  /// With a `wait` of zero the worker answers at once.
  void Poll(base::Duration wait) {
    if (!events_.may_renew()) {
      is_reachable_ = false;
      return ArmPoll(options_.retry_delay);
    }
    ++poll_number_;
    PollOrder order;
    order.epoch = epoch_;
    // The first ends of another incarnation must not be acknowledged unread.
    order.last_recorded_end = IsRestartExpected() ? 0 : last_recorded_end_;
    order.max_wait = wait;
    // The lease of a worker that did not answer is not renewed until it
    // answers: otherwise this owner could never be certain that the lease has
    // expired.
    if (has_answered_ && is_reachable_) {
      const auto lease = std::min(options_.lease_duration, events_.max_lease());
      order.lease_expires_at = EstimatedWorkerTime() + lease.count();
      NoteLeaseExpiry(*order.lease_expires_at);
    }
    const auto renewal = order.lease_expires_at;
    const auto acknowledged = order.last_recorded_end;
    const auto sent = loop_.Now();
    answer_due_ = std::min(answer_due_, sent + wait);
    client_.Poll({registration_.name, registration_.endpoint}, order,
                 wait + options_.answer_timeout,
                 [weak = weak_from_this(), sent, renewal, acknowledged,
                  poll_number = poll_number_](PollResult result) {
                   const auto self = weak.lock();
                   if (!self || self->poll_number_ != poll_number) return;
                   self->OnResult(std::move(result), sent, renewal,
                                  acknowledged);
                 });
  }

  WorkerTime EstimatedWorkerTime() const {
    return reported_worker_time_ + (loop_.Now() - last_answer_at_).count();
  }

  bool HasLeaseExpired() const {
    const auto passed =
        static_cast<double>((loop_.Now() - last_answer_at_).count());
    const auto at_least =
        reported_worker_time_ +
        static_cast<WorkerTime>(passed * (1 - options_.max_clock_drift));
    return at_least > lease_expires_at_ + options_.clock_margin.count();
  }

  /// Whether the lease that the worker has confirmed certainly still runs.
  bool IsLeaseHeld() const {
    return has_answered_ &&
           EstimatedWorkerTime() + options_.clock_margin.count() <
               confirmed_lease_;
  }

  bool IsReachable() const {
    const auto silence = loop_.Now() - last_answer_at_;
    return is_reachable_ &&
           silence < options_.poll_wait + options_.answer_timeout;
  }

  void NoteLeaseExpiry(WorkerTime expires) {
    lease_expires_at_ = std::max(lease_expires_at_, expires);
  }

  /// Polls at once if the worker has started again: the outstanding poll of the
  /// earlier incarnation will not be answered.
  void SetRegistration(WorkerRegistration registration) {
    const bool was_expected = IsRestartExpected();
    registration_ = std::move(registration);
    if (!was_expected && IsRestartExpected()) Poll(base::Duration(0));
  }

  void OnEndsRecorded(std::uint64_t end) {
    last_recorded_end_ = std::max(last_recorded_end_, end);
    if (!is_waiting_for_record_ || last_recorded_end_ < last_received_end_) {
      return;
    }
    is_waiting_for_record_ = false;
    Poll(options_.poll_wait);
  }

 private:
  friend class WorkerSession;

  /// Whether the worker has registered with another start time than that of its
  /// last report.
  bool IsRestartExpected() const {
    return AreDifferentIncarnations(confirmed_start_,
                                    registration_.started_at_ms);
  }

  /// Forgets the incarnation of the earlier reports.
  void BeginAnew() {
    has_answered_ = false;
    lease_expires_at_ = 0;
    confirmed_lease_ = 0;
    last_received_end_ = 0;
    last_recorded_end_ = 0;
    is_waiting_for_record_ = false;
    ends_stalled_since_.reset();
  }

  /// `renewal`: the lease that the poll asked for, if any. `acknowledged`: the
  /// last end that it acknowledged.
  void OnResult(PollResult result, base::TimePoint sent,
                std::optional<WorkerTime> renewal, std::uint64_t acknowledged) {
    if (auto* report = std::get_if<WorkerReport>(&result)) {
      if (std::is_sorted(report->ended.begin(), report->ended.end(),
                         [](const EndedTask& a, const EndedTask& b) {
                           return a.sequence_number < b.sequence_number;
                         })) {
        return OnReport(std::move(*report), sent, renewal, acknowledged);
      }
      constexpr std::string_view kDetail = "out of order";
      result = NoAnswer{"ends " + std::string(kDetail)};
      MarkEndsUnusable(kDetail);
    }
    if (std::holds_alternative<OtherIncarnation>(result)) {
      ended_incarnation_ = Ended();
      return events_.on_other_incarnation();
    }
    if (const auto* refused = std::get_if<Refused>(&result)) {
      if (refused->reason == RefusalReason::kStaleEpoch) {
        return events_.on_superseded();
      }
    }
    is_reachable_ = false;
    NoteFailure(result);
    ArmPoll(options_.retry_delay);
  }

  void NoteFailure(const PollResult& result) {
    if (!first_failure_.empty()) return;
    first_failure_ = FailureText(result);
    const auto* no_answer = std::get_if<NoAnswer>(&result);
    has_closed_ = no_answer != nullptr && no_answer->is_closed;
    was_lease_held_at_close_ = has_closed_ && IsLeaseHeld();
  }

  /// What is known of the incarnation that answered last when another one is
  /// found in its place. Either it closed its connection when it ended, or it
  /// ended before the poll that followed its last answer was due, unless the
  /// connection was lost before.
  EndedIncarnation Ended() const {
    const auto due = options_.poll_wait + options_.answer_timeout;
    const bool was_lease_held =
        has_closed_ ? was_lease_held_at_close_
                    : has_answered_ && reported_worker_time_ + due.count() <
                                           confirmed_lease_;
    return {was_lease_held, has_closed_, last_answer_at_};
  }

  void MarkEndsUnusable(std::string_view detail) {
    if (std::exchange(are_ends_unusable_, true)) return;
    events_.on_ends_unusable(detail);
  }

  /// Notes since when the worker has had ends that it does not list, although
  /// all listed before were acknowledged.
  void UpdateEndsStall(const WorkerReport& report, std::uint64_t acknowledged) {
    const bool is_stalled = report.may_have_more_ends && report.ended.empty() &&
                            acknowledged >= last_received_end_;
    const auto now = loop_.Now();
    if (!is_stalled) {
      ends_stalled_since_.reset();
    } else if (!ends_stalled_since_) {
      ends_stalled_since_ = now;
    }
    if (!ends_stalled_since_ ||
        now - *ends_stalled_since_ < options_.max_ends_stall) {
      are_ends_unusable_ = false;
    } else {
      MarkEndsUnusable("repeated");
    }
  }

  void OnReport(WorkerReport report, base::TimePoint sent,
                std::optional<WorkerTime> renewal, std::uint64_t acknowledged) {
    if (AreDifferentIncarnations(confirmed_start_, report.started_at_ms)) {
      ended_incarnation_ = Ended();
      BeginAnew();
      acknowledged = 0;
    } else if (renewal) {
      confirmed_lease_ = std::max(confirmed_lease_, *renewal);
    }
    if (report.started_at_ms) confirmed_start_ = report.started_at_ms;
    if (!has_answered_) {
      // A former owner may have sent a renewal of the same duration until now.
      // From this poll on the worker refuses its orders.
      NoteLeaseExpiry(report.worker_time + options_.lease_duration.count() +
                      options_.clock_margin.count());
    }
    has_answered_ = true;
    reported_worker_time_ = report.worker_time;
    last_answer_at_ = loop_.Now();
    first_failure_.clear();
    has_closed_ = false;
    answer_due_ = base::TimePoint::max();
    // A worker that lists what was acknowledged may omit later ends.
    const bool repeats_ends =
        !report.ended.empty() &&
        report.ended.front().sequence_number <= acknowledged;
    if (repeats_ends) report.may_have_more_ends = true;
    std::erase_if(report.ended, [this](const EndedTask& it) {
      return it.sequence_number <= last_received_end_;
    });
    UpdateEndsStall(report, acknowledged);
    is_reachable_ = !are_ends_unusable_;
    if (!report.ended.empty()) {
      last_received_end_ = report.ended.back().sequence_number;
    }
    is_waiting_for_record_ = last_received_end_ > last_recorded_end_;
    const auto poll_number = poll_number_;
    const auto weak = weak_from_this();
    events_.on_report(std::move(report), sent);
    const auto self = weak.lock();
    if (!self || poll_number_ != poll_number) return;
    // The worker would answer at once with the same ends.
    if (ends_stalled_since_) return ArmPoll(options_.retry_delay);
    if (!is_waiting_for_record_) return Poll(options_.poll_wait);
    ArmPoll(options_.max_record_wait);
  }

  void ArmPoll(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), poll_number = poll_number_] {
      const auto self = weak.lock();
      if (!self || self->poll_number_ != poll_number) return;
      self->is_waiting_for_record_ = false;
      self->Poll(base::Duration(0));
    });
  }

  base::EventLoop& loop_;
  WorkerClient& client_;
  WorkerRegistration registration_;
  WorkerStartTime confirmed_start_;
  const Epoch epoch_;
  const SessionOptions options_;
  const Events events_;

  bool has_answered_ = false;
  bool is_reachable_ = false;
  /// The worker's clock in its last answer, and when that answer arrived.
  WorkerTime reported_worker_time_ = 0;
  base::TimePoint last_answer_at_{};
  base::TimePoint answer_due_ = base::TimePoint::max();
  /// How the first poll after the last answer failed; empty if none has.
  std::string first_failure_;
  /// Whether that poll failed because the worker closed the connection.
  bool has_closed_ = false;
  bool was_lease_held_at_close_ = false;
  WorkerTime lease_expires_at_ = 0;
  /// Expiry of the longest lease in a poll that the worker has answered.
  WorkerTime confirmed_lease_ = 0;
  EndedIncarnation ended_incarnation_;
  std::uint64_t last_received_end_ = 0;
  std::uint64_t last_recorded_end_ = 0;
  bool is_waiting_for_record_ = false;
  /// See UpdateEndsStall.
  std::optional<base::TimePoint> ends_stalled_since_;
  /// Whether the worker's lists of ends cannot be followed.
  bool are_ends_unusable_ = false;
  /// Counts the polls; a timer of an earlier poll has no effect.
  std::uint64_t poll_number_ = 0;
};

WorkerSession::WorkerSession(base::EventLoop& loop, WorkerClient& client,
                             WorkerRegistration registration, Epoch epoch,
                             SessionOptions options, Events events)
    : impl_(std::make_shared<Impl>(loop, client, std::move(registration), epoch,
                                   options, std::move(events))) {}

WorkerSession::~WorkerSession() = default;

void WorkerSession::Start() { impl_->Poll(base::Duration(0)); }

const WorkerRegistration& WorkerSession::registration() const {
  return impl_->registration_;
}

void WorkerSession::SetRegistration(WorkerRegistration registration) {
  impl_->SetRegistration(std::move(registration));
}

WorkerStartTime WorkerSession::confirmed_start() const {
  return impl_->confirmed_start_;
}

WorkerAddress WorkerSession::address() const {
  return {impl_->registration_.name, impl_->registration_.endpoint};
}

bool WorkerSession::has_answered() const { return impl_->has_answered_; }

bool WorkerSession::IsReachable() const { return impl_->IsReachable(); }

base::TimePoint WorkerSession::LastAnswerTime() const {
  return impl_->last_answer_at_;
}

base::TimePoint WorkerSession::AnswerDueTime() const {
  return impl_->answer_due_;
}

void WorkerSession::MarkUnreachable() { impl_->is_reachable_ = false; }

const std::string& WorkerSession::first_failure() const {
  return impl_->first_failure_;
}

WorkerTime WorkerSession::EstimatedWorkerTime() const {
  return impl_->EstimatedWorkerTime();
}

bool WorkerSession::IsFromOtherIncarnation(
    std::optional<WorkerTime> worker_time) const {
  // Answers on different connections may overtake each other.
  constexpr WorkerTime kMaxOvertakingMs = 1'000;
  return impl_->confirmed_start_ && impl_->has_answered_ && worker_time &&
         *worker_time + kMaxOvertakingMs < impl_->reported_worker_time_;
}

void WorkerSession::NoteLeaseExpiry(WorkerTime expires) {
  impl_->NoteLeaseExpiry(expires);
}

bool WorkerSession::HasLeaseExpired() const { return impl_->HasLeaseExpired(); }

bool WorkerSession::IsLeaseHeld() const { return impl_->IsLeaseHeld(); }

const EndedIncarnation& WorkerSession::ended_incarnation() const {
  return impl_->ended_incarnation_;
}

void WorkerSession::ConfirmLease(WorkerTime expires) {
  impl_->confirmed_lease_ = std::max(impl_->confirmed_lease_, expires);
}

void WorkerSession::PollNow() { impl_->Poll(base::Duration(0)); }

std::uint64_t WorkerSession::last_received_end() const {
  return impl_->last_received_end_;
}

void WorkerSession::OnEndsRecorded(std::uint64_t end) {
  impl_->OnEndsRecorded(end);
}

}  // namespace lapishatch::dispatch::internal
