// The operator sends a queue to another service while a job of it is at work.

#include <cstdio>
#include <cstdlib>

#include "../standin/world.h"

namespace review {
namespace {

constexpr int kRunners = 24;
constexpr int kSites = 3;
constexpr int kTasks = 4;
constexpr std::int64_t kWorkMs = 30'000;
/// The bounds `config-apply-ms` and `visible_ms` of the settings.
constexpr std::int64_t kApplyMs = 2'000;
constexpr std::int64_t kVisibleMs = 3'000;

constexpr const char* kAskedJob = "5c0e7a21d94b36f8";
constexpr const char* kRepeatedJob = "91d3b07e64a2c5f1";
constexpr const char* kCancelledJob = "0b8e52f7c3d94a16";

asio::awaitable<int> Script(World& world, bool has_trouble) {
  world.Configure();
  world.AddRunners(kRunners);
  world.AddRunners(kRunners, World::kOtherService);
  world.AddSites(kSites);
  if (!co_await world.AwaitReady()) co_return kNotRun;
  co_await Sleep(5'000);
  const auto body = World::JobBody(kTasks, 5'600, 29'000, kWorkMs, false);
  if (!co_await world.Submit(kAskedJob, body)) co_return kNotRun;
  if (!co_await world.Submit(kRepeatedJob, body)) co_return kNotRun;
  if (!co_await world.Submit(kCancelledJob, body)) co_return kNotRun;
  co_await Sleep(1'000);
  if (has_trouble) world.Configure(2, World::kOtherService);
  co_await Sleep(kApplyMs + kVisibleMs + 500);
  int gone = 0;
  for (int i = 0; i < kSites; ++i) {
    const auto state = co_await world.Ask(kAskedJob);
    if (state != "410") continue;
    ++gone;
    world.record().Add(
        "BROKEN LOST: 410 for a job that was accepted " +
        std::to_string(NowMs() - world.jobs()[kAskedJob].accepted_at) +
        " ms ago, that nobody has cancelled, and of which " +
        std::to_string(world.RunningTasks()) + " tasks run");
  }
  const auto cancel = co_await world.Cancel(kCancelledJob);
  // The request arrives once more, some seconds after its 2xx response.
  if (!co_await world.Submit(kRepeatedJob, body)) co_return kNotRun;
  co_await Sleep(kWorkMs + 3'000);
  const int twice = CountTwice(world.runs(), world.record());
  int uncancelled = 0;
  for (const auto& it : world.runs()) {
    const bool is_of_job = it.task.starts_with(kCancelledJob);
    if (is_of_job && it.how == "done") ++uncancelled;
  }
  world.record().Add("tasks of the cancelled job that ended done: " +
                     std::to_string(uncancelled));
  std::printf(
      "answers 410: %d of %d; starts that break TWICE: %d; cancel answered %d, "
      "tasks of it that ended done: %d\n",
      gone, kSites, twice, cancel, uncancelled);
  co_return gone > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) return review::kNotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::World world(argv[1], argv[2], argv[3]);
  return world.Run(review::Script(world, has_trouble));
}
