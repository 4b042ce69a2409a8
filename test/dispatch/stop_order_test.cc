#include "dispatch/internal/stop_order.h"

#include <catch2/catch.hpp>
#include <functional>
#include <utility>

namespace lapishatch::dispatch::internal {
namespace {

/// Guards against an order that counts as under way although no call was made.
TEST_CASE("a stop order whose call is not made is due again at once") {
  StopOrder order;
  CHECK_FALSE(order.IsUnderWay());
  order.Begin();
  CHECK_FALSE(order.IsUnderWay());
}

/// Guards against an order that stays under way when its answer never comes.
TEST_CASE("a stop order is under way until its last holder is gone") {
  StopOrder order;
  std::function<void()> callback = [ticket = order.Begin()] {};
  CHECK(order.IsUnderWay());
  std::function<void()> retry_timer = callback;
  callback = nullptr;
  CHECK(order.IsUnderWay());
  retry_timer = nullptr;
  CHECK_FALSE(order.IsUnderWay());
}

/// Guards against a late answer to an earlier attempt that ends a later one.
TEST_CASE("the holder of an earlier attempt does not affect a later one") {
  StopOrder order;
  auto earlier = order.Begin();
  const auto later = order.Begin();
  earlier.reset();
  CHECK(order.IsUnderWay());
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
