#include "scheduler/internal/worker_link.h"

#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

/// Longest pause between reports of a worker that is not reached.
constexpr base::Duration kLongestPause{10'000};

/// Failed reports in a row after which a worker is not placed on.
constexpr int kFailuresToDoubt = 2;

}  // namespace

WorkerLink::WorkerLink(const OwnerOptions& options, lifecycle::Epoch epoch,
                       CellWorker worker, base::EventLoop& loop,
                       backends::WorkerClient& client, const Hooks& hooks)
    : options_(options),
      epoch_(epoch),
      worker_(std::move(worker)),
      loop_(loop),
      client_(client),
      hooks_(hooks),
      random_(options.seed ^ std::hash<base::WorkerName>()(worker_.name)),
      backoff_(options.poll_retry, kLongestPause),
      last_good_(loop.Now()),
      scope_(loop) {}

WorkerLink::~WorkerLink() { loop_.Cancel(poll_timer_); }

void WorkerLink::Begin() { Poll(); }

void WorkerLink::Command(lifecycle::WorkerCommand command, Done done) {
  waiting_.push_back({std::move(command), std::move(done)});
  ScheduleFlush();
}

void WorkerLink::ScheduleFlush() {
  if (flush_scheduled_ || ordering_) return;
  flush_scheduled_ = true;
  loop_.Post(scope_.Guard([this] {
    flush_scheduled_ = false;
    Flush();
  }));
}

void WorkerLink::Flush() {
  if (waiting_.empty() || !hooks_.may_act()) return;
  auto sent = std::exchange(waiting_, {});
  if (incarnation_.empty()) {
    return EndAll(sent, CommandEnd::kNotDone, "worker not reached yet");
  }
  lifecycle::WorkerOrder order;
  order.cell = options_.cell;
  order.epoch = epoch_;
  order.worker_incarnation = incarnation_;
  for (const auto& it : sent) order.commands.push_back(it.command);
  ordering_ = true;
  client_.Send(worker_.endpoint, std::move(order),
               scope_.OnLoop([this, sent = std::move(sent)](
                                 const lifecycle::OrderOutcome& it) {
                 ordering_ = false;
                 OnOrder(sent, it);
                 if (!waiting_.empty()) ScheduleFlush();
               }));
}

void WorkerLink::OnOrder(std::vector<Waiting> sent,
                         const lifecycle::OrderOutcome& outcome) {
  if (const auto* stale = std::get_if<lifecycle::StaleEpoch>(&outcome)) {
    return hooks_.deposed(stale->epoch_seen);
  }
  if (std::holds_alternative<lifecycle::IncarnationMismatch>(outcome)) {
    EndAll(sent, CommandEnd::kNotDone, "worker has restarted");
    return SchedulePoll(base::Duration(0));
  }
  if (const auto* it = std::get_if<lifecycle::OrderNotSent>(&outcome)) {
    return EndAll(sent, CommandEnd::kNotDone, it->detail);
  }
  if (const auto* it = std::get_if<lifecycle::OrderOutcomeUnknown>(&outcome)) {
    return EndAll(sent, CommandEnd::kUnknown, it->detail);
  }
  const auto& results = std::get<lifecycle::OrderDone>(outcome).results;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    if (i >= results.size()) {
      sent[i].done(CommandEnd::kUnknown, "the answer has too few results");
      continue;
    }
    const auto end = results[i].done ? CommandEnd::kDone : CommandEnd::kRefused;
    sent[i].done(end, results[i].reason);
  }
}

void WorkerLink::EndAll(std::vector<Waiting>& sent, CommandEnd end,
                        const std::string& reason) {
  for (auto& it : sent) it.done(end, reason);
}

void WorkerLink::Acknowledge(const lifecycle::TaskKey& key) {
  if (held_.erase(key) == 0 || !held_.empty()) return;
  acknowledged_ = seen_;
  if (!polling_) SchedulePoll(options_.poll_spacing);
}

void WorkerLink::SchedulePoll(base::Duration delay) {
  loop_.Cancel(poll_timer_);
  poll_timer_ = loop_.After(delay, scope_.Guard([this] { Poll(); }));
}

void WorkerLink::Poll() {
  if (polling_ || !hooks_.may_act()) return;
  polling_ = true;
  backends::ReportQuery query;
  query.since = acknowledged_;
  query.incarnation = incarnation_;
  query.epoch = epoch_;
  query.cell = options_.cell;
  // With ends that wait to be recorded the answer comes at once in any case.
  const bool wait = reachable_ && held_.empty();
  if (wait) query.wait = options_.poll_wait;
  query.renew = hooks_.renewal(*this);
  client_.FetchReport(worker_.endpoint, query,
                      scope_.OnLoop([this](const backends::ReportResult& it) {
                        polling_ = false;
                        OnReport(it);
                      }));
}

void WorkerLink::OnReport(const backends::ReportResult& result) {
  const auto* report = std::get_if<lifecycle::WorkerReport>(&result);
  if (report == nullptr) return OnFailedReport();
  if (report->epoch_seen > epoch_) return hooks_.deposed(report->epoch_seen);
  OnGoodReport(*report);
}

void WorkerLink::OnGoodReport(const lifecycle::WorkerReport& report) {
  last_good_ = loop_.Now();
  failures_ = 0;
  backoff_.Reset();
  reachable_ = true;
  lost_ = false;
  const bool same_life = report.incarnation == incarnation_;
  if (!same_life) {
    const bool had_life = !incarnation_.empty();
    incarnation_ = report.incarnation;
    held_.clear();
    acknowledged_ = 0;
    if (had_life) hooks_.restarted(*this);
  }
  seen_ = report.sequence;
  last_report_ = report;
  last_report_.tasks.clear();
  hooks_.reported(*this, report, !same_life);
  if (held_.empty()) acknowledged_ = seen_;
  SchedulePoll(held_.empty() ? options_.poll_spacing : options_.poll_retry);
}

void WorkerLink::OnFailedReport() {
  ++failures_;
  reachable_ = false;
  if (failures_ == kFailuresToDoubt) hooks_.unreachable(*this);
  const bool silent_for_long = loop_.Now() - last_good_ > options_.lost_after;
  if (!lost_ && failures_ >= kFailuresToDoubt && silent_for_long) {
    lost_ = true;
    // Its tasks were given up: when it returns it has to tell of all of them.
    acknowledged_ = 0;
    hooks_.lost(*this);
  }
  SchedulePoll(backoff_.Next(random_));
}

}  // namespace lapishatch::scheduler::internal
