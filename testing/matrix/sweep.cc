#include "matrix/sweep.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <atomic>
#include <numeric>
#include <thread>
#include <utility>

namespace lapishatch::matrix {
namespace {

bool IsTableStep(Step step) {
  switch (step) {
    case Step::kClaim:
    case Step::kRecord:
    case Step::kReleaseClaim:
    case Step::kTakeCell:
    case Step::kRenewCell:
    case Step::kReleaseCell:
    case Step::kIntent:
    case Step::kStatus:
    case Step::kAccept:
      return true;
    default:
      return false;
  }
}

bool CanRace(Step step) {
  return step != Step::kTakeCell && step != Step::kRenewCell &&
         step != Step::kReleaseCell && step != Step::kSpread;
}

/// A request to a runner goes over one connection, which delivers once.
bool CanBeDoubled(Step step) { return step != Step::kDispatch; }

std::vector<PlannedFault> SinglesOf(Protocol protocol) {
  std::vector<PlannedFault> out;
  for (const auto step : StepsOf(protocol)) {
    for (std::size_t i = 0; i < base::kEnumSize<Fault>; ++i) {
      const auto fault = static_cast<Fault>(i);
      if (Applies(step, fault)) out.push_back({step, fault});
    }
  }
  return out;
}

void Add(const FaultPlan& plan, const WorldResult& result,
         SweepSummary& summary) {
  ++summary.cells;
  if (result.reached) ++summary.reached;
  summary.longest_part = std::max(summary.longest_part, result.longest_part);
  summary.longest_urgent_start =
      std::max(summary.longest_urgent_start, result.urgent_start);
  for (const auto& violation : result.violations) {
    auto& n = summary.violations[static_cast<std::size_t>(violation.invariant)];
    if (n++ >= SweepSummary::kMaxBadCells) continue;
    summary.bad_cells.push_back({TextOf(plan), violation});
  }
}

}  // namespace

bool Applies(Step step, Fault fault) {
  switch (fault) {
    case Fault::kOperatorsRace:
      return CanRace(step);
    case Fault::kMessageDoubled:
      return CanBeDoubled(step);
    case Fault::kPeerDies:
    case Fault::kSilent:
      // The table's own silence is kTableDown, kDomainCut and kAnswerLost.
      return !IsTableStep(step);
    default:
      return true;
  }
}

std::vector<FaultPlan> CellsOf(Protocol protocol, bool pairs) {
  const auto singles = SinglesOf(protocol);
  std::vector<FaultPlan> cells;
  cells.emplace_back();
  for (const auto& first : singles) {
    cells.emplace_back(std::vector<PlannedFault>{first});
    if (!pairs) continue;
    for (const auto& second : singles) {
      cells.emplace_back(std::vector<PlannedFault>{first, second});
    }
  }
  return cells;
}

std::size_t SweepSummary::total_violations() const {
  return std::accumulate(violations.begin(), violations.end(), std::size_t{0});
}

SweepSummary Sweep(Protocol protocol, bool pairs, unsigned threads,
                   Break broken) {
  const auto cells = CellsOf(protocol, pairs);
  std::vector<WorldResult> results(cells.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (auto i = next++; i < cells.size(); i = next++) {
      results[i] = RunWorld(protocol, cells[i], {broken, nullptr});
    }
  };
  std::vector<std::thread> pool;
  for (unsigned i = 1; i < threads; ++i) pool.emplace_back(work);
  work();
  for (auto& thread : pool) thread.join();
  SweepSummary summary;
  summary.protocol = protocol;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    Add(cells[i], results[i], summary);
  }
  return summary;
}

std::string TextOf(const SweepSummary& summary) {
  std::string out =
      absl::StrFormat("%s: %d cells run, all planned faults injected in %d\n",
                      std::string(base::NameOf(summary.protocol)),
                      summary.cells, summary.reached);
  for (std::size_t i = 0; i < summary.violations.size(); ++i) {
    out += absl::StrFormat("  %-28s %d violations\n",
                           std::string(base::NameOf(static_cast<Invariant>(i))),
                           summary.violations[i]);
  }
  if (summary.protocol == Protocol::kGang) {
    out += absl::StrFormat(
        "  longest part of a gang alone %d ms, latest urgent start %d ms\n",
        summary.longest_part.count(), summary.longest_urgent_start.count());
  }
  for (const auto& it : summary.bad_cells) {
    out += "  " + it.plan + ": " +
           std::string(base::NameOf(it.violation.invariant)) + ": " +
           it.violation.detail + '\n';
  }
  return out;
}

WorldResult RunWorld(Protocol protocol, const FaultPlan& plan,
                     WorldOptions options) {
  switch (protocol) {
    case Protocol::kRequest:
      return RunRequestWorld(plan, options);
    case Protocol::kGang:
      return RunGangWorld(plan, options);
    case Protocol::kConfiguration:
      return RunConfigurationWorld(plan, options);
  }
  return {};
}

}  // namespace lapishatch::matrix
