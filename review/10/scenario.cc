// A job is cancelled just after the platform's store is back and a new process
// leads. The entry of the job's runner expired while the store was down and is
// back within two seconds.

#include <algorithm>
#include <string>

#include "world.h"

namespace {

using review::World;

constexpr int kRunners = 16;
constexpr std::int64_t kTaskMs = 80'000;
constexpr std::int64_t kOutageMs = 5'500;
constexpr std::int64_t kKillAfterMs = 4'000;
constexpr std::int64_t kReturnMs = 1'800;
constexpr std::int64_t kContactMs = 3'000;
constexpr std::int64_t kCancelMs = 3'000;
constexpr std::int64_t kStopTimeoutMs = 400;
const review::Shape kTask{1'000, 1'024, 0};

/// The end of the last run of the job's task; empty while it runs.
std::string EndOf(World& world, const std::string& id) {
  for (const auto& it : world.log().ends) {
    if (it.task.starts_with(id)) return it.how;
  }
  return "";
}

boost::asio::awaitable<int> Play(World& world, bool has_trouble) {
  auto& record = world.record();
  if (!co_await world.AwaitReady(20'000)) co_return 2;
  record.Write("all VMs answer");
  const auto id = review::JobId(1);
  const auto answer =
      co_await world.Submit(id, review::JobBody(1, kTaskMs, kTask, false));
  if (answer.status != 200) co_return 2;
  co_await review::Sleep(5'000);
  if (world.log().starts.size() != 1) co_return 2;
  for (auto& it : world.runners()) it->SetReturnDelay(kReturnMs);
  if (has_trouble) {
    world.store().SetDown(true);
    co_await review::Sleep(kKillAfterMs);
    world.Kill(world.store().last_writer());
    co_await review::Sleep(kOutageMs - kKillAfterMs);
    world.store().SetDown(false);
  }
  const auto back_at = review::NowMs();
  co_await review::Sleep(900);
  std::int64_t cancelled_at = 0;
  for (std::size_t i = 0; i < 20 && cancelled_at == 0; ++i) {
    const auto result = co_await world.Call(i % 3, "DELETE", id, "");
    record.Write("client: DELETE " + id + " at " + world.sites()[i % 3].node +
                 ": " + std::to_string(result.status));
    if (result.status == 200) cancelled_at = review::NowMs();
    if (result.status != 200) co_await review::Sleep(200);
  }
  if (cancelled_at == 0) co_return 2;
  // Steady from `kContactMs` after the store's return on.
  const auto gone_by =
      std::max(cancelled_at, back_at + kContactMs) + kCancelMs + kStopTimeoutMs;
  co_await review::Sleep(gone_by - review::NowMs());
  const auto end = EndOf(world, id);
  record.Write("the task has to be gone now: " +
               (end.empty() ? "it is running" : "ended " + end));
  co_await review::Sleep(20'000);
  const auto later = EndOf(world, id);
  record.Write("20 s later: " +
               (later.empty() ? "it is running" : "ended " + later));
  record.Write("the job is shown as " + co_await world.StateOf(id));
  co_return end.empty() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  boost::asio::io_context io;
  World world(io, argv[1], argv[2], {3, kRunners, {}, false, 1});
  const bool has_trouble = std::string(argv[3]) != "0";
  return review::RunScenario(io, [&] { return Play(world, has_trouble); });
}
