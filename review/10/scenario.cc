// A job of 3 steps of 470 tasks each that save checkpoints. One runner crashes
// under it. Small jobs come afterwards.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <string>
#include <vector>

#include "world.h"

namespace {

using review::World;

constexpr int kSteps = 3;
constexpr int kTasksPerStep = 470;
constexpr int kSmallJobs = 32;
constexpr std::int64_t kLargeMs = 110'000;
constexpr std::int64_t kSmallMs = 2'000;
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kWindowMs = 3'000;
constexpr std::int64_t kCores = 48 * 64'000;

const review::Shape kTask{1'000, 1'024, 0};

std::string LargeBody() {
  namespace json = boost::json;
  json::array steps;
  for (int i = 0; i < kSteps; ++i) {
    steps.push_back(json::object{{"count", kTasksPerStep},
                                 {"cpu", kTask.cpu},
                                 {"mem-mb", kTask.memory_mb},
                                 {"estimate-ms", kLargeMs},
                                 {"checkpointing", true}});
  }
  return json::serialize(json::object{{"spec", std::to_string(kLargeMs)},
                                      {"steps", std::move(steps)}});
}

bool IsFinal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

std::size_t RunningTasks(World& world) {
  std::size_t out = 0;
  for (const auto& it : world.runners()) out += it->running();
  return out;
}

int StartsOf(World& world, const std::string& id) {
  int out = 0;
  for (const auto& it : world.log().starts) {
    if (it.task.starts_with(id)) ++out;
  }
  return out;
}

boost::asio::awaitable<int> Play(World& world, bool has_trouble) {
  auto& record = world.record();
  if (!co_await world.AwaitReady(20'000)) co_return 2;
  record.Write("all VMs answer");
  // Jobs before, so that an owner is known to work.
  for (int i = 0; i < 8; ++i) {
    const auto answer = co_await world.Submit(
        review::JobId(0x100 + i), review::JobBody(1, 500, kTask, false));
    if (answer.status != 200) co_return 2;
  }
  co_await review::Sleep(4'000);
  for (int i = 0; i < 8; ++i) {
    if (co_await world.StateOf(review::JobId(0x100 + i)) != "completed")
      co_return 2;
  }
  const auto large = review::JobId(0x200);
  const auto answer = co_await world.Submit(large, LargeBody());
  if (answer.status != 200) co_return 2;
  co_await review::Sleep(10'000);
  if (has_trouble) co_await world.runners()[5]->Crash(4'500);
  co_await review::Sleep(8'000);
  record.Write("running: " + std::to_string(RunningTasks(world)) +
               " tasks; largest row " +
               std::to_string(world.store().largest_value()) + " bytes");
  for (int i = 0; i < kSmallJobs; ++i) {
    const auto answer = co_await world.Submit(
        review::JobId(i), review::JobBody(2, kSmallMs, kTask, false));
    if (answer.status != 200) co_return 2;
  }
  record.Write("the traffic has ended");
  co_await review::Sleep(kFinishMs);
  // The last 3 s: a job counts as lost if it has not ended, has nothing
  // running in all of the window, and under half of the room is in use.
  std::map<std::string, int> starts;
  for (int i = 0; i < kSmallJobs; ++i) {
    starts[review::JobId(i)] = StartsOf(world, review::JobId(i));
  }
  std::size_t most_running = 0;
  for (std::int64_t passed = 0; passed < kWindowMs; passed += 100) {
    most_running = std::max(most_running, RunningTasks(world));
    co_await review::Sleep(100);
  }
  const auto in_use = static_cast<std::int64_t>(most_running) * kTask.cpu;
  record.Write("in use at most " + std::to_string(in_use / 1'000) + " of " +
               std::to_string(kCores / 1'000) + " cores for 3 s");
  int lost = 0;
  for (int i = 0; i < kSmallJobs; ++i) {
    const auto id = review::JobId(i);
    const auto state = co_await world.StateOf(id);
    const int all = StartsOf(world, id);
    record.Write("job " + id + ": " + (state.empty() ? "no answer" : state) +
                 ", starts " + std::to_string(all));
    const bool is_lost = !IsFinal(state) && all == 0 && in_use * 2 < kCores;
    if (is_lost) ++lost;
  }
  record.Write("large job: " + co_await world.StateOf(large) + ", starts " +
               std::to_string(StartsOf(world, large)));
  record.Write("rows refused for their size: " +
               std::to_string(world.store().oversized()));
  record.Write("lost: " + std::to_string(lost) + " of " +
               std::to_string(kSmallJobs) + " small jobs");
  co_return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  boost::asio::io_context io;
  World world(io, argv[1], argv[2], {3, 48, {}, true});
  const bool has_trouble = std::string(argv[3]) != "0";
  return review::RunScenario(io, [&] { return Play(world, has_trouble); });
}
