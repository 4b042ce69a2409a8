#include "scenario/port_range.h"

#include <catch2/catch.hpp>
#include <set>

namespace lapishatch::scenario {
namespace {

TEST_CASE("tools that run at the same time get different ports") {
  boost::asio::io_context io;
  std::set<std::uint16_t> ports;
  PortRange one(io);
  PortRange other(io);
  for (int i = 0; i < 50; ++i) {
    CHECK(ports.insert(one.Next().port).second);
    CHECK(ports.insert(other.Next().port).second);
  }
}

}  // namespace
}  // namespace lapishatch::scenario
