#include <atomic>
#include <catch2/catch.hpp>
#include <vector>

#include "base/base.h"
#include "fakes/fakes.h"

namespace lapishatch::base {
namespace {

TEST_CASE("an Asio loop runs posted tasks and timers, and not cancelled ones") {
  boost::asio::io_context io;
  const auto loop = MakeAsioEventLoop(io);
  std::vector<int> ran;
  loop->After(Duration(2), [&] { ran.push_back(2); });
  const auto cancelled = loop->After(Duration(1), [&] { ran.push_back(9); });
  loop->Post([&] {
    ran.push_back(1);
    loop->Cancel(cancelled);
  });
  io.run();
  CHECK(ran == std::vector<int>{1, 2});
}

TEST_CASE("nothing runs after an Asio loop is gone") {
  boost::asio::io_context io;
  auto loop = MakeAsioEventLoop(io);
  bool ran = false;
  loop->After(Duration(0), [&] { ran = true; });
  loop->Post([&] { ran = true; });
  loop.reset();
  io.run();
  CHECK_FALSE(ran);
}

TEST_CASE("virtual time runs tasks in order of time, then of setting") {
  fakes::VirtualTime time;
  std::vector<int> ran;
  time.After(Duration(10), [&] { ran.push_back(3); });
  time.After(Duration(5), [&] { ran.push_back(1); });
  time.After(Duration(5), [&] { ran.push_back(2); });
  time.RunFor(Duration(9));
  CHECK(ran == std::vector<int>{1, 2});
  CHECK(time.RunUntil([&] { return ran.size() == 3; }, Duration(1)));
}

}  // namespace
}  // namespace lapishatch::base
