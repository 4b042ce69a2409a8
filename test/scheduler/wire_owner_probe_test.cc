#include "scheduler/wire_owner_probe.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fakes/fake_group.h"

namespace lapishatch::scheduler {
namespace {

using base::Duration;

constexpr Duration kTimeout{1'000};
const base::CellName kCell("mixco-1");

/// A holder of a cell, and a candidate that asks it.
struct World {
  World()
      : group(1),
        holder(group.Add("s0", "d0", wire::Role::kScheduler)),
        candidate(group.Add("s1", "d0", wire::Role::kScheduler)),
        probe(candidate.process, candidate.node.requests(), kTimeout) {
    holder.node.Serve(MakeCellQueryServer(
        {.probe =
             [this](const auto& cell, const auto& asked_for, auto done) {
               if (cell != kCell || asked_for != holder.identity.incarnation) {
                 return done(ProbeAnswer{});
               }
               done(answer);
             },
         .explain = [](const auto&, auto done) { done(std::nullopt); },
         .status = [](const auto&, auto done) { done(std::nullopt); }}));
  }

  ProbeResult Ask(const base::CellName& cell,
                  const base::Incarnation& incarnation) {
    std::optional<ProbeResult> result;
    const auto& at = holder.identity.endpoint;
    probe.Ask(http::Endpoint{at.address, at.port}, cell, incarnation,
              [&](auto it) { result = std::move(it); });
    REQUIRE(group.time().RunUntil([&] { return result.has_value(); },
                                  2 * kTimeout));
    return *result;
  }

  fakes::FakeGroup group;
  fakes::FakeMember& holder;
  fakes::FakeMember& candidate;
  WireOwnerProbe probe;
  ProbeAnswer answer{lifecycle::HolderState::kHolding, 7};
};

TEST_CASE("the holder of a cell says that it holds it, and its epoch") {
  World world;
  const auto& life = world.holder.identity.incarnation;
  auto answer = std::get<ProbeAnswer>(world.Ask(kCell, life));
  CHECK(answer.state == lifecycle::HolderState::kHolding);
  CHECK(answer.epoch == 7);
  world.answer.state = lifecycle::HolderState::kHoldingWithoutTable;
  answer = std::get<ProbeAnswer>(world.Ask(kCell, life));
  CHECK(answer.state == lifecycle::HolderState::kHoldingWithoutTable);
  answer = std::get<ProbeAnswer>(world.Ask(base::CellName("other"), life));
  CHECK(answer.state == lifecycle::HolderState::kNotHolding);
}

TEST_CASE("another life at the holder's address does not hold its cell") {
  World world;
  const auto old_life = world.holder.identity.incarnation;
  world.holder.Kill();
  auto& new_life = world.group.Add("s0", "d0", wire::Role::kScheduler);
  // Even one that wrongly says so.
  new_life.node.Serve(MakeCellQueryServer(
      {.probe =
           [](const auto&, const auto&, auto done) {
             done(ProbeAnswer{lifecycle::HolderState::kHolding, 9});
           },
       .explain = nullptr,
       .status = nullptr}));
  const auto answer = std::get<ProbeAnswer>(world.Ask(kCell, old_life));
  CHECK(answer.state == lifecycle::HolderState::kNotHolding);
}

TEST_CASE("a holder that is paused, gone or no scheduler gives no answer") {
  World world;
  const auto life = world.holder.identity.incarnation;
  world.holder.node.Serve(nullptr);
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
  world.holder.process.Pause();
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
  world.holder.Kill();
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
}

}  // namespace
}  // namespace lapishatch::scheduler
