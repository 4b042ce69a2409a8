#include <catch2/catch.hpp>
#include <string>

#include "crowd_site.h"

namespace lapishatch::crowd {
namespace {

/// More than the process may accept.
constexpr int kCrowd = 1'700;
constexpr int kRounds = 3;

/// A crowd that comes back whenever it is turned away; an ordinary caller is
/// served meanwhile.
void CheckServedAmid(CrowdSite& site, const http::Endpoint& target,
                     const CrowdMember& member) {
  Crowd crowd(target);
  crowd.Press(kCrowd, member);
  for (int i = 0; i < kRounds; ++i) {
    site.SampleDescriptors();
    CHECK(site.IsServed());
    crowd.Reopen();
  }
  CHECK(site.peak_descriptors() < kMaxSockets);
  CHECK(PeakMemory(site.pid()) < kMemoryBytes);
  crowd.Close();
  CHECK(site.IsServed());
}

TEST_CASE("silent connections do not keep ordinary callers out") {
  CrowdSite site;
  CheckServedAmid(site, site.api(), {""});
}

TEST_CASE("unfinished heads do not keep ordinary callers out") {
  CrowdSite site;
  CheckServedAmid(
      site, site.api(),
      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(15'000, 'a')});
}

TEST_CASE("connections kept alive do not keep ordinary callers out") {
  CrowdSite site;
  CheckServedAmid(site, site.api(), {RequestHead("GET", "/nowhere/", "")});
}

TEST_CASE("silent connections at the readiness port leave room for callers") {
  CrowdSite site;
  CheckServedAmid(site, site.ready(), {""});
  CHECK(CrowdSite::StatusOf(site.ready(), RequestHead("GET", "/", "")) == 200);
}

TEST_CASE("connections of callers leave descriptors for those to workers") {
  constexpr std::size_t kWorkers = 600;
  CrowdSite site(kWorkers);
  const auto has_connected = [&] {
    return OpenDescriptors(site.pid()) > kWorkers;
  };
  REQUIRE(net::AwaitThat(has_connected));
  CheckServedAmid(site, site.api(), {""});
  CHECK(net::AwaitThat(has_connected));
}

}  // namespace
}  // namespace lapishatch::crowd
