// A job that can never be done: its tasks times its occurrences exceed what 64
// bits hold. Small jobs before and after it.

#include <string>

#include "world.h"

namespace {

using review::World;

constexpr int kSmallJobs = 16;
constexpr std::int64_t kSmallMs = 1'000;
constexpr std::int64_t kFinishMs = 14'000;
const review::Shape kTask{1'000, 1'024, 0};

std::string HopelessBody() {
  namespace json = boost::json;
  json::array steps;
  for (int i = 0; i < 3; ++i) {
    steps.push_back(json::object{{"count", 2'147'483'647},
                                 {"cpu", kTask.cpu},
                                 {"mem-mb", kTask.memory_mb},
                                 {"estimate-ms", 1'000}});
  }
  return json::serialize(
      json::object{{"spec", "1000"},
                   {"steps", std::move(steps)},
                   {"repeat-count", 2'147'483'647},
                   {"start-at-ms", review::UnixMs() + 3'600'000},
                   {"interval-ms", 1'000}});
}

boost::asio::awaitable<int> Play(World& world, bool has_trouble) {
  auto& record = world.record();
  if (!co_await world.AwaitReady(20'000)) co_return 2;
  record.Write("all VMs answer");
  for (int i = 0; i < 4; ++i) {
    const auto answer = co_await world.Submit(
        review::JobId(0x100 + i), review::JobBody(1, 500, kTask, false));
    if (answer.status != 200) co_return 2;
  }
  co_await review::Sleep(4'000);
  for (int i = 0; i < 4; ++i) {
    if (co_await world.StateOf(review::JobId(0x100 + i)) != "completed")
      co_return 2;
  }
  if (has_trouble) co_await world.Submit(review::JobId(0x200), HopelessBody());
  co_await review::Sleep(3'000);
  int accepted = 0;
  for (int i = 0; i < kSmallJobs; ++i) {
    const auto answer = co_await world.Submit(
        review::JobId(i), review::JobBody(2, kSmallMs, kTask, false));
    if (answer.status == 200) ++accepted;
  }
  record.Write("the traffic has ended; accepted " + std::to_string(accepted));
  co_await review::Sleep(kFinishMs + 3'000);
  int lost = 0;
  for (int i = 0; i < kSmallJobs; ++i) {
    const auto state = co_await world.StateOf(review::JobId(i));
    record.Write("job " + review::JobId(i) + ": " +
                 (state.empty() ? "no answer" : state));
    if (state != "completed") ++lost;
  }
  const int exits = world.ExitsSeen();
  record.Write("processes that ended by themselves: " + std::to_string(exits));
  record.Write("lost: " + std::to_string(lost) + " of " +
               std::to_string(accepted) + " accepted jobs");
  co_return lost > 0 || exits > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  boost::asio::io_context io;
  World world(io, argv[1], argv[2], {3, 16, {}, false});
  const bool has_trouble = std::string(argv[3]) != "0";
  return review::RunScenario(io, [&] { return Play(world, has_trouble); });
}
