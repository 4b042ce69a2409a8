#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "config/config.h"
#include "crowd/crowd.h"
#include "crowd/process_usage.h"
#include "crowd/request_bytes.h"
#include "net/child_process.h"
#include "net/raw_socket.h"
#include "platform/platform.h"
#include "wire/codec.h"
#include "wire/frame.h"

namespace lapishatch::crowd {
namespace {

constexpr std::chrono::seconds kLimit{60};
/// The default of process.memory_mb.
constexpr std::size_t kMemoryBytes = std::size_t{256} << 20;
constexpr int kCrowd = 400;
constexpr int kLargeCrowd = 1'500;
/// Just below the largest body that is accepted.
constexpr std::size_t kLargeBody = 1'000'000;

/// One of the processes that serve operators, with a stand-in platform.
struct ServingProcess {
  ServingProcess(const std::string& program, const std::string& sections)
      : file(std::filesystem::temp_directory_path() /
             (base::MakeUniqueText("crowd-") + ".toml")) {
    std::ofstream(file) << "[process]\nname = \"p1\"\n"
                        << "failure_domain = \"hall\"\nplatform = \""
                        << http::TextOf(platform.endpoint()) << "\"\n"
                        << sections;
    process = std::make_unique<testing::ChildProcess>(std::vector<std::string>{
        std::string(LAPISHATCH_BINARY_DIR) + "/bin/" + program,
        "--config=" + file.string()});
    endpoint = ReadEndpoint("listening ");
    peer_endpoint = ReadEndpoint("peers ");
  }

  ~ServingProcess() {
    process.reset();
    std::filesystem::remove(file);
    threads.Stop();
  }

  /// The endpoint that the process has printed after `word`.
  http::Endpoint ReadEndpoint(const std::string& word) const {
    auto line = process->WaitLine({word}, kLimit);
    line = line.substr(line.find(word) + word.size());
    const auto found = config::ParseEndpoint(line.substr(0, line.find(' ')));
    REQUIRE(found.has_value());
    return *found;
  }

  bool IsServed() const {
    return net::AwaitThat([this] {
      net::RawSocket socket(endpoint);
      socket.Send(RequestHead("GET", "/healthz", "Connection: close\r\n"));
      return socket.ReadToEnd().find("200 OK") != std::string::npos;
    });
  }

  void CheckSound() const {
    CHECK(PeakMemory(process->pid()) > 0);
    CHECK(PeakMemory(process->pid()) < kMemoryBytes);
    CHECK(IsServed());
  }

  void CheckCrowd(const http::Endpoint& target, int n,
                  const CrowdMember& member) const {
    Crowd crowd(target);
    crowd.Press(n, member);
    CHECK(IsServed());
    crowd.Reopen();
    CheckSound();
    crowd.Close();
    CheckSound();
  }

  net::IoThreads threads;
  standins::PlatformServer platform{threads.io(), standins::PlatformOptions{}};
  std::filesystem::path file;
  std::unique_ptr<testing::ChildProcess> process;
  http::Endpoint endpoint;
  http::Endpoint peer_endpoint;
};

struct ProgramCase {
  const char* program;
  const char* sections;
};

constexpr std::array kPrograms = {
    ProgramCase{"lapishatch-entry", ""},
    ProgramCase{"lapishatch-scheduler",
                "[scheduler]\nfailure_domains = \"hall\"\n"},
};

TEST_CASE("unfinished bodies fit the memory of an entry and of a scheduler") {
  for (const auto& it : kPrograms) {
    INFO(it.program);
    const ServingProcess process(it.program, it.sections);
    process.CheckCrowd(
        process.endpoint, kCrowd,
        {UnfinishedChunks("/v1/services/s/requests", kLargeBody, 64 * 1024)});
    process.CheckCrowd(
        process.endpoint, kCrowd,
        {UnfinishedRequest("/v1/services/s/requests", kLargeBody)});
  }
}

TEST_CASE("unfinished heads fit the memory of an entry and of a scheduler") {
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  while (head.size() < 15'000) head += "a:\r\n";
  for (const auto& it : kPrograms) {
    INFO(it.program);
    const ServingProcess process(it.program, it.sections);
    process.CheckCrowd(process.endpoint, kLargeCrowd, {head});
  }
}

TEST_CASE("frames that never come fit the memory of the inner port's process") {
  // The length of a frame, just below the largest one.
  const std::string announced{"\0\x0f\0\0", 4};
  wire::Identity peer;
  peer.name = wire::ProcessName("p2");
  peer.domain = base::DomainName("hall");
  peer.incarnation = base::Incarnation("i-2");
  peer.endpoint = {"127.0.0.1", 1};
  const auto hello =
      wire::MakeFrame(wire::Encode(wire::Hello{wire::kProtocolVersion, peer}));
  for (const auto& it : kPrograms) {
    INFO(it.program);
    const ServingProcess process(it.program, it.sections);
    process.CheckCrowd(process.peer_endpoint, kCrowd, {announced});
    process.CheckCrowd(process.peer_endpoint, kCrowd, {hello + announced});
  }
}

}  // namespace
}  // namespace lapishatch::crowd
