#include "scenario/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

namespace lapishatch::scenario {
namespace {

TEST_CASE("a program does not hold what the tool has open") {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  ChildProcess child("sleep", {"/bin/sleep", "60"}, "/dev/null");
  REQUIRE(child.Start("/dev/null"));
  ::close(pipe[1]);
  // The end of the pipe is seen when nobody else can write to it.
  pollfd end{pipe[0], POLLIN, 0};
  CHECK(::poll(&end, 1, 0) == 1);
  CHECK((end.revents & POLLHUP) != 0);
  ::close(pipe[0]);
}

}  // namespace
}  // namespace lapishatch::scenario
