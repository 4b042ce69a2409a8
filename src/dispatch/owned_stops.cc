#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {
namespace {

/// The tasks that have to stop and may still run.
struct StopCounts {
  int tasks = 0;
  int overdue = 0;
  /// The task that has had to stop for longest; null if there is none.
  const Member* oldest = nullptr;
  const Unit* unit_of_oldest = nullptr;
};

/// A task is overdue if it had to stop before `overdue_since`.
StopCounts CountStops(const JobTracker& tracker,
                      base::TimePoint overdue_since) {
  StopCounts out;
  for (const auto* unit : tracker.to_stop()) {
    for (const auto& it : unit->members) {
      const auto due = it.stop_order.due_since;
      const bool is_stopping =
          it.state != MemberState::kTerminated && due != base::TimePoint{};
      if (!is_stopping) continue;
      ++out.tasks;
      if (due <= overdue_since) ++out.overdue;
      const bool is_oldest =
          out.oldest == nullptr || due < out.oldest->stop_order.due_since;
      if (!is_oldest) continue;
      out.oldest = &it;
      out.unit_of_oldest = unit;
    }
  }
  return out;
}

}  // namespace

/// Sends an order to each task that has to stop and has none under way. Where
/// that is impossible now, the next round tries again: a round follows each
/// tick, and each report of a worker.
void OwnedService::SendStops() {
  for (auto* unit : tracker_.to_stop()) {
    for (std::size_t i = 0; i < unit->members.size(); ++i) {
      auto& member = unit->members[i];
      const bool can_stop = member.state == MemberState::kUnconfirmed ||
                            member.state == MemberState::kRunning;
      if (!can_stop) continue;
      auto& order = member.stop_order;
      if (order.due_since == base::TimePoint{}) {
        order.due_since = dependencies_.loop.Now();
      }
      if (order.IsUnderWay()) continue;
      SendStop(JobTracker::NameOf(*unit, i), unit->last_run, member.worker,
               order.Begin());
    }
  }
}

void OwnedService::SendStop(const jobs::TaskName& task, int run,
                            const base::WorkerName& name,
                            const StopOrder::Ticket& ticket) {
  auto* worker = FindWorker(name);
  if (worker == nullptr || !permissions_.may_renew()) return;
  if (auto* unit = FindUnitOfRun(task, run)) {
    ++JobTracker::MemberOf(*unit, task.index).stop_order.sent;
  }
  dependencies_.worker_client.Stop(
      worker->session->address(), {task, run, epoch_}, options_.stop_timeout,
      [weak = weak_from_this(), task, run, name,
       ticket](const StopResult& result) {
        const auto self = weak.lock();
        if (self) self->OnStopResult(task, run, name, result, ticket);
      });
}

void OwnedService::OnStopResult(const jobs::TaskName& task, int run,
                                const base::WorkerName& name,
                                const StopResult& result,
                                const StopOrder::Ticket& ticket) {
  const auto* refused = std::get_if<Refused>(&result);
  if (refused != nullptr && refused->reason == RefusalReason::kStaleEpoch) {
    return GiveUpOwnership("a worker has seen a higher epoch");
  }
  auto* unit = FindUnitOfRun(task, run);
  if (unit == nullptr) return;
  auto& member = JobTracker::MemberOf(*unit, task.index);
  if (member.worker != name) return;
  if (std::holds_alternative<Stopped>(result)) {
    member.is_stop_confirmed = true;
    member.confirmed_at = dependencies_.loop.Now();
  }
  // The worker normally reports the end before this delay has passed. If it
  // does not, the order may have been lost and is sent again.
  const auto retry = [weak = weak_from_this(), ticket] {
    const auto self = weak.lock();
    if (self) self->ScheduleDecisionRound();
  };
  dependencies_.loop.After(options_.stop_retry_interval, retry);
}

/// Reports the tasks that have to stop, and logs those that take too long.
void OwnedService::ReportStops() {
  constexpr base::Duration kLogInterval{2'000};
  const auto now = dependencies_.loop.Now();
  const auto stops = CountStops(tracker_, now - options_.stop_overdue_after);
  SetGauge(stopping_gauge_, stops.tasks);
  if (stops.overdue == 0 || now < next_stop_log_at_) return;
  next_stop_log_at_ = now + kLogInterval;
  const auto& member = *stops.oldest;
  const auto task = JobTracker::NameOf(
      *stops.unit_of_oldest,
      static_cast<std::size_t>(&member - stops.unit_of_oldest->members.data()));
  const auto* worker = FindWorker(member.worker);
  base::Log(base::events::kStopOverdue,
            {{"service", service_.str()},
             {"overdue", stops.overdue},
             {"request", task.job},
             {"task", TextOf(task)},
             {"run", stops.unit_of_oldest->last_run},
             {"worker", member.worker},
             {"waited_ms", (now - member.stop_order.due_since).count()},
             {"known", worker != nullptr},
             {"reachable", worker != nullptr && worker->session->IsReachable()},
             {"under_way", member.stop_order.IsUnderWay()},
             {"sent", member.stop_order.sent}});
}

}  // namespace lapishatch::dispatch::internal
