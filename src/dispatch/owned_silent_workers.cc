#include <utility>

#include "dispatch/internal/owned_service.h"
#include "dispatch/internal/task_text.h"

namespace lapishatch::dispatch::internal {
namespace {

/// A worker that neither answers nor is registered for this long has ended: one
/// that regains its connection to the platform registers again.
constexpr base::Duration kMaxAbsence{30'000};

/// A silent worker that is still registered after this time lives: the platform
/// removes the registrations of workers that it has not heard for seconds.
constexpr base::Duration kMinPresence{6'000};

/// What the end of a worker that had fallen silent says of the task.
LossEvidence EvidenceOfEnd(const jobs::SilentWorker& worker) {
  return worker.ran_task ? LossEvidence::kCrash : LossEvidence::kUnproved;
}

}  // namespace

/// Decides about the workers that fell silent at an address where `name`
/// answers: it has survived, and others have ended.
void OwnedService::ResolveByAnswer(const base::WorkerName& name,
                                   const http::Endpoint& endpoint,
                                   const WorkerStartTime& started_at_ms) {
  const SilenceEvidence evidence = [&](const jobs::SilentWorker& it) {
    if (it.endpoint != endpoint) return std::optional<LossEvidence>();
    const bool has_start_times = it.started_at_ms != 0 && started_at_ms;
    const bool has_survived =
        it.name == name &&
        (!has_start_times || it.started_at_ms == *started_at_ms);
    if (has_survived) return std::optional(LossEvidence::kNone);
    return std::optional(EvidenceOfEnd(it));
  };
  for (auto* unit : tracker_.UnitsWithSilentWorkersAt(endpoint)) {
    ResolveSilentWorkers(*unit, evidence);
  }
}

/// Decides about the losses to `name`, in whose place another incarnation
/// answers.
void OwnedService::ResolveByReplacement(const base::WorkerName& name) {
  const auto* worker = FindWorker(name);
  if (worker == nullptr) return;
  const SilenceEvidence evidence = [&name](const jobs::SilentWorker& it) {
    return it.name == name ? std::optional(EvidenceOfEnd(it))
                           : std::optional<LossEvidence>();
  };
  const auto& endpoint = LostRegistration(*worker).endpoint;
  for (auto* unit : tracker_.UnitsWithSilentWorkersAt(endpoint)) {
    ResolveSilentWorkers(*unit, evidence);
  }
}

/// Decides about silent workers by their registrations, which the platform
/// keeps while a worker reaches it and removes when it is silent.
void OwnedService::ResolveByRegistrations() {
  constexpr base::Duration kInterval{1'000};
  const auto now = dependencies_.loop.Now();
  if (tracker_.silent_at().empty()) return silent_workers_.clear();
  if (now - registrations_checked_at_ < kInterval) return;
  registrations_checked_at_ = now;
  std::map<base::WorkerName, SilentWorkerState> states;
  std::set<Unit*, NameOrder> decided;
  for (const auto& [endpoint, units] : tracker_.silent_at()) {
    for (auto* unit : units) {
      for (const auto& losses : unit->losses) {
        for (const auto& it : losses.silent) {
          const auto& state =
              states.try_emplace(it.name, StateOf(it)).first->second;
          if (EvidenceByRegistration(it, state)) decided.insert(unit);
        }
      }
    }
  }
  silent_workers_ = std::move(states);
  const SilenceEvidence evidence = [this](const jobs::SilentWorker& it) {
    const auto state = silent_workers_.find(it.name);
    return state == silent_workers_.end()
               ? std::optional<LossEvidence>()
               : EvidenceByRegistration(it, state->second);
  };
  for (auto* unit : decided) ResolveSilentWorkers(*unit, evidence);
}

/// What the registration of a silent worker says of it, if anything.
std::optional<LossEvidence> OwnedService::EvidenceByRegistration(
    const jobs::SilentWorker& worker, const SilentWorkerState& state) const {
  if (departures_.contains(worker.name)) return LossEvidence::kNone;
  const auto duration = dependencies_.loop.Now() - state.since;
  if (state.is_registered) {
    if (duration < kMinPresence) return std::nullopt;
    return LossEvidence::kNone;
  }
  if (duration < kMaxAbsence) return std::nullopt;
  return EvidenceOfEnd(worker);
}

/// Whether a silent worker is registered now, and since when that has been so
/// while the registrations were read.
OwnedService::SilentWorkerState OwnedService::StateOf(
    const jobs::SilentWorker& silent) {
  const auto* worker = FindWorker(silent.name);
  const bool is_registered =
      worker != nullptr && worker->is_registered &&
      silent.started_at_ms ==
          worker->session->registration().started_at_ms.value_or(0);
  const auto known = silent_workers_.find(silent.name);
  const bool is_unchanged = known != silent_workers_.end() &&
                            known->second.is_registered == is_registered &&
                            HasFreshRegistrations();
  if (is_unchanged) return known->second;
  return {is_registered, dependencies_.loop.Now()};
}

/// Applies `evidence` to a unit, and logs what it decides.
void OwnedService::ResolveSilentWorkers(Unit& unit,
                                        const SilenceEvidence& evidence) {
  const auto task = JobTracker::NameOf(unit, 0);
  const SilenceEvidence logged = [&](const jobs::SilentWorker& it) {
    const auto out = evidence(it);
    if (!out) return out;
    const auto outcome =
        *out == LossEvidence::kNone ? "survived" : base::NameOf(*out);
    base::Log(base::events::kLossResolved, {{"request", task.job},
                                            {"task", TextOf(task)},
                                            {"worker", it.name},
                                            {"outcome", outcome}});
    if (dependencies_.metrics != nullptr) {
      dependencies_.metrics->Count("lapishatch_losses_resolved_total",
                                   {{"outcome", std::string(outcome)}});
    }
    return out;
  };
  if (tracker_.ResolveSilentWorkers(unit, logged, dependencies_.loop.Now())) {
    ScheduleDecisionRound();
  }
}

}  // namespace lapishatch::dispatch::internal
