#include "scheduler/wire_owner_probe.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fakes/fake_group.h"
#include "scheduler/group_word.h"

namespace lapishatch::scheduler {
namespace {

using base::Duration;

constexpr Duration kStepTimeout{500};
/// A connection and two questions.
constexpr Duration kLongest = 3 * kStepTimeout;
const base::CellName kCell("mixco-1");

/// A holder of a cell, and a candidate that asks it.
struct World {
  World()
      : group(1),
        holder(group.Add("s0", "d0", wire::Role::kScheduler)),
        candidate(group.Add("s1", "d0", wire::Role::kScheduler)),
        probe(candidate.process, *candidate.transport,
              candidate.node.requests(), kStepTimeout) {
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
                                  kLongest + Duration(10)));
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

TEST_CASE("a holder that is paused, vanished or no scheduler gives no answer") {
  World world;
  const auto life = world.holder.identity.incarnation;
  world.holder.node.Serve(nullptr);
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
  world.holder.process.Pause();
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
  world.group.network().Vanish(world.holder.identity.endpoint);
  CHECK(std::holds_alternative<ProbeFailed>(world.Ask(kCell, life)));
}

TEST_CASE("only where nobody listens the answer is a refusal") {
  World world;
  world.holder.Kill();
  const auto result = world.Ask(kCell, world.holder.identity.incarnation);
  CHECK(std::holds_alternative<ProbeRefused>(result));
}

TEST_CASE("a holder cut from the candidate is silent, not gone") {
  World world;
  world.group.network().faults().cut = [](const auto&, const auto&) {
    return true;
  };
  const auto result = world.Ask(kCell, world.holder.identity.incarnation);
  CHECK(std::holds_alternative<ProbeFailed>(result));
}

TEST_CASE("a connection that has gone silent does not speak against a holder") {
  World world;
  const auto& life = world.holder.identity.incarnation;
  CHECK(std::holds_alternative<ProbeAnswer>(world.Ask(kCell, life)));
  world.group.network().Silence(world.holder.identity,
                                world.candidate.identity);
  const auto answer = std::get<ProbeAnswer>(world.Ask(kCell, life));
  CHECK(answer.state == lifecycle::HolderState::kHolding);
}

TEST_CASE("the group's word on a holder is that of its life and its address") {
  World world;
  const auto& identity = world.holder.identity;
  const http::Endpoint at{identity.endpoint.address, identity.endpoint.port};
  const auto doubt = [&](const base::Incarnation& life) {
    return DoubtOf(*world.candidate.node.view(), life, at);
  };
  auto& time = world.group.time();
  time.RunFor(Duration(3'000));
  CHECK(doubt(identity.incarnation) == lifecycle::HolderSuspicion::kNone);
  // Another life at the address is present.
  CHECK(doubt(base::Incarnation("old")) ==
        lifecycle::HolderSuspicion::kSuspect);
  world.holder.Kill();
  const auto becomes = [&](lifecycle::HolderSuspicion wanted) {
    return time.RunUntil([&] { return doubt(identity.incarnation) == wanted; },
                         Duration(10'000));
  };
  CHECK(becomes(lifecycle::HolderSuspicion::kSuspect));
  CHECK(becomes(lifecycle::HolderSuspicion::kDead));
  CHECK(doubt(base::Incarnation("old")) == lifecycle::HolderSuspicion::kNone);
}

}  // namespace
}  // namespace lapishatch::scheduler
