#include "soak/soak.h"

#include <catch2/catch.hpp>

#include "folder.h"

namespace lapishatch::soak {
namespace {

SoakReport Play(const std::string& program, std::uint64_t seed, int seconds) {
  const Folder folder;
  SoakOptions options;
  options.program = program;
  options.folder = folder.path();
  options.seed = seed;
  options.length = base::Duration(seconds * 1'000);
  return PlaySoak(options);
}

TEST_CASE("a short run of real processes under faults keeps every promise") {
  for (const std::uint64_t seed : {1, 2}) {
    const auto report = Play(kSiteProgram, seed, 8);
    for (const auto& it : report.broken) UNSCOPED_INFO(it);
    CHECK(report.broken.empty());
    CHECK(report.accepted > 10);
    CHECK(report.faults > 5);
  }
}

TEST_CASE("a program that serves nothing does not pass") {
  const auto report = Play("/bin/false", 1, 1);
  CHECK_FALSE(report.broken.empty());
}

}  // namespace
}  // namespace lapishatch::soak
