#include "dispatch/internal/worker_drain.h"

#include <algorithm>

namespace lapishatch::dispatch::internal {
namespace {

constexpr int kWholePercent = 100;

base::Duration Scale(base::Duration time, double share) {
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

bool OutlivesWorker(const Unit& unit, const Departures& departures,
                    const DrainOptions& options, base::TimePoint now) {
  return std::any_of(unit.members.begin(), unit.members.end(),
                     [&](const Member& it) {
                       if (it.state == MemberState::kTerminated) return false;
                       const auto departure = departures.find(it.worker);
                       if (departure == departures.end()) return false;
                       // A service task never ends by itself.
                       if (unit.step_run->step->is_service) return true;
                       const auto end = now + RemainingWork(unit, it, now);
                       return end + options.end_margin > departure->second;
                     });
}

}  // namespace

base::Duration RemainingWork(const Unit& unit, const Member& member,
                             base::TimePoint now) {
  const auto zero = base::Duration(0);
  const auto estimate = unit.step_run->step->run_time_estimate;
  if (member.last_progress_at == base::TimePoint{}) {
    return std::max(zero, estimate - (now - unit.started_at));
  }
  const auto since = now - member.last_progress_at;
  const int left = kWholePercent - member.percent;
  const int gained = member.percent - member.first_percent;
  const auto elapsed = member.last_progress_at - member.first_seen_at;
  if (gained <= 0 || elapsed <= zero) {
    const double share = static_cast<double>(left) / kWholePercent;
    return std::max(zero, Scale(estimate, share) - since);
  }
  const double share = static_cast<double>(left) / gained;
  return std::max(zero, Scale(elapsed, share) - since);
}

std::vector<Unit*> FindUnitsToDrain(const JobTracker& tracker,
                                    const Departures& departures,
                                    const DrainOptions& options,
                                    base::TimePoint now) {
  std::vector<Unit*> out;
  if (departures.empty()) return out;
  for (auto* unit : tracker.active()) {
    const bool may_stop =
        !unit->is_stopping && unit->phase != jobs::UnitPhase::kDone;
    if (may_stop && OutlivesWorker(*unit, departures, options, now)) {
      out.push_back(unit);
    }
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
