#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;
using jobs::JobState;

constexpr int kMaxInt = std::numeric_limits<int>::max();
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

/// A service with rows in its store that this build did not write.
struct InvalidJobWorld : OwnerWorld {
  InvalidJobWorld() : OwnerWorld(1, 2) {
    workers().run_time = [](const jobs::TaskName&) { return Duration(500); };
    RunFor(1'500);
  }

  ~InvalidJobWorld() {
    for (const auto& it : workers().violations()) FAIL_CHECK(it);
  }

  void PutRequest(const std::string& name, const std::string& value) {
    store().Put(std::string(jobs::kRequestTable),
                jobs::RequestPartition(base::ServiceName(kService),
                                       base::JobName(name)),
                name, value);
  }

  void PutProgress(const std::string& name, const std::string& value) {
    store().Put(std::string(jobs::kProgressTable),
                jobs::ProgressPartition(base::ServiceName(kService),
                                        base::JobName(name)),
                name, value);
  }

  /// A job as the former build accepted it.
  void PutAccepted(const jobs::Job& job) {
    PutRequest(job.name.str(), jobs::EncodeJob(job));
  }

  bool HasHeldJobs(int n) {
    return metrics().Render().find("lapishatch_jobs_held{service=\"survey\"} " +
                                   std::to_string(n) + "\n") !=
           std::string::npos;
  }

  /// Other jobs are accepted, started and completed, also under a successor.
  void CheckOthersComplete() {
    Submit(MakeJob("before", 2, 1));
    RunFor(4'000);
    CHECK(StateOf("before") == JobState::kCompleted);
    KillOwner(OwnerName());
    StartOwner("successor");
    RunFor(6'000);
    Submit(MakeJob("after", 2, 1));
    RunFor(4'000);
    CHECK(StateOf("after") == JobState::kCompleted);
  }
};

struct JobChange {
  const char* name;
  std::function<void(jobs::Job&)> change;
};

/// Guards against a stored job whose expansion ends each process that owns the
/// service, one after the other.
TEST_CASE("a stored job beyond a limit fails and harms no other") {
  const std::vector<JobChange> cases = {
      {"as many tasks and occurrences as a number holds",
       [](jobs::Job& job) {
         job.steps[0].tasks = kMaxInt;
         job.steps.resize(3, job.steps[0]);
         job.schedule = {kMaxInt, 0, 1'000};
       }},
      {"tasks", [](jobs::Job& job) { job.steps[0].tasks = kMaxInt; }},
      {"negative tasks", [](jobs::Job& job) { job.steps[0].tasks = -1; }},
      {"occurrences",
       [](jobs::Job& job) {
         job.schedule = {kMaxInt, 0, 1'000};
       }},
      {"no step", [](jobs::Job& job) { job.steps.clear(); }},
      {"steps", [](jobs::Job& job) { job.steps.resize(201, job.steps[0]); }},
      {"a step that does not exist",
       [](jobs::Job& job) { job.steps[0].depends_on = {7}; }},
      {"its own step", [](jobs::Job& job) { job.steps[0].depends_on = {0}; }},
      {"negative resources",
       [](jobs::Job& job) { job.steps[0].needs.accelerators = -8; }},
      {"resources",
       [](jobs::Job& job) { job.steps[0].needs.memory_mb = kMaxInt64; }},
      {"run time",
       [](jobs::Job& job) {
         job.steps[0].run_time_estimate = Duration(kMaxInt64);
       }},
      {"due times of later occurrences",
       [](jobs::Job& job) {
         job.schedule = {3, kMaxInt64, 100};
       }},
  };
  for (const auto& it : cases) {
    INFO(it.name);
    InvalidJobWorld world;
    auto job = OwnerWorld::MakeJob("invalid", 1, 1);
    it.change(job);
    world.PutAccepted(job);
    world.RunFor(500);
    CHECK(world.StateOf("invalid") == JobState::kFailed);
    world.CheckOthersComplete();
    CHECK(world.StateOf("invalid") == JobState::kFailed);
    CHECK(world.workers().starts({job.name, 0, 0, 0}) == 0);
    CHECK(world.metrics().Render().find(
              "lapishatch_jobs_failed_total{reason=\"limits\"} 1") !=
          std::string::npos);
  }
}

/// Guards against a failed job whose rows are kept for ever.
TEST_CASE("a stored job beyond a limit is removed after its retention") {
  InvalidJobWorld world;
  auto job = OwnerWorld::MakeJob("invalid", kMaxInt, 1);
  world.PutAccepted(job);
  world.RunFor(185'000);
  CHECK(world.store().rows_in(std::string(jobs::kRequestTable)) == 0);
  CHECK(world.store().rows_in(std::string(jobs::kProgressTable)) == 0);
}

/// Guards against due times that are far away and count as past.
TEST_CASE("an occurrence that is due in the far future does not start") {
  InvalidJobWorld world;
  auto job = OwnerWorld::MakeJob("far", 1, 1);
  job.schedule = {1, kMaxInt64, kMaxInt};
  world.PutAccepted(job);
  world.RunFor(3'000);
  CHECK(world.StateOf("far") == JobState::kQueued);
  CHECK(world.workers().starts({job.name, 0, 0, 0}) == 0);
}

/// Guards against work or sums that grow with a job's numbers beyond what its
/// limits promise.
TEST_CASE("jobs at the limits harm no other") {
  const std::vector<JobChange> cases = {
      {"tasks that fit nowhere",
       [](jobs::Job& job) {
         job.steps[0].tasks = jobs::kMaxTasksPerJob;
         job.steps[0].needs = {kMaxInt, kMaxInt, kMaxInt};
         job.steps[0].max_tasks_per_worker = kMaxInt;
       }},
      {"a gang that fits nowhere",
       [](jobs::Job& job) {
         job.steps[0].tasks = jobs::kMaxTasksPerJob;
         job.steps[0].is_gang = true;
       }},
      {"a chain of the longest steps",
       [](jobs::Job& job) {
         job.steps[0].run_time_estimate = Duration(jobs::kMaxJobNumber);
         job.steps.resize(jobs::kMaxStepsPerJob, job.steps[0]);
         for (std::size_t i = 1; i < job.steps.size(); ++i) {
           for (std::size_t n = 0; n < i; ++n) {
             job.steps[i].depends_on.push_back(static_cast<int>(n));
           }
         }
         job.slack_factor = 1e300;
         job.target_latency = Duration(kMaxInt64);
       }},
      {"occurrences",
       [](jobs::Job& job) {
         const std::int64_t last = jobs::kMaxTasksPerJob - 1;
         job.schedule = {jobs::kMaxTasksPerJob,
                         kMaxInt64 - last * jobs::kMaxJobNumber,
                         jobs::kMaxJobNumber};
       }},
  };
  InvalidJobWorld world;
  constexpr int kCopies = 4;
  for (int i = 0; i < kCopies; ++i) {
    for (const auto& it : cases) {
      auto job =
          OwnerWorld::MakeJob(std::string(it.name) + std::to_string(i), 1, 1);
      it.change(job);
      world.Submit(job);
      world.RunFor(50);
    }
  }
  CHECK(world.HasHeldJobs(0));
  world.CheckOthersComplete();
}

/// Guards against request rows that end their reader, or that nobody can
/// remove.
TEST_CASE("a request that cannot be read is held until it is cancelled") {
  const auto valid = jobs::EncodeJob(OwnerWorld::MakeJob("invalid", 1, 1));
  const auto foreign = jobs::EncodeJob(OwnerWorld::MakeJob("other", 1, 1));
  const std::vector<std::string> values = {
      "",
      "x",
      "[]",
      "{}",
      std::string("\0\xff\xfe", 3),
      valid.substr(0, valid.size() / 2),
      foreign,
      R"({"name":"invalid","steps":[{"tasks":1e400}]})",
      R"({"name":"invalid","steps":[{"tasks":1.5}]})",
      R"({"name":"invalid","steps":[{"tasks":)" + std::string(4'000, '9') +
          "}]}",
      R"({"name":"invalid","steps":)" + std::string(20'000, '[') +
          std::string(20'000, ']') + "}",
  };
  for (const auto& it : values) {
    INFO(it.substr(0, 60));
    InvalidJobWorld world;
    world.PutRequest("invalid", it);
    world.RunFor(500);
    CHECK(world.HasHeldJobs(1));
    world.CheckOthersComplete();
    CHECK(world.HasHeldJobs(1));
    world.Cancel("invalid");
    world.RunFor(500);
    CHECK(world.HasHeldJobs(0));
    CHECK(world.StateOf("invalid") == JobState::kCancelled);
    world.RunFor(185'000);
    CHECK(world.store().rows_in(std::string(jobs::kRequestTable)) == 0);
  }
}

/// Guards against progress rows that end their reader or spoil the counts of
/// other jobs.
TEST_CASE("progress that is not that of its job holds this job alone") {
  const std::string started = R"([0,0,0,1,1,0,0,"",["w0","w1"]])";
  const std::vector<std::string> values = {
      "",
      R"({"state":99,"units":[],"done":[]})",
      R"({"state":-1,"units":[],"done":[]})",
      R"({"state":1,"units":[[0,0,0,9,1,0,0]],"done":[]})",
      // No workers, too many, and none of the right number of tasks.
      R"({"state":1,"units":[[0,0,0,1,1,0,0,"",[]]],"done":[]})",
      R"({"state":1,"units":[[0,0,0,1,1,0,0,"",["w0","w1","w0"]]],"done":[]})",
      R"({"state":1,"units":[[0,0,0,1,0,0,0,"",["w0","w1"]]],"done":[]})",
      R"({"state":1,"units":[[0,0,0,1,-5,0,0,"",["w0","w1"]]],"done":[]})",
      // Units that the job does not have.
      R"({"state":1,"units":[[0,0,7,0,1,0,0]],"done":[]})",
      R"({"state":1,"units":[[0,5,0,0,1,0,0]],"done":[]})",
      R"({"state":1,"units":[[9,0,0,0,1,0,0]],"done":[]})",
      R"({"state":1,"units":[[-1,0,0,0,1,0,0]],"done":[]})",
      // The same unit twice.
      R"({"state":1,"units":[)" + started + "," + started + R"(],"done":[]})",
      R"({"state":1,"units":[],"done":[[0,0,0,1,0,1]]})",
      R"({"state":1,"units":[[0,0,0,0,1,2147483647,0]],"done":[]})",
      R"({"state":1,"units":[[0,0,0,0,1,0,0,"",[],[9,1,0]]],"done":[]})",
      R"({"state":1,"units":[],"done":[[0,0,2147483647,2]]})",
  };
  for (const auto& it : values) {
    INFO(it);
    InvalidJobWorld world;
    world.KillOwner(world.OwnerName());
    auto job = OwnerWorld::MakeJob("invalid", 2, 1);
    job.steps[0].is_gang = true;
    world.PutAccepted(job);
    world.PutProgress("invalid", it);
    world.StartOwner("vm1");
    world.RunFor(6'000);
    CHECK(world.HasHeldJobs(1));
    world.CheckOthersComplete();
    CHECK(world.workers().starts({job.name, 0, 0, 0}) == 0);
    world.Cancel("invalid");
    world.RunFor(500);
    CHECK(world.StateOf("invalid") == JobState::kCancelled);
  }
}

/// Guards against rows whose decoding needs more memory than a process has.
TEST_CASE("a progress row of many long ranges is not expanded") {
  std::string ranges = "0,0";
  for (int i = 0; i < 6'000; ++i) ranges += ",0,100000";
  CHECK_FALSE(jobs::DecodeProgress(R"({"state":1,"units":[],"done":[[)" +
                                   ranges + "]]}"));
}

/// Guards against a held job that is kept after its request was deleted.
TEST_CASE("a held job whose request is deleted is forgotten") {
  InvalidJobWorld world;
  world.PutRequest("invalid", "x");
  world.RunFor(500);
  CHECK(world.HasHeldJobs(1));
  world.store().Remove(
      std::string(jobs::kRequestTable),
      jobs::RequestPartition(base::ServiceName(OwnerWorld::kService),
                             base::JobName("invalid")),
      "invalid");
  world.RunFor(1'000);
  CHECK(world.HasHeldJobs(0));
}

/// Guards against rows of any content that end their reader.
TEST_CASE("rows that are changed at random harm no other job") {
  const auto seed = GENERATE(range(1, 41));
  CAPTURE(seed);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const auto draw = [&random](std::size_t n) {
    return static_cast<std::size_t>(
        std::uniform_int_distribution<std::size_t>(0, n - 1)(random));
  };
  const std::vector<std::string> tokens = {
      "-1", "0",  "2147483648", "9223372036854775807",  "1e400", "\"\"", "[[",
      "]",  "{}", "null",       "18446744073709551615", ","};
  const auto change = [&](std::string text) {
    for (std::size_t n = 1 + draw(3); n > 0 && !text.empty(); --n) {
      const auto at = draw(text.size());
      if (draw(2) == 0) text[at] = static_cast<char>(draw(256));
      if (draw(2) == 0) text.replace(at, draw(3), tokens[draw(tokens.size())]);
      if (draw(6) == 0) text.resize(at);
    }
    return text;
  };
  InvalidJobWorld world;
  world.KillOwner(world.OwnerName());
  constexpr int kRows = 30;
  for (int i = 0; i < kRows; ++i) {
    const auto name = "invalid" + std::to_string(i);
    auto job = OwnerWorld::MakeJob(name, 2, 1);
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    job.schedule = {static_cast<int>(draw(3)), 1, 100};
    const auto value = jobs::EncodeJob(job);
    world.PutRequest(name, draw(3) == 0 ? value : change(value));
    if (draw(2) != 0) continue;
    world.PutProgress(
        name, change(R"({"state":1,"units":[[0,0,1,1,1,0,0,"",["w0"]]],)"
                     R"("done":[[0,0,0,1]]})"));
  }
  world.StartOwner("vm1");
  world.RunFor(6'000);
  world.CheckOthersComplete();
}

}  // namespace
}  // namespace lapishatch::dispatch
