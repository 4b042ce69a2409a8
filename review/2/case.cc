// The process that owns the service is killed while many short tasks end on one
// runner, which then has more ends to tell than one answer may hold.

#include <cstdio>
#include <cstdlib>

#include "../standin/world.h"

namespace review {
namespace {

constexpr int kRunners = 8;
constexpr int kSites = 3;
constexpr int kJobs = 7;
/// As wide as the widest job of the site.
constexpr int kTasksPerJob = 90;
constexpr int kCpu = 100;
constexpr int kMemoryMb = 128;
constexpr std::int64_t kWorkMs = 4'000;
constexpr std::int64_t kDownMs = 3'000;

std::string NameOf(int job) {
  char out[17];
  std::snprintf(out, sizeof(out), "%016x", 0x5c0e7a21U + 31U * job);
  return out;
}

asio::awaitable<int> Script(World& world, bool has_trouble) {
  world.Configure();
  world.AddRunners(kRunners);
  world.AddSites(kSites);
  if (!co_await world.AwaitReady()) co_return kNotRun;
  co_await Sleep(6'000);
  const auto body =
      World::JobBody(kTasksPerJob, kCpu, kMemoryMb, kWorkMs, false);
  for (int i = 0; i < kJobs; ++i) {
    if (!co_await world.Submit(NameOf(i), body)) co_return kNotRun;
  }
  // Until the first task is about to end.
  const auto began = NowMs();
  while (world.runs().empty() && NowMs() - began < 10'000) co_await Sleep(10);
  if (world.runs().empty()) co_return kNotRun;
  const auto first_end = world.runs().front().began + kWorkMs;
  co_await Sleep(std::max<std::int64_t>(first_end - 300 - NowMs(), 0));
  world.record().Add("tasks that run: " + std::to_string(world.RunningTasks()));
  for (const auto& it : world.runners()) {
    if (it->running() == 0) continue;
    world.record().Add("on " + it->id() + ": " + std::to_string(it->running()));
  }
  if (has_trouble) {
    auto* owner = world.LastWriter();
    if (owner == nullptr) co_return kNotRun;
    world.Kill(*owner);
    co_await Sleep(kDownMs);
    for (const auto& it : world.runners()) {
      if (it->unseen_ends() == 0) continue;
      world.record().Add("ends not yet seen on " + it->id() + ": " +
                         std::to_string(it->unseen_ends()));
    }
    world.Start(*owner);
  }
  co_await Sleep(20'000);
  int ended = 0;
  for (int i = 0; i < kJobs; ++i) {
    if (co_await world.Ask(NameOf(i)) == "completed") ++ended;
  }
  world.record().Add("jobs completed: " + std::to_string(ended) + " of " +
                     std::to_string(kJobs));
  const int broken = CountTwice(world.runs(), world.record());
  world.record().Add("starts that break TWICE: " + std::to_string(broken));
  std::printf("starts that break TWICE: %d\n", broken);
  co_return broken > 0 ? kRuleBroken : kRuleHeld;
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
