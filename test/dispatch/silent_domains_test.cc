#include "dispatch/internal/silent_domains.h"

#include <catch2/catch.hpp>
#include <string>

#include "owner_world.h"

namespace lapishatch::dispatch::internal {
namespace {

using base::DomainName;
using base::Duration;
using base::TimePoint;

TimePoint At(int ms) { return TimePoint(Duration(ms)); }

/// Two domains of ten workers each, which answered 100 ms apart: `a` until 1 s,
/// `b` until `b_until`. The next answer of each worker is due 800 ms after its
/// last.
std::vector<PollState> TwoDomains(int b_until) {
  std::vector<PollState> out;
  for (int i = 0; i < 10; ++i) {
    out.push_back({DomainName("a"), At(100 * i + 100), At(100 * i + 900)});
    const int answered = std::min(100 * i + 100, b_until);
    out.push_back({DomainName("b"), At(answered), At(answered + 800)});
  }
  return out;
}

TEST_CASE(
    "a domain with several missing answers is silent while others answer") {
  CHECK(FindSilentDomains(TwoDomains(1'000), {}, At(1'000)).empty());
  const auto silent = FindSilentDomains(TwoDomains(0), {}, At(1'000));
  CHECK(silent == std::set<DomainName>{DomainName("b")});
}

TEST_CASE("an owner that receives no answers finds no domain silent") {
  CHECK(FindSilentDomains(TwoDomains(1'000), {}, At(5'000)).empty());
}

TEST_CASE("two crashed workers do not make a domain silent") {
  auto polls = TwoDomains(1'000);
  int left = 2;
  for (auto& it : polls) {
    if (it.domain != DomainName("b") || left-- <= 0) continue;
    it.last_answer = At(0);
    it.answer_due = At(10);
  }
  CHECK(FindSilentDomains(polls, {}, At(1'000)).empty());
}

TEST_CASE("an urgent job avoids a domain that was just partitioned") {
  OwnerWorld world(1, 24);
  world.RunFor(1'000);
  // Tasks that end at different times spread the polls of the workers in time.
  for (int i = 0; i < 24; ++i) {
    auto job = OwnerWorld::MakeJob("warm" + std::to_string(i), 1, 8);
    world.Submit(job);
    world.RunFor(60);
  }
  world.RunFor(4'000);
  constexpr int kPerDomain = 4;
  for (int i = 0; i < kPerDomain; ++i) {
    world.workers().Disconnect("", OwnerWorld::WorkerNameAt(i));
  }
  world.RunFor(1'100);
  auto urgent = OwnerWorld::MakeJob("urgent", 20, 8);
  urgent.priority = 0;
  world.Submit(urgent);
  world.RunFor(300);
  CHECK(world.workers().running() == 20);
  world.RunFor(3'000);
  CHECK(world.StateOf("urgent") == jobs::JobState::kCompleted);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
