#include "membership/scheduler_query.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;

constexpr Duration kSecond{1'000};

/// An entry and three schedulers, one of which, `s1`, knows the job "j1".
struct World {
  World() : group(1), entry(group.Add("e0", "d0")) {
    for (const auto* name : {"s0", "s1", "s2"}) {
      auto& member = group.Add(name, "d0", wire::Role::kScheduler);
      schedulers.push_back(&member);
      const bool knows = member.identity.name == ProcessName("s1");
      member.node.Serve([knows](const auto&, wire::Query query, auto reply) {
        const auto* it = std::get_if<wire::ExplainQuery>(&query);
        const bool found = knows && it->job == base::JobName("j1");
        reply(wire::TextAnswer{found, found ? "it waits" : ""});
      });
    }
    REQUIRE(
        group.time().RunUntil([&] { return group.Agrees(); }, 10 * kSecond));
  }

  SchedulerQueryResult Ask(const std::string& job) {
    std::optional<SchedulerQueryResult> result;
    int calls = 0;
    AskSchedulers(entry.node, base::DomainName("d0"),
                  wire::ExplainQuery{base::JobName(job)}, kSecond,
                  [&](auto it) {
                    result = std::move(it);
                    ++calls;
                  });
    group.time().RunFor(3 * kSecond);
    CHECK(calls == 1);
    return *result;
  }

  fakes::FakeGroup group;
  fakes::FakeMember& entry;
  std::vector<fakes::FakeMember*> schedulers;
};

TEST_CASE("the scheduler that knows a job explains it to an entry") {
  World world;
  CHECK(std::get<std::string>(world.Ask("j1")) == "it waits");
}

TEST_CASE("that nobody knows a job is said only when all have answered") {
  World world;
  CHECK(std::holds_alternative<NobodyKnows>(world.Ask("j2")));
  world.schedulers[1]->process.Pause();
  CHECK(std::get<NotAllAnswered>(world.Ask("j1")).silent == 1);
  world.schedulers[1]->process.Resume();
  world.schedulers[2]->process.Pause();
  CHECK(std::get<std::string>(world.Ask("j1")) == "it waits");
}

TEST_CASE("without a known scheduler nothing can be said") {
  fakes::FakeGroup group(2);
  auto& entry = group.Add("e0", "d0");
  std::optional<SchedulerQueryResult> result;
  AskSchedulers(entry.node, {}, wire::CellStatusQuery{base::CellName("c")},
                kSecond, [&](auto it) { result = std::move(it); });
  REQUIRE(result.has_value());
  CHECK(std::holds_alternative<NotAllAnswered>(*result));
}

}  // namespace
}  // namespace lapishatch::membership
