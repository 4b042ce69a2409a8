#include "dispatch/internal/job_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "owner_world.h"

namespace lapishatch::dispatch::internal {
namespace {

constexpr base::TimePoint kNow{base::Duration(1'000)};

std::shared_ptr<const jobs::Job> Shared(jobs::Job job) {
  return std::make_shared<const jobs::Job>(std::move(job));
}

jobs::Job GangOf(int tasks) {
  auto out = OwnerWorld::MakeJob("gang", tasks, 1);
  out.steps[0].is_gang = true;
  out.max_attempts = 2;
  return out;
}

/// Returns the progress that the next owner reads for a job.
jobs::JobProgress EncodeAndDecode(const JobTracker& tracker,
                                  const JobEntry& job) {
  const auto out =
      jobs::DecodeProgress(EncodeProgress(tracker.ProgressOf(job)));
  REQUIRE(out);
  return *out;
}

TEST_CASE("a failed end that is reported to two owners counts once") {
  Fleet fleet;
  JobTracker tracker(fleet);
  const auto gang = Shared(GangOf(2));
  auto* job = tracker.Add(gang, nullptr, 0, base::Duration(0), kNow);
  auto& unit = job->runs[0][0].units[0];
  tracker.Plan(unit, {base::WorkerName("w0"), base::WorkerName("w1")}, kNow);
  tracker.OnEnded(unit, 0, TaskOutcome::kFailed, "", kNow);
  CHECK(unit.failures == 1);

  // The failure was recorded, but the owner stopped before it acknowledged the
  // end to the worker.
  const auto progress = EncodeAndDecode(tracker, *job);
  Fleet next_fleet;
  JobTracker next(next_fleet);
  auto* again = next.Add(gang, &progress, 7, base::Duration(0), kNow);
  auto& restored = again->runs[0][0].units[0];
  next.OnEnded(restored, 0, TaskOutcome::kFailed, "", kNow);
  next.OnEnded(restored, 1, TaskOutcome::kGangBroken, "", kNow);
  CHECK(restored.failures == 1);
  CHECK(again->state == jobs::JobState::kRunning);
}

TEST_CASE("each failed run counts, and the last allowed one fails the job") {
  Fleet fleet;
  JobTracker tracker(fleet);
  auto* job =
      tracker.Add(Shared(GangOf(1)), nullptr, 0, base::Duration(0), kNow);
  auto& unit = job->runs[0][0].units[0];
  tracker.Plan(unit, {base::WorkerName("w0")}, kNow);
  tracker.OnEnded(unit, 0, TaskOutcome::kFailed, "", kNow);
  CHECK(job->state == jobs::JobState::kRunning);
  tracker.Plan(unit, {base::WorkerName("w0")}, kNow);
  tracker.OnEnded(unit, 0, TaskOutcome::kFailed, "", kNow);
  CHECK(job->state == jobs::JobState::kFailed);
  CHECK(unit.last_run == 2);
}

TEST_CASE("silent workers of tasks that are over are not awaited") {
  Fleet fleet;
  JobTracker tracker(fleet);
  auto* job = tracker.Add(Shared(OwnerWorld::MakeJob("map", 2, 1)), nullptr, 0,
                          base::Duration(0), kNow);
  auto& units = job->runs[0][0].units;
  const MemberLoss loss{LossEvidence::kSilent,
                        0,
                        {base::WorkerName("w0"), {"10.0.0.1", 1}, 0, true}};
  for (int i = 0; i < 2; ++i) {
    auto& unit = units[static_cast<std::size_t>(i)];
    tracker.Plan(unit, {base::WorkerName("w0")}, kNow);
    tracker.RecordLoss(unit, i, loss, kNow);
    tracker.OnLost(unit, i, kNow);
  }
  const http::Endpoint endpoint{"10.0.0.1", 1};
  CHECK(tracker.UnitsWithSilentWorkersAt(endpoint).size() == 2);
  tracker.Plan(units[0], {base::WorkerName("w1")}, kNow);
  tracker.OnEnded(units[0], 0, TaskOutcome::kDone, "", kNow);
  CHECK(tracker.UnitsWithSilentWorkersAt(endpoint).size() == 1);
  tracker.Cancel(*job);
  CHECK(tracker.silent_at().empty());
}

TEST_CASE("progress is unchanged by encoding and decoding") {
  Fleet fleet;
  JobTracker tracker(fleet);
  const auto shared = Shared(OwnerWorld::MakeJob("map", 3, 1));
  auto* job = tracker.Add(shared, nullptr, 0, base::Duration(0), kNow);
  auto& units = job->runs[0][0].units;
  tracker.Plan(units[0], {base::WorkerName("w0")}, kNow);
  tracker.OnEnded(units[0], 0, TaskOutcome::kDone, "", kNow);
  tracker.Plan(units[1], {base::WorkerName("w1")}, kNow);
  JobTracker::OnCheckpoint(units[1], "half", kNow);
  const auto progress = tracker.ProgressOf(*job);
  CHECK(EncodeAndDecode(tracker, *job) == progress);
  CHECK(progress.units.size() == 2);
  CHECK(progress.units[1].checkpoint == "half");
}

TEST_CASE("occurrences become ready when due and the job ends with the last") {
  Fleet fleet;
  JobTracker tracker(fleet);
  auto timed = OwnerWorld::MakeJob("timed", 1, 1);
  timed.schedule = {2, 5'000, 1'000};
  auto* job = tracker.Add(Shared(timed), nullptr, 0, base::Duration(0), kNow);
  CHECK(tracker.ready().empty());
  tracker.ActivateDueOccurrences(5'000, kNow);
  CHECK(tracker.ready().size() == 1);
  tracker.ActivateDueOccurrences(6'500, kNow);
  CHECK(tracker.ready().size() == 2);
  for (auto& runs : job->runs) {
    CHECK(job->state != jobs::JobState::kCompleted);
    tracker.Plan(runs[0].units[0], {base::WorkerName("w0")}, kNow);
    tracker.OnEnded(runs[0].units[0], 0, TaskOutcome::kDone, "", kNow);
  }
  CHECK(job->state == jobs::JobState::kCompleted);
}

TEST_CASE("steps and units are visited by name, not by address") {
  Fleet fleet;
  JobTracker tracker(fleet);
  constexpr int kJobs = 40;
  std::vector<std::string> names;
  names.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    names.push_back(std::to_string(10 + i * 7 % kJobs));
  }
  for (const auto& it : names) {
    auto* job = tracker.Add(Shared(OwnerWorld::MakeJob(it, 2, 1)), nullptr, 0,
                            base::Duration(0), kNow);
    auto& units = job->runs[0][0].units;
    tracker.Plan(units[1], {base::WorkerName("w")}, kNow);
  }
  std::vector<std::string> ready;
  for (const auto* it : tracker.ready()) {
    ready.push_back(it->job->job->name.str());
  }
  std::vector<std::string> active;
  for (const auto* it : tracker.active()) {
    active.push_back(it->step_run->job->job->name.str());
  }
  std::sort(names.begin(), names.end());
  CHECK(ready == names);
  CHECK(active == names);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
