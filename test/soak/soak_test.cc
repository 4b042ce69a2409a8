#include "soak/soak.h"

#include <catch2/catch.hpp>

#include "temporary_folder.h"

namespace lapishatch::soak {
namespace {

SoakReport RunWith(const std::string& program, std::uint64_t seed,
                   int seconds) {
  const TemporaryFolder folder;
  SoakOptions options;
  options.program = program;
  options.folder = folder.path();
  options.seed = seed;
  options.length = base::Duration(seconds * 1'000);
  return RunSoak(options);
}

TEST_CASE("a short run of real processes under faults violates no guarantee") {
  for (const std::uint64_t seed : {1, 2}) {
    const auto report = RunWith(kSiteProgram, seed, 8);
    for (const auto& it : report.violations) UNSCOPED_INFO(it);
    CHECK(report.violations.empty());
    CHECK(report.accepted > 10);
    CHECK(report.faults > 5);
  }
}

TEST_CASE("a program that does not serve requests fails the soak") {
  const auto report = RunWith("/bin/false", 1, 1);
  CHECK_FALSE(report.violations.empty());
}

}  // namespace
}  // namespace lapishatch::soak
