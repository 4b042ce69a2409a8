#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "crowd_site.h"

namespace lapishatch::crowd {
namespace {

using fakes::StoreFault;

/// Just below the largest body that is accepted.
constexpr std::size_t kLargeBody = 262'000;
constexpr std::size_t kLargeChunk = 64 * 1024;
constexpr std::size_t kManyChunks = 40'000;
constexpr int kCrowd = 400;
constexpr int kLargeCrowd = 1'000;

/// Checks that the process lives within its limits and serves a request.
void CheckSound(CrowdSite& site) {
  CHECK(PeakMemory(site.pid()) > 0);
  CHECK(PeakMemory(site.pid()) < kMemoryBytes);
  site.SampleDescriptors();
  CHECK(site.peak_descriptors() < kMaxSockets);
  CHECK(site.IsServed());
}

/// A crowd of `n` at `target`; an ordinary caller while it stays, and after it.
void CheckCrowd(CrowdSite& site, const http::Endpoint& target, int n,
                const CrowdMember& member) {
  Crowd crowd(target);
  crowd.Press(n, member);
  site.SampleDescriptors();
  CHECK(site.IsServed());
  crowd.Reopen();
  CheckSound(site);
  crowd.Close();
  CheckSound(site);
}

TEST_CASE("unfinished bodies in large chunks fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(site, site.api(), kCrowd,
             {UnfinishedChunks(kUnknownJob, kLargeBody, kLargeChunk)});
}

TEST_CASE("unfinished bodies in chunks of one byte fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(site, site.api(), kLargeCrowd,
             {UnfinishedChunks(kUnknownJob, kManyChunks, 1)});
}

TEST_CASE("unfinished bodies of known length fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(site, site.api(), kCrowd,
             {UnfinishedRequest(kUnknownJob, kLargeBody)});
}

TEST_CASE("announced bodies that never come fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(site, site.api(), kLargeCrowd,
             {RequestHead("POST", kUnknownJob, "Content-Length: 262000\r\n")});
  CheckCrowd(site, site.api(), kLargeCrowd,
             {RequestHead("POST", kUnknownJob,
                          "Content-Length: 262000\r\nExpect: "
                          "100-continue\r\n")});
}

TEST_CASE("unfinished bodies at the readiness port fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(site, site.ready(), kCrowd,
             {UnfinishedChunks("/", kLargeBody, kLargeChunk)});
}

TEST_CASE("unfinished bodies without a valid key fit the memory of the VM") {
  CrowdSite site;
  CheckCrowd(
      site, site.api(), kCrowd,
      {UnfinishedChunks("/guarded/00000000000000ff", kLargeBody, kLargeChunk)});
  CheckCrowd(site, site.api(), kCrowd,
             {UnfinishedRequest("/nowhere/00000000000000ff", kLargeBody)});
}

TEST_CASE("chunk lines and trailers without an end fit the memory of the VM") {
  CrowdSite site;
  const auto head =
      RequestHead("POST", kUnknownJob, "Transfer-Encoding: chunked\r\n");
  CheckCrowd(site, site.api(), kLargeCrowd,
             {head + "1;" + std::string(15'000, 'e')});
  CheckCrowd(site, site.api(), kLargeCrowd,
             {head + std::string(15'000, '0') + "1"});
  std::string trailers = head + "1\r\nx\r\n0\r\n";
  while (trailers.size() < 15'000) trailers += "a:b\r\n";
  CheckCrowd(site, site.api(), kLargeCrowd, {trailers});
}

TEST_CASE("heads of many short fields fit the memory of the VM") {
  CrowdSite site;
  std::string fields;
  while (fields.size() < 16'000) fields += "a:\r\n";
  const auto whole = RequestHead("GET", kUnknownJob, fields);
  auto unfinished = whole;
  unfinished.resize(whole.size() - 2);
  CheckCrowd(site, site.api(), kLargeCrowd, {unfinished});
  // They are held while the store does not answer.
  site.SetStoreFault(StoreFault::kSilent);
  Crowd crowd(site.api());
  crowd.Press(kLargeCrowd, {whole});
  site.SetStoreFault(StoreFault::kNone);
  crowd.Close();
  CheckSound(site);
}

TEST_CASE("whole bodies that wait for the store fit the memory of the VM") {
  CrowdSite site;
  site.SetTransactionFault(StoreFault::kSilent);
  const auto text = LargeJobBody(kLargeBody);
  Crowd crowd(site.api());
  crowd.Press(kCrowd, {RequestWithBody(CrowdSite::NextJob(), text)});
  crowd.Reopen();
  site.SetTransactionFault(StoreFault::kNone);
  crowd.Close();
  CheckSound(site);
}

TEST_CASE("bodies that grow when decoded fit the memory of the VM") {
  CrowdSite site;
  std::string zeros = R"({"spec":"x","steps":[{"count":1,"cpu":100},)"
                      R"({"count":1,"cpu":100,"after":[0)";
  while (zeros.size() < kLargeBody) zeros += ",0";
  zeros += "]}]}";
  std::string lists = R"({"spec":"x","comment":[0)";
  while (lists.size() < kLargeBody - 100) lists += ",[0]";
  lists += R"(],"steps":[{"count":1,"cpu":100,"estimate-ms":100}]})";
  std::string objects = R"({"spec":"x","comment":[0)";
  while (objects.size() < kLargeBody - 100) objects += R"(,{"a":0})";
  objects += R"(],"steps":[{"count":1,"cpu":100,"estimate-ms":100}]})";
  const auto label = R"({"spec":"x","steps":[{"count":1,"cpu":100,)"
                     R"("required-label":")" +
                     std::string(kLargeBody - 100, 'x') + R"("}]})";
  for (const auto& body : {zeros, lists, objects, label}) {
    site.SetTransactionFault(StoreFault::kSilent);
    Crowd crowd(site.api());
    crowd.Press(kCrowd, {RequestWithBody(CrowdSite::NextJob(), body)});
    site.SetTransactionFault(StoreFault::kNone);
    crowd.Close();
    CheckSound(site);
  }
}

TEST_CASE("readers that take no answers fit the memory of the VM") {
  CrowdSite site;
  std::string requests;
  while (requests.size() < 32'000) {
    requests += RequestHead("GET", "/metrics", "");
  }
  CheckCrowd(site, site.ready(), kCrowd, {requests, Reading::kNever});
}

TEST_CASE("a second crowd finds the memory that the first one found") {
  CrowdSite site;
  const CrowdMember large{
      UnfinishedChunks(kUnknownJob, kLargeBody, kLargeChunk)};
  const CrowdMember small{UnfinishedChunks(kUnknownJob, 20'000, 1'000)};
  for (int i = 0; i < 3; ++i) {
    CheckCrowd(site, site.api(), kLargeCrowd, small);
    CheckCrowd(site, site.api(), kCrowd, large);
  }
}

TEST_CASE("the largest body is served in calm, and amid a crowd") {
  constexpr std::size_t kLargestBody = 256 * 1024;
  const auto body = LargeJobBody(kLargestBody);
  REQUIRE(body.size() == kLargestBody);
  CrowdSite site;
  CHECK(site.StatusOf(RequestWithBody(CrowdSite::NextJob(), body)) == 200);
  Crowd crowd(site.api());
  crowd.Press(kCrowd, {UnfinishedChunks(kUnknownJob, kLargeBody, kLargeChunk)});
  CHECK(site.IsServed(body));
  CheckSound(site);
}

TEST_CASE("requests one behind the other fit the memory of the VM") {
  CrowdSite site;
  std::string requests;
  while (requests.size() < kLargeBody) {
    requests += RequestHead("GET", kUnknownJob, "");
  }
  CheckCrowd(site, site.api(), kCrowd, {requests, Reading::kNever});
}

TEST_CASE("cancellations of unknown names fit the memory of the VM") {
  constexpr int kConnections = 100;
  constexpr int kNames = 100;
  CrowdSite site;
  std::vector<CrowdMember> members;
  for (int i = 0; i < kConnections; ++i) {
    std::string requests;
    for (int k = 0; k < kNames; ++k) {
      requests += RequestHead("DELETE", CrowdSite::NextJob(), "");
    }
    members.push_back({requests});
  }
  Crowd crowd(site.api());
  crowd.Press(members);
  CheckSound(site);
}

TEST_CASE("a planned stop amid a crowd ends, and a restart into it serves") {
  CrowdSite site;
  const CrowdMember member{
      UnfinishedChunks(kUnknownJob, kLargeBody, kLargeChunk)};
  Crowd crowd(site.api());
  crowd.Press(kCrowd, member);
  CHECK(PeakMemory(site.pid()) < kMemoryBytes);
  site.process().Signal(SIGTERM, {}, base::Duration(0));
  CHECK(net::AwaitThat([&] {
    crowd.Reopen();
    return site.process().ExitCode().has_value();
  }));
  CHECK(site.process().ExitCode() == 0);
  site.process().EnsureRunning();
  CHECK(net::AwaitThat([&] {
    crowd.Reopen();
    return site.IsServed();
  }));
  CheckSound(site);
}

}  // namespace
}  // namespace lapishatch::crowd
