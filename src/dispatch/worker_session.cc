#include "dispatch/internal/worker_session.h"

#include <algorithm>
#include <utility>

namespace lapishatch::dispatch::internal {

class WorkerSession::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, WorkerPort& port, WorkerEntry entry, Epoch epoch,
       SessionOptions options, Events events)
      : loop_(loop),
        port_(port),
        entry_(std::move(entry)),
        epoch_(epoch),
        options_(options),
        events_(std::move(events)) {}

  /// `wait` is zero for a look that is answered at once.
  void Hold(base::Duration wait) {
    if (!events_.may_renew()) {
      is_reached_ = false;
      return ArmHold(options_.retry);
    }
    ++turn_;
    HoldOrder order;
    order.epoch = epoch_;
    order.ends_recorded = recorded_;
    order.wait = wait;
    // A worker that did not answer is only asked, not renewed, until it does:
    // otherwise it could never be certain that its lease has run out.
    if (is_heard_ && is_reached_) {
      const auto lease = std::min(options_.lease, events_.longest_lease());
      order.expires = Clock() + lease.count();
      NoteExpiry(*order.expires);
    }
    const auto sent = loop_.Now();
    answer_due_ = std::min(answer_due_, sent + wait);
    port_.Hold({entry_.name, entry_.endpoint}, order,
               wait + options_.answer_timeout,
               [weak = weak_from_this(), sent](HoldResult result) {
                 if (const auto self = weak.lock()) {
                   self->OnResult(std::move(result), sent);
                 }
               });
  }

  WorkerClock Clock() const {
    return clock_ + (loop_.Now() - clock_at_).count();
  }

  bool HasLapsed() const {
    const auto passed = static_cast<double>((loop_.Now() - clock_at_).count());
    const auto at_least =
        clock_ + static_cast<WorkerClock>(passed * (1 - options_.clock_drift));
    return at_least > latest_expiry_ + options_.clock_slack.count();
  }

  bool IsReached() const {
    const auto silence = loop_.Now() - clock_at_;
    return is_reached_ && silence < options_.wait + options_.answer_timeout;
  }

  void NoteExpiry(WorkerClock expires) {
    latest_expiry_ = std::max(latest_expiry_, expires);
  }

  void EndsRecorded(std::uint64_t number) {
    recorded_ = std::max(recorded_, number);
    if (!is_waiting_for_record_ || recorded_ < received_) return;
    is_waiting_for_record_ = false;
    Hold(options_.wait);
  }

 private:
  friend class WorkerSession;

  void OnResult(HoldResult result, base::TimePoint sent) {
    if (auto* news = std::get_if<WorkerNews>(&result)) {
      return OnNews(std::move(*news), sent);
    }
    if (std::holds_alternative<OtherLife>(result)) {
      return events_.on_other_life();
    }
    if (const auto* refused = std::get_if<Refused>(&result)) {
      if (refused->reason == Refusal::kEpoch) return events_.on_superseded();
    }
    is_reached_ = false;
    ArmHold(options_.retry);
  }

  void OnNews(WorkerNews news, base::TimePoint sent) {
    if (!is_heard_) {
      // A former owner may have sent a renewal until now, under this lease's
      // length; from this call on the worker refuses its orders.
      NoteExpiry(news.clock + options_.lease.count() +
                 options_.clock_slack.count());
    }
    is_heard_ = true;
    is_reached_ = true;
    clock_ = news.clock;
    clock_at_ = loop_.Now();
    answer_due_ = base::TimePoint::max();
    std::erase_if(news.ended, [this](const EndedTask& it) {
      return it.number <= received_;
    });
    if (!news.ended.empty()) received_ = news.ended.back().number;
    is_waiting_for_record_ = received_ > recorded_;
    const auto turn = turn_;
    const auto weak = weak_from_this();
    events_.on_news(std::move(news), sent);
    const auto self = weak.lock();
    if (!self || turn_ != turn) return;
    if (!is_waiting_for_record_) return Hold(options_.wait);
    ArmHold(options_.record_patience);
  }

  void ArmHold(base::Duration delay) {
    loop_.After(delay, [weak = weak_from_this(), turn = turn_] {
      const auto self = weak.lock();
      if (!self || self->turn_ != turn) return;
      self->is_waiting_for_record_ = false;
      self->Hold(base::Duration(0));
    });
  }

  base::EventLoop& loop_;
  WorkerPort& port_;
  WorkerEntry entry_;
  const Epoch epoch_;
  const SessionOptions options_;
  const Events events_;

  bool is_heard_ = false;
  bool is_reached_ = false;
  /// The worker's clock in its last answer, and when that came.
  WorkerClock clock_ = 0;
  base::TimePoint clock_at_{};
  base::TimePoint answer_due_ = base::TimePoint::max();
  WorkerClock latest_expiry_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t recorded_ = 0;
  bool is_waiting_for_record_ = false;
  /// Counts the calls; a timer of an earlier one does nothing.
  std::uint64_t turn_ = 0;
};

WorkerSession::WorkerSession(base::EventLoop& loop, WorkerPort& port,
                             WorkerEntry entry, Epoch epoch,
                             SessionOptions options, Events events)
    : impl_(std::make_shared<Impl>(loop, port, std::move(entry), epoch, options,
                                   std::move(events))) {}

WorkerSession::~WorkerSession() = default;

void WorkerSession::Start() { impl_->Hold(base::Duration(0)); }

const WorkerEntry& WorkerSession::entry() const { return impl_->entry_; }

void WorkerSession::SetEntry(WorkerEntry entry) {
  impl_->entry_ = std::move(entry);
}

WorkerAddress WorkerSession::address() const {
  return {impl_->entry_.name, impl_->entry_.endpoint};
}

bool WorkerSession::is_heard() const { return impl_->is_heard_; }

bool WorkerSession::IsReached() const { return impl_->IsReached(); }

base::TimePoint WorkerSession::LastAnswer() const { return impl_->clock_at_; }

base::TimePoint WorkerSession::AnswerDue() const { return impl_->answer_due_; }

void WorkerSession::MarkUnreached() { impl_->is_reached_ = false; }

WorkerClock WorkerSession::Clock() const { return impl_->Clock(); }

void WorkerSession::NoteExpiry(WorkerClock expires) {
  impl_->NoteExpiry(expires);
}

bool WorkerSession::HasLapsed() const { return impl_->HasLapsed(); }

std::uint64_t WorkerSession::ends_received() const { return impl_->received_; }

void WorkerSession::EndsRecorded(std::uint64_t number) {
  impl_->EndsRecorded(number);
}

}  // namespace lapishatch::dispatch::internal
