#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "base/base.h"

namespace lapishatch::base {
namespace {

TEST_CASE("charges never exceed the capacity of their budget") {
  Budget budget(100);
  Charge first(budget, BudgetUse::kInput);
  Charge second(budget, BudgetUse::kRequests);
  CHECK(first.TryResize(60));
  CHECK_FALSE(second.TryResize(41));
  CHECK(second.size() == 0);
  CHECK(second.TryResize(40));
  CHECK_FALSE(first.TryResize(61));
  CHECK(first.size() == 60);
  CHECK(budget.spent() == 100);
  CHECK(budget.spent(BudgetUse::kInput) == 60);
  first.Release();
  CHECK(second.TryResize(100));
  CHECK(budget.spent(BudgetUse::kRequests) == 100);
}

TEST_CASE("a charge keeps to a ceiling below the capacity") {
  Budget budget(100);
  Charge charge(budget, BudgetUse::kInput);
  CHECK_FALSE(charge.TryResize(81, 80));
  CHECK(charge.TryResize(80, 80));
  CHECK_FALSE(charge.TryResize(101, 1'000));
}

TEST_CASE("a charge is returned once, by its last holder") {
  Budget budget(100);
  {
    Charge first(budget, BudgetUse::kInput);
    CHECK(first.TryResize(30));
    Charge second(std::move(first));
    CHECK(second.size() == 30);
    Charge third(budget, BudgetUse::kOutput);
    CHECK(third.TryResize(20));
    third = std::move(second);
    CHECK(budget.spent() == 30);
    CHECK(budget.spent(BudgetUse::kOutput) == 0);
  }
  CHECK(budget.spent() == 0);
}

TEST_CASE("a charge without a budget is free") {
  Charge charge;
  CHECK(charge.TryResize(1'000'000));
}

TEST_CASE("charges on several threads stay within the capacity") {
  constexpr int kThreads = 4;
  constexpr int kRounds = 20'000;
  Budget budget(100);
  std::atomic<bool> has_exceeded{false};
  {
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        Charge charge(budget, BudgetUse::kInput);
        for (int k = 0; k < kRounds; ++k) {
          charge.TryResize(static_cast<std::size_t>(k % 60));
          if (budget.spent() > budget.capacity()) has_exceeded = true;
        }
      });
    }
  }
  CHECK_FALSE(has_exceeded);
  CHECK(budget.spent() == 0);
}

TEST_CASE("an event that peers cause is logged once in an interval") {
  LogGate gate(Duration(1'000));
  const ManualClock clock;
  ManualClock moved;
  CHECK(gate.Open(clock.Now()));
  CHECK_FALSE(gate.Open(clock.Now()));
  moved.Advance(Duration(999));
  CHECK_FALSE(gate.Open(moved.Now()));
  moved.Advance(Duration(1));
  CHECK(gate.Open(moved.Now()));
}

}  // namespace
}  // namespace lapishatch::base
