#include "dispatch/internal/worker_drain.h"

#include <algorithm>

namespace lapishatch::dispatch::internal {
namespace {

constexpr int kWholePercent = 100;

base::Duration Share(base::Duration time, double share) {
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

bool IsLeft(const Unit& unit, const Departures& departures,
            const DrainOptions& options, base::TimePoint now) {
  return std::any_of(unit.members.begin(), unit.members.end(),
                     [&](const Member& it) {
                       if (it.state == MemberState::kOver) return false;
                       const auto departure = departures.find(it.worker);
                       if (departure == departures.end()) return false;
                       // What lasts never ends by itself.
                       if (unit.step->step->is_service) return true;
                       const auto end = now + WorkLeft(unit, it, now);
                       return end > departure->second + options.patience;
                     });
}

}  // namespace

base::Duration WorkLeft(const Unit& unit, const Member& member,
                        base::TimePoint now) {
  const auto zero = base::Duration(0);
  const auto estimate = unit.step->step->run_time_estimate;
  if (member.last_progress == base::TimePoint{}) {
    return std::max(zero, estimate - (now - unit.started));
  }
  const auto since = now - member.last_progress;
  const int left = kWholePercent - member.percent;
  const int gained = member.percent - member.first_percent;
  const auto took = member.last_progress - member.first_seen;
  if (gained <= 0 || took <= zero) {
    const double share = static_cast<double>(left) / kWholePercent;
    return std::max(zero, Share(estimate, share) - since);
  }
  const double share = static_cast<double>(left) / gained;
  return std::max(zero, Share(took, share) - since);
}

std::vector<Unit*> FindDrained(const JobBook& book,
                               const Departures& departures,
                               const DrainOptions& options,
                               base::TimePoint now) {
  std::vector<Unit*> out;
  if (departures.empty()) return out;
  for (auto* unit : book.active()) {
    const bool may_stop =
        !unit->is_stopping && unit->phase != jobs::UnitPhase::kDone;
    if (may_stop && IsLeft(*unit, departures, options, now)) {
      out.push_back(unit);
    }
  }
  return out;
}

}  // namespace lapishatch::dispatch::internal
