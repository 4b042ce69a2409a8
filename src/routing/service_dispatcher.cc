#include "routing/service_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lapishatch::routing {
namespace {

/// First status that says the runner could not do its work.
constexpr int kFirstServerError = 500;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

bool Contains(const std::vector<RunnerIndex>& list, RunnerIndex runner) {
  return std::find(list.begin(), list.end(), runner) != list.end();
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(
    base::EventLoop& loop, backends::RunnerClient& client,
    const RunnerDirectory& directory, base::ServiceName service,
    base::DomainName domain, DispatcherOptions options, std::uint64_t seed)
    : loop_(loop),
      client_(client),
      directory_(directory),
      service_(std::move(service)),
      options_(options),
      random_(seed),
      queue_(options.queue),
      pool_(std::move(domain), options.pool, seed + 1),
      budget_(options.retry_share, options.retry_limit) {}

void ServiceDispatcher::Start() {
  pool_.Update(directory_.Runners(service_), loop_.Now());
  listed_at_ = assessed_at_ = loop_.Now();
  Tick();
}

void ServiceDispatcher::Submit(DispatchJob job) {
  const auto token = ++last_token_;
  auto work = std::make_shared<Work>();
  work->job = std::move(job);
  works_.emplace(token, std::move(work));
  if (queue_.empty()) {
    if (const auto runner = pool_.Pick(loop_.Now(), {})) {
      Send(token, *runner);
      return;
    }
  }
  Enqueue(token);
  Pump();
}

std::optional<NotDispatched> ServiceDispatcher::WouldRefuse(
    const RoutedRequest& request, double weight, base::TimePoint deadline) {
  if (!pool_.HasRunners()) {
    return CannotNow(Refusal::kCannotNow, "no runner of the service is up");
  }
  if (queue_.empty() && pool_.Pick(loop_.Now(), {})) return std::nullopt;
  if (CanMeet(request, weight, deadline)) return std::nullopt;
  return CannotNow(Refusal::kCannotNow,
                   "the deadline cannot be met behind the requests that wait");
}

bool ServiceDispatcher::CanMeet(const RoutedRequest& request, double weight,
                                base::TimePoint deadline) {
  const auto mean = static_cast<double>(pool_.mean_latency().count());
  if (mean == 0) return true;
  const double left = static_cast<double>((deadline - loop_.Now()).count());
  const double wait = ExpectedWaitMs(request, weight, mean);
  return wait <= options_.max_wait_share * left &&
         wait + options_.spare_means * mean <= left;
}

double ServiceDispatcher::ExpectedWaitMs(const RoutedRequest& request,
                                         double weight, double mean_ms) {
  // Little's law: what is open on the runners, over the time of an answer, is
  // the rate at which slots come free. Those that are sent of the classes
  // before take their part of it, but never the whole.
  const double rate = std::max(pool_.in_flight(), 1) / mean_ms;
  const double least = rate / options_.queue.lowest_class_every;
  const double own_rate =
      std::max(rate - rates_.Before(request.work_class, loop_.Now()), least);
  const auto before =
      static_cast<double>(queue_.SizeBefore(request.work_class));
  const double ahead =
      queue_.Ahead(request.organisation, request.work_class, weight);
  return before / rate + ahead / own_rate;
}

NotDispatched ServiceDispatcher::CannotNow(Refusal reason, std::string detail) {
  const auto least = options_.retry_after.count();
  std::uniform_int_distribution<std::int64_t> spread(least, 3 * least);
  return {reason, std::move(detail), base::Duration(spread(random_))};
}

base::Duration ServiceDispatcher::TimeLeft(const Work& work) const {
  return work.job.deadline - loop_.Now();
}

void ServiceDispatcher::Enqueue(RequestToken token) {
  const auto work = works_.at(token);
  const auto& request = work->job.request;
  auto refusal = WouldRefuse(request, work->job.weight, work->job.deadline);
  if (refusal) return End(token, std::move(*refusal));
  const auto pushed = queue_.Push(token, request.organisation,
                                  request.work_class, work->job.weight);
  if (pushed.displaced) {
    End(*pushed.displaced, CannotNow(Refusal::kOverShare,
                                     "gave way to an organisation that has "
                                     "less than its share waiting"));
  }
  if (!pushed.queued) {
    return End(token, CannotNow(Refusal::kOverShare,
                                "the organisation has its share waiting"));
  }
  ArmTimer(token, *work);
}

void ServiceDispatcher::WaitInFront(RequestToken token) {
  const auto work = works_.at(token);
  const auto& request = work->job.request;
  queue_.PushFront(token, request.organisation, request.work_class,
                   work->job.weight);
  ArmTimer(token, *work);
}

void ServiceDispatcher::ArmTimer(RequestToken token, Work& work) {
  // The caller is told while it still listens, not when it has left.
  const auto left = TimeLeft(work);
  const auto reserve = std::min(pool_.mean_latency(), left / 2);
  work.timer = loop_.After(left - reserve, [weak = weak_from_this(), token] {
    if (const auto self = weak.lock()) self->OnWaitedTooLong(token);
  });
}

void ServiceDispatcher::OnWaitedTooLong(RequestToken token) {
  if (!queue_.Remove(token)) return;
  End(token, CannotNow(Refusal::kDeadlinePassed,
                       "no slot came free early enough for the deadline"));
}

void ServiceDispatcher::Pump() {
  while (!queue_.empty()) {
    const auto runner = pool_.Pick(loop_.Now(), {});
    if (!runner) return;
    const auto token = queue_.Pop();
    if (!token) return;
    const auto work = works_.at(*token);
    loop_.Cancel(work->timer);
    if (!pool_.IsSuspect(*runner) || !Contains(work->tried, *runner)) {
      Send(*token, *runner);
      continue;
    }
    // It was lost there: rather wait for another, or for what a ping tells.
    const auto other = pool_.Pick(loop_.Now(), work->tried);
    if (!other) return WaitInFront(*token);
    Send(*token, *other);
  }
}

void ServiceDispatcher::Send(RequestToken token, RunnerIndex runner) {
  const auto work = works_.at(token);
  const auto left = TimeLeft(*work);
  if (left <= base::Duration(0)) {
    return End(token, CannotNow(Refusal::kDeadlinePassed,
                                "the deadline passed before a runner was "
                                "free"));
  }
  if (work->job.may_send && !work->job.may_send()) {
    works_.erase(token);
    return;
  }
  ++work->sends;
  ++work->runs;
  ++work->open_sends;
  work->tried.push_back(runner);
  pool_.OnSent(runner);
  rates_.Add(work->job.request.work_class, loop_.Now());
  const auto send = ++last_send_;
  open_.emplace(send, Open{token, runner, loop_.Now(), OverdueAt(*work)});
  const auto& request = work->job.request;
  backends::RunnerRequest out{request.id,
                              request.service,
                              request.organisation,
                              request.work_class,
                              left,
                              request.content_type,
                              request.body};
  client_.Send(
      pool_.endpoint(runner), std::move(out),
      [weak = weak_from_this(), send](backends::RunnerOutcome outcome) mutable {
        const auto self = weak.lock();
        if (!self) return;
        self->loop_.Post([weak, send, outcome = std::move(outcome)]() mutable {
          const auto dispatcher = weak.lock();
          if (!dispatcher) return;
          dispatcher->OnOutcome(send, std::move(outcome));
        });
      });
}

void ServiceDispatcher::OnOutcome(std::uint64_t send,
                                  backends::RunnerOutcome outcome) {
  const auto it = open_.find(send);
  if (it == open_.end()) return;
  const auto open = it->second;
  open_.erase(it);
  const auto work = works_.find(open.token);
  if (work != works_.end()) --work->second->open_sends;
  const bool was_quarantined = pool_.IsQuarantined(open.runner, loop_.Now());
  std::visit(
      Overloaded{
          [&](backends::RunnerResponse& answer) {
            OnAnswer(open, std::move(answer));
          },
          [&](const backends::RunnerRefused& refused) {
            OnRefused(open, refused);
          },
          [&](const backends::RunnerNotReached& not_reached) {
            OnNotReached(open, not_reached);
          },
          [&](const backends::RunnerResponseLost& lost) { OnLost(open, lost); },
      },
      outcome);
  if (!was_quarantined && pool_.IsQuarantined(open.runner, loop_.Now())) {
    base::Log(base::events::kRunnerQuarantined,
              {{"runner", pool_.name(open.runner)}, {"service", service_}});
  }
  Pump();
}

void ServiceDispatcher::OnAnswer(const Open& open,
                                 backends::RunnerResponse answer) {
  const auto now = loop_.Now();
  const bool failed = answer.status >= kFirstServerError;
  pool_.OnAnswer(open.runner, answer.load, failed, now - open.sent_at, now);
  if (!failed) {
    budget_.OnSuccess();
    answer_times_.Add(now - open.sent_at);
  }
  const auto it = works_.find(open.token);
  if (it == works_.end()) return;
  if (failed && MayRunAgain(*it->second, open.runner)) {
    return SendElsewhere(open.token, "the runner failed");
  }
  End(open.token, std::move(answer));
}

void ServiceDispatcher::OnRefused(const Open& open,
                                  const backends::RunnerRefused& refused) {
  pool_.OnRefused(open.runner, refused.load, loop_.Now());
  const auto it = works_.find(open.token);
  if (it == works_.end()) return;
  --it->second->runs;
  if (it->second->job.did_not_run) it->second->job.did_not_run();
  if (it->second->open_sends > 0) return;
  SendElsewhere(open.token, "refused by runners: " + refused.reason);
}

void ServiceDispatcher::OnNotReached(
    const Open& open, const backends::RunnerNotReached& not_reached) {
  pool_.OnNotReached(open.runner, loop_.Now());
  const auto it = works_.find(open.token);
  if (it == works_.end()) return;
  --it->second->runs;
  if (it->second->job.did_not_run) it->second->job.did_not_run();
  if (it->second->open_sends > 0) return;
  SendElsewhere(open.token, "runners not reached: " + not_reached.detail);
}

void ServiceDispatcher::OnLost(const Open& open,
                               const backends::RunnerResponseLost& lost) {
  pool_.OnLost(open.runner, loop_.Now());
  const auto it = works_.find(open.token);
  if (it == works_.end() || it->second->open_sends > 0) return;
  if (MayRunAgain(*it->second, open.runner)) {
    return SendElsewhere(open.token, lost.detail);
  }
  End(open.token, DispatchLost{lost.timed_out, lost.detail});
}

bool ServiceDispatcher::MayRunAgain(const Work& work, RunnerIndex) {
  return work.job.request.idempotent && work.runs < options_.max_runs &&
         work.sends < options_.max_sends &&
         TimeLeft(work) > pool_.mean_latency() && budget_.TrySpend();
}

void ServiceDispatcher::SendElsewhere(RequestToken token,
                                      const std::string& detail) {
  const auto work = works_.at(token);
  if (work->sends >= options_.max_sends) {
    if (work->runs > 0) return End(token, DispatchLost{false, detail});
    return End(token, CannotNow(Refusal::kCannotNow, detail));
  }
  if (const auto runner = pool_.Pick(loop_.Now(), work->tried)) {
    return Send(token, *runner);
  }
  WaitInFront(token);
}

void ServiceDispatcher::GiveUpSends(RunnerIndex silent) {
  std::vector<RequestToken> tokens;
  for (auto& [send, open] : open_) {
    if (open.runner != silent) continue;
    const auto it = works_.find(open.token);
    if (it == works_.end() || !it->second->job.request.idempotent) continue;
    if (it->second->open_sends > 1) continue;
    if (!MayRunAgain(*it->second, silent)) continue;
    tokens.push_back(open.token);
    // What this send still brings belongs to nobody.
    open.token = 0;
    --it->second->open_sends;
  }
  for (const auto token : tokens) SendElsewhere(token, "the runner is silent");
}

base::TimePoint ServiceDispatcher::OverdueAt(const Work& work) const {
  if (!work.job.request.idempotent) return base::TimePoint::max();
  const auto part = [](base::Duration time, double factor) {
    return base::Duration(
        std::llround(factor * static_cast<double>(time.count())));
  };
  const auto most = part(TimeLeft(work), options_.max_progress_share);
  const auto usual = answer_times_.usual_longest();
  if (!usual) return loop_.Now() + most;
  const auto wanted =
      std::max(part(*usual, options_.progress_factor), options_.progress_floor);
  return loop_.Now() + std::max(*usual, std::min(wanted, most));
}

void ServiceDispatcher::SendOverdue() {
  // While requests wait, a second send would take the place of a first.
  if (!queue_.empty()) return;
  std::vector<RequestToken> tokens;
  for (const auto& [send, open] : open_) {
    if (open.overdue_at <= loop_.Now()) tokens.push_back(open.token);
  }
  for (const auto token : tokens) SendOverdue(token);
}

void ServiceDispatcher::SendOverdue(RequestToken token) {
  const auto it = works_.find(token);
  if (it == works_.end() || it->second->open_sends != 1) return;
  const auto runner = pool_.Pick(loop_.Now(), it->second->tried);
  if (!runner || !MayRunAgain(*it->second, *runner)) return;
  Send(token, *runner);
}

void ServiceDispatcher::End(RequestToken token, DispatchResult result) {
  const auto it = works_.find(token);
  if (it == works_.end()) return;
  const auto work = it->second;
  works_.erase(it);
  loop_.Cancel(work->timer);
  auto* not_dispatched = std::get_if<NotDispatched>(&result);
  if (not_dispatched != nullptr && work->runs > 0) {
    // An earlier send of it may have run.
    result = DispatchLost{not_dispatched->reason == Refusal::kDeadlinePassed,
                          std::move(not_dispatched->detail)};
  }
  work->job.ended(std::move(result));
}

void ServiceDispatcher::Tick() {
  const auto now = loop_.Now();
  if (now - listed_at_ >= options_.list_every) {
    listed_at_ = now;
    pool_.Update(directory_.Runners(service_), now);
  }
  if (now - assessed_at_ >= options_.assess_every) {
    assessed_at_ = now;
    pool_.Assess(now);
  }
  PingDue();
  Pump();
  SendOverdue();
  loop_.After(options_.tick, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

void ServiceDispatcher::PingDue() {
  const auto due = pool_.TakePingsDue(loop_.Now(), !queue_.empty());
  for (const auto runner : due) {
    client_.Ping(
        pool_.endpoint(runner), options_.pool.health.ping_timeout,
        [weak = weak_from_this(), runner](const backends::PingResult& result) {
          const auto self = weak.lock();
          if (!self) return;
          self->loop_.Post([weak, runner, result] {
            const auto dispatcher = weak.lock();
            if (dispatcher) dispatcher->OnPing(runner, result);
          });
        });
  }
}

void ServiceDispatcher::OnPing(RunnerIndex runner,
                               const backends::PingResult& result) {
  const auto now = loop_.Now();
  if (const auto* load = std::get_if<backends::RunnerLoad>(&result)) {
    pool_.OnPing(runner, *load, now);
    return Pump();
  }
  const bool known = pool_.IsUnreachable(runner);
  if (!pool_.OnPingFailed(runner, now)) return;
  if (!known) {
    base::Log(base::events::kRunnerUnreachable,
              {{"runner", pool_.name(runner)}, {"service", service_}});
  }
  GiveUpSends(runner);
  Pump();
}

}  // namespace lapishatch::routing
