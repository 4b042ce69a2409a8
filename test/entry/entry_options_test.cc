#include <catch2/catch.hpp>

#include "entry/entry.h"

namespace lapishatch::entry {
namespace {

TEST_CASE("all entries and one replacement fit into a runner's connections") {
  constexpr std::size_t kEntries = 8;
  constexpr std::size_t kReplacements = 1;
  constexpr std::size_t kConnectionsOfRunner = 64;
  const EntryOptions options;
  const auto each = options.runners.connections_per_runner;
  CHECK((kEntries + kReplacements) * each <= kConnectionsOfRunner);
  // One stays for pings.
  const auto requests =
      static_cast<std::size_t>(options.routing.dispatcher.pool.max_in_flight);
  CHECK(requests < each);
}

}  // namespace
}  // namespace lapishatch::entry
