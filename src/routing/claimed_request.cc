#include "routing/claimed_request.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lapishatch::routing {

base::Duration ClaimContext::RetryAfter() {
  const auto least = options.retry_after.count();
  std::uniform_int_distribution<std::int64_t> spread(least, 3 * least);
  return base::Duration(spread(random));
}

void ClaimedRequest::Start(ClaimContext& context, ServiceDispatcher& dispatcher,
                           RoutedRequest request, double weight,
                           base::TimePoint deadline, Done done) {
  auto it =
      std::make_shared<ClaimedRequest>(context, dispatcher, std::move(request),
                                       weight, deadline, std::move(done));
  context.active.insert(it);
  it->Begin();
}

ClaimedRequest::ClaimedRequest(ClaimContext& context,
                               ServiceDispatcher& dispatcher,
                               RoutedRequest request, double weight,
                               base::TimePoint deadline, Done done)
    : context_(context),
      dispatcher_(dispatcher),
      request_(std::move(request)),
      weight_(weight),
      deadline_(deadline),
      done_(std::move(done)),
      reread_(context_.options.first_reread, context_.options.longest_reread) {}

void ClaimedRequest::Begin() {
  claim_.organisation = request_.organisation;
  claim_.key = request_.key;
  claim_.fingerprint = FingerprintOf(request_);
  claim_.attempt = base::AttemptId(base::MakeUniqueText("a-"));
  claim_.entry = context_.incarnation;
  claim_.claimed_at_unix_ms = context_.unix_ms();
  claim_.deadline = request_.deadline;
  row_key_ = ClaimRowKey(claim_.organisation, claim_.key);
  if (AnswerFromMemory() || RefuseAtOnce()) return;
  ArmTimer(deadline_ - context_.loop.Now());
  for (const auto step : machine_.Start()) Do(step);
}

bool ClaimedRequest::AnswerFromMemory() {
  const auto* pending = context_.keeper->PendingOn(row_key_);
  if (pending == nullptr) return false;
  if (pending->state == ClaimState::kReleased) {
    Refuse(Refusal::kKeyInProgress, base::WorkDone::kNotRun,
           "an earlier request with this key was not run and its claim is "
           "being cleared",
           context_.RetryAfter());
  } else if (pending->fingerprint != claim_.fingerprint) {
    Do(ClaimStep::kRefuseOtherContent);
  } else if (pending->state == ClaimState::kDone) {
    Answer(pending->outcome);
  } else {
    Do(ClaimStep::kRefuseUnknown);
  }
  return true;
}

bool ClaimedRequest::RefuseAtOnce() {
  if (auto refusal = dispatcher_.WouldRefuse(request_, weight_, deadline_)) {
    not_dispatched_ = std::move(*refusal);
    Do(ClaimStep::kRefuseNotRun);
    return true;
  }
  const bool room =
      !context_.keeper->Full() && context_.window.TryStart(context_.loop.Now());
  if (room) return false;
  Refuse(Refusal::kCannotNow, base::WorkDone::kNotRun,
         "the platform cannot record the request now", context_.RetryAfter());
  return true;
}

void ClaimedRequest::Feed(ClaimEvent event) {
  for (const auto step : machine_.On(event)) Do(step);
}

void ClaimedRequest::Do(ClaimStep step) {
  switch (step) {
    case ClaimStep::kWriteClaim:
      return WriteClaim();
    case ClaimStep::kReadClaim:
      return ReadClaim();
    case ClaimStep::kReadClaimLater:
      context_.loop.After(reread_.Next(context_.random),
                          [weak = weak_from_this()] {
                            if (const auto self = weak.lock()) {
                              self->ReadClaim();
                            }
                          });
      return;
    case ClaimStep::kJoinQueue:
      return JoinQueue();
    case ClaimStep::kDispatch:
      // The dispatcher sends as soon as it is told that it may.
      return;
    case ClaimStep::kRecordOutcome:
      return RecordOutcome();
    case ClaimStep::kRecordUnknown:
      base::Log(base::events::kRequestOutcomeUnknown,
                {{"request", request_.id},
                 {"organisation", request_.organisation},
                 {"detail", lost_.detail}});
      return context_.keeper->Record(ClaimWith(ClaimState::kUnknown), version_,
                                     {});
    case ClaimStep::kRelease:
      return context_.keeper->Release(ClaimWith(ClaimState::kReleased));
    case ClaimStep::kAnswer:
      return Answer(std::move(answer_));
    case ClaimStep::kReplay:
      return Replay();
    case ClaimStep::kRefuseNotRun:
      return Refuse(not_dispatched_.reason, base::WorkDone::kNotRun,
                    not_dispatched_.detail, not_dispatched_.retry_after);
    case ClaimStep::kRefuseInProgress:
      return Refuse(Refusal::kKeyInProgress, base::WorkDone::kUnknown,
                    "a request with this key is in progress",
                    context_.RetryAfter());
    case ClaimStep::kRefuseUnknown:
      return Refuse(
          lost_.timed_out ? Refusal::kDeadlinePassed : Refusal::kOutcomeUnknown,
          base::WorkDone::kUnknown,
          "the request was sent to a runner or claimed, and what became of it "
          "is unknown; it will not be run again: " +
              lost_.detail,
          base::Duration(0));
    case ClaimStep::kRefuseOtherContent:
      return Refuse(Refusal::kKeyReused, base::WorkDone::kNotRun,
                    "the key was used for a request with other content",
                    base::Duration(0));
    case ClaimStep::kRefuseUnreadable:
      return Refuse(Refusal::kCannotNow, base::WorkDone::kUnknown,
                    "a request with this key was taken before and its outcome "
                    "cannot be read now",
                    context_.RetryAfter());
  }
}

Claim ClaimedRequest::ClaimWith(ClaimState state) const {
  Claim claim = claim_;
  claim.state = state;
  return claim;
}

void ClaimedRequest::ArmTimer(base::Duration delay) {
  context_.loop.Cancel(timer_);
  timer_ = context_.loop.After(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->not_dispatched_ = {Refusal::kDeadlinePassed,
                             "the deadline passed before the claim was certain",
                             self->context_.RetryAfter()};
    self->Feed(ClaimEvent::kGivenUp);
  });
}

void ClaimedRequest::WriteClaim() {
  store::Transaction transaction;
  transaction.conditions.push_back({row_key_, version_});
  transaction.writes.push_back({row_key_, EncodeClaim(claim_)});
  written_at_ = context_.loop.Now();
  ++open_calls_;
  context_.table.Commit(
      std::move(transaction),
      [weak = weak_from_this()](const store::CommitResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        self->context_.loop.Post([weak, result] {
          const auto it = weak.lock();
          if (!it) return;
          --it->open_calls_;
          it->OnWritten(result);
          it->LeaveIfOver();
        });
      });
}

void ClaimedRequest::NoteWindow(bool answered) {
  auto& window = context_.window;
  const bool was_closed = window.closed();
  const auto now = context_.loop.Now();
  window.Finish(answered, now - written_at_, now, context_.random);
  if (window.closed() == was_closed) return;
  base::Log(was_closed ? base::events::kClaimsResumed
                       : base::events::kClaimsStopped);
}

void ClaimedRequest::OnWritten(const store::CommitResult& result) {
  const auto* committed = std::get_if<store::Committed>(&result);
  const bool conflict = std::holds_alternative<store::Conflict>(result);
  if (std::exchange(first_write_, false)) {
    NoteWindow(committed != nullptr || conflict);
  }
  if (committed != nullptr) {
    version_ = committed->versions.empty() ? version_ + 1
                                           : committed->versions.front();
    return Feed(ClaimEvent::kClaimWritten);
  }
  if (conflict) return Feed(ClaimEvent::kClaimConflict);
  if (std::holds_alternative<store::UnknownOutcome>(result)) {
    return Feed(ClaimEvent::kClaimUnknown);
  }
  not_dispatched_ = {Refusal::kCannotNow,
                     "the platform cannot record the request now",
                     context_.RetryAfter()};
  Feed(ClaimEvent::kClaimNotWritten);
}

void ClaimedRequest::ReadClaim() {
  if (machine_.ended()) return;
  ++open_calls_;
  context_.table.Read(
      row_key_, [weak = weak_from_this()](const store::ReadResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        self->context_.loop.Post([weak, result] {
          const auto it = weak.lock();
          if (!it) return;
          --it->open_calls_;
          it->OnRead(result);
          it->LeaveIfOver();
        });
      });
}

void ClaimedRequest::OnRead(const store::ReadResult& result) {
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  Feed(row == nullptr ? ClaimEvent::kRowUnreadable : Classify(*row));
}

ClaimEvent ClaimedRequest::Classify(const std::optional<store::Row>& row) {
  if (!row) {
    version_ = store::kAbsent;
    return ClaimEvent::kRowIsFree;
  }
  const auto claim = DecodeClaim(row->value);
  if (!claim) return ClaimEvent::kRowUnreadable;
  if (claim->organisation != claim_.organisation || claim->key != claim_.key) {
    return ClaimEvent::kRowOtherContent;
  }
  if (claim->attempt == claim_.attempt) {
    version_ = row->version;
    return ClaimEvent::kRowIsOurs;
  }
  if (claim->state == ClaimState::kReleased) {
    version_ = row->version;
    return ClaimEvent::kRowIsFree;
  }
  if (claim->fingerprint != claim_.fingerprint) {
    return ClaimEvent::kRowOtherContent;
  }
  found_ = *claim;
  if (claim->state == ClaimState::kDone) return ClaimEvent::kRowDone;
  const bool open = claim->state == ClaimState::kClaimed;
  return open && !HolderIsGone(*claim) ? ClaimEvent::kRowInProgress
                                       : ClaimEvent::kRowUnknown;
}

bool ClaimedRequest::HolderIsGone(const Claim& claim) const {
  if (context_.entries.IsGone(claim.entry)) return true;
  const base::Duration age(context_.unix_ms() - claim.claimed_at_unix_ms);
  return age > claim.deadline + context_.options.holder_grace;
}

void ClaimedRequest::JoinQueue() {
  if (std::exchange(joined_queue_, true)) return;
  context_.loop.Cancel(timer_);
  DispatchJob job;
  job.request = request_;
  job.weight = weight_;
  job.deadline = deadline_;
  job.may_send = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return self && self->OnSlot();
  };
  job.did_not_run = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Feed(ClaimEvent::kRunnerDidNotRun);
  };
  job.ended = [weak = weak_from_this()](DispatchResult result) {
    if (const auto self = weak.lock()) self->OnDispatchEnded(std::move(result));
  };
  dispatcher_.Submit(std::move(job));
}

bool ClaimedRequest::OnSlot() {
  const auto steps = machine_.On(ClaimEvent::kSlotGiven);
  return std::find(steps.begin(), steps.end(), ClaimStep::kDispatch) !=
         steps.end();
}

void ClaimedRequest::OnDispatchEnded(DispatchResult result) {
  if (auto* answer = std::get_if<backends::RunnerResponse>(&result)) {
    answer_ = {answer->status, std::move(answer->content_type),
               std::move(answer->body)};
    return Feed(ClaimEvent::kRunnerAnswered);
  }
  if (auto* lost = std::get_if<DispatchLost>(&result)) {
    lost_ = std::move(*lost);
    return Feed(ClaimEvent::kRunnerLost);
  }
  not_dispatched_ = std::move(std::get<NotDispatched>(result));
  Feed(ClaimEvent::kGivenUp);
}

void ClaimedRequest::RecordOutcome() {
  auto claim = ClaimWith(ClaimState::kDone);
  claim.outcome = answer_;
  const auto left =
      std::max(deadline_ - context_.loop.Now(), base::Duration(0));
  ArmTimer(std::min(left, context_.options.record_patience));
  context_.keeper->Record(std::move(claim), version_,
                          [weak = weak_from_this()] {
                            const auto self = weak.lock();
                            if (self) self->Feed(ClaimEvent::kOutcomeRecorded);
                          });
}

void ClaimedRequest::Replay() {
  if (found_.outcome_object.empty()) return Answer(found_.outcome);
  context_.objects.Get(
      found_.outcome_object,
      [weak = weak_from_this()](const store::GetResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        self->context_.loop.Post([weak, result] {
          if (const auto it = weak.lock()) it->OnOutcomeRead(result);
        });
      });
}

void ClaimedRequest::OnOutcomeRead(const store::GetResult& result) {
  const auto* body = std::get_if<std::optional<std::string>>(&result);
  if (body != nullptr && *body) {
    found_.outcome.body = **body;
    return Answer(found_.outcome);
  }
  Refuse(Refusal::kCannotNow, base::WorkDone::kRan,
         "the request ran and its answer cannot be read now",
         context_.RetryAfter());
}

void ClaimedRequest::Refuse(Refusal reason, base::WorkDone work,
                            std::string detail, base::Duration retry_after) {
  Answer(RequestRefused{reason, work, std::move(detail), retry_after});
}

void ClaimedRequest::Answer(RequestOutcome outcome) {
  context_.loop.Cancel(timer_);
  if (!done_) return;
  std::exchange(done_, {})(std::move(outcome));
  LeaveIfOver();
}

void ClaimedRequest::LeaveIfOver() {
  if (done_ || open_calls_ > 0) return;
  // The caller may be the only other one that holds this.
  const auto self = shared_from_this();
  context_.active.erase(self);
}

}  // namespace lapishatch::routing
