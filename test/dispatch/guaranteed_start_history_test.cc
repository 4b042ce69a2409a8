#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "owner_world.h"

namespace lapishatch::dispatch {
namespace {

using base::Duration;

constexpr int kWorkers = 6;
constexpr int kGuarantee = 16;
constexpr int kOrganisations = 2;

/// Harms workers at random for some seconds, repairs them, and then submits
/// only jobs: quiet ones that fill the fleet, and urgent ones of two
/// organisations, some beyond their guarantee. Checks that urgent jobs start in
/// time whose organisation needed no more than its guarantee all the while.
class GuaranteedStartHistory {
 public:
  explicit GuaranteedStartHistory(std::uint64_t seed)
      : random_(seed), world_(1, kWorkers) {
    for (int i = 0; i < kOrganisations; ++i) {
      world_.SetGuarantee(OrganisationName(i), kGuarantee);
    }
    world_.RestartCrashed(Duration(RandomInt(200, 1'500)));
    world_.workers().run_time = [this](const jobs::TaskName& task) {
      const bool is_urgent = task.job.str().starts_with("urgent");
      return Duration(is_urgent ? RandomInt(500, 3'000)
                                : RandomInt(3'000, 12'000));
    };
    world_.RunFor(1'000);
  }

  void Run() {
    for (int i = 0; i < 12; ++i) {
      SubmitQuiet();
      HarmWorker();
      world_.RunFor(RandomInt(50, 500));
    }
    for (int i = 0; i < kWorkers; ++i) {
      world_.workers().SetFailing(world_.CurrentWorkerName(i), false);
    }
    constexpr int kSettlingTimeMs = 3'000;
    world_.RunFor(kSettlingTimeMs);
    for (int i = 0; i < 60; ++i) {
      SubmitQuiet();
      if (RandomInt(0, 2) == 0) SubmitUrgent();
      RunAndCheck(RandomInt(20, 400));
    }
  }

 private:
  struct UrgentJob {
    base::JobName name;
    int organisation = 0;
    int tasks = 0;
    int needs = 0;
    base::TimePoint submitted;
    bool has_ended = false;
    bool has_begun = false;
    /// Whether its organisation has needed more than its guarantee since.
    bool was_beyond = false;
  };

  static std::string OrganisationName(int i) {
    return "organisation" + std::to_string(i);
  }

  int RandomInt(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

  void HarmWorker() {
    const auto name = world_.CurrentWorkerName(RandomInt(0, kWorkers - 1));
    if (RandomInt(0, 1) == 0) return world_.workers().SetFailing(name, true);
    if (RandomInt(0, 1) == 0) world_.workers().Crash(name);
  }

  void SubmitQuiet() {
    auto job = OwnerWorld::MakeJob("quiet" + std::to_string(job_count_++),
                                   RandomInt(1, 8), RandomInt(1, 4));
    job.max_attempts = 20;
    job.steps[0].run_time_estimate = Duration(6'000);
    world_.Submit(job);
  }

  void SubmitUrgent() {
    UrgentJob urgent;
    urgent.organisation = RandomInt(0, kOrganisations - 1);
    urgent.tasks = RandomInt(1, 3);
    const int accelerators = 1 << RandomInt(0, 3);
    urgent.needs = urgent.tasks * accelerators;
    urgent.name = base::JobName("urgent" + std::to_string(job_count_++));
    urgent.submitted = world_.time().Now();
    auto job =
        OwnerWorld::MakeJob(urgent.name.str(), urgent.tasks, accelerators);
    job.organisation =
        base::OrganisationName(OrganisationName(urgent.organisation));
    job.priority = 0;
    job.steps[0].is_gang = RandomInt(0, 1) == 0;
    job.steps[0].prefers_single_rack = job.steps[0].is_gang;
    urgent_.push_back(urgent);
    world_.Submit(job);
  }

  void RunAndCheck(int ms) {
    for (int i = 0; i < ms; i += 20) {
      world_.RunFor(20);
      UpdateUrgent();
    }
  }

  void UpdateUrgent() {
    std::array<int, kOrganisations> needs{};
    for (auto& it : urgent_) {
      if (it.has_ended) continue;
      it.has_begun = it.has_begun || HasBegun(it);
      it.has_ended = it.has_begun && !IsRunning(it);
      if (it.has_ended) continue;
      needs[static_cast<std::size_t>(it.organisation)] += it.needs;
    }
    const auto bound = Bounds{}.guaranteed_start_delay;
    for (auto& it : urgent_) {
      if (it.has_ended) continue;
      const int needed = needs[static_cast<std::size_t>(it.organisation)];
      it.was_beyond = it.was_beyond || needed > kGuarantee;
      const bool is_late = !it.has_begun && !it.was_beyond &&
                           world_.time().Now() - it.submitted > bound;
      INFO(it.name.str() << " needs " << it.needs);
      CHECK_FALSE(is_late);
    }
  }

  bool HasBegun(const UrgentJob& job) {
    for (int i = 0; i < job.tasks; ++i) {
      if (world_.workers().starts({job.name, 0, 0, i}) == 0) return false;
    }
    return true;
  }

  bool IsRunning(const UrgentJob& job) {
    for (int i = 0; i < job.tasks; ++i) {
      if (world_.workers().IsRunning({job.name, 0, 0, i})) return true;
    }
    return false;
  }

  std::mt19937_64 random_;
  OwnerWorld world_;
  std::vector<UrgentJob> urgent_;
  int job_count_ = 0;
};

TEST_CASE("urgent jobs within their guarantee start in time after harm") {
  const auto seed = GENERATE(range(1, 101));
  INFO("seed " << seed);
  GuaranteedStartHistory(static_cast<std::uint64_t>(seed)).Run();
}

}  // namespace
}  // namespace lapishatch::dispatch
